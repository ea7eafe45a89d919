import { describe, it } from 'node:test'
import { expect } from 'earl'
import { customerName } from '@nutmegcourse/shared'
import type { Customer, OperationLimit } from '@nutmegcourse/protocol'
import type { HostContext } from '../src/hostContext.js'
import { LimitsInForce } from '../src/limitsInForce.js'

const NEGATIVE: OperationLimit = { operationsPerSecond: -1, burst: 5 }
const UNREADABLE: OperationLimit = { operationsPerSecond: 0, burst: 0, isUnreadable: true }
const NOTHING: OperationLimit = { operationsPerSecond: 0, burst: 0 }
const VALID: OperationLimit = { operationsPerSecond: 10, burst: 5 }
const NEGATIVE_BURST: OperationLimit = { operationsPerSecond: 10, burst: -5 }

function limitsWhere(schedulesSlots: boolean): { limits: LimitsInForce; lines: unknown[] } {
  const lines: unknown[] = []
  const log = { write: (event: string, fields: object) => lines.push({ event, ...fields }) }
  const context = { settings: { schedulesSlots }, log } as unknown as HostContext
  return { limits: new LimitsInForce(context), lines }
}

describe('a limit in force', () => {
  // A customer whose limit can not be read must not be without one where limits are enforced.
  const cases: readonly (readonly [
    string,
    OperationLimit | null,
    OperationLimit | null,
    OperationLimit | null,
  ])[] = [
    ['none', null, null, null],
    ['a valid one', VALID, VALID, VALID],
    ['a negative one', NEGATIVE, NOTHING, NEGATIVE],
    ['one that is not a number', UNREADABLE, NOTHING, null],
    ['one with a negative burst', NEGATIVE_BURST, { ...VALID, burst: 0 }, NEGATIVE_BURST],
  ]
  for (const [name, given, scheduled, unscheduled] of cases) {
    it(`is as expected for ${name}`, () => {
      expect(limitsWhere(true).limits.of(given)).toEqual(scheduled)
      expect(limitsWhere(false).limits.of(given)).toEqual(unscheduled)
    })
  }

  it('is logged once for as long as it is invalid', () => {
    const { limits, lines } = limitsWhere(true)
    const customer = (limit: OperationLimit): Customer => ({
      name: customerName('alfa'),
      keys: [],
      priority: 0,
      limit,
    })
    for (const limit of [NEGATIVE, NEGATIVE, VALID, UNREADABLE]) limits.check([customer(limit)])
    expect(lines).toEqual([
      { event: 'limit_invalid', customer: customerName('alfa'), operationsPerSecond: -1 },
      { event: 'limit_invalid', customer: customerName('alfa'), operationsPerSecond: null },
    ])
  })
})
