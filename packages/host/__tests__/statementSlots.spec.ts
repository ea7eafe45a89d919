import { describe, it } from 'node:test'
import { expect } from 'earl'
import { milliseconds } from '@nutmegcourse/shared'
import type { BackendRefusal } from '@nutmegcourse/protocol'
import type { SlotResult, StatementFailure } from '@nutmegcourse/state'
import type { SlotGate } from '../src/slotGate.js'
import { continueInSlot, slotResultOf } from '../src/statementSlots.js'
import type { StatementRequest } from '../src/statements.js'

const refused = (refusal: BackendRefusal): StatementFailure => ({ kind: 'refused', refusal })

describe('slotResultOf', () => {
  const used: SlotResult = { kind: 'answered', slotMilliseconds: 12 }
  const cases: readonly (readonly [string, StatementFailure, SlotResult])[] = [
    // Guards against customers whose statements fail and are served as if they used nothing.
    ['ran and failed', refused('failed'), used],
    ['did not run: the server is busy', refused('busy'), { kind: 'busy' }],
    ['did not run: the replica is behind', refused('behind'), { kind: 'unknown' }],
    ['timed out at the server, with or without a slot', refused('timeout'), { kind: 'unknown' }],
    ['was not answered', { kind: 'overdue' }, { kind: 'unknown' }],
  ]
  for (const [name, mishap, result] of cases) {
    it(`tells what a statement used of its slot: ${name}`, () => {
      const outcome = { kind: 'mishap', mishap, status: null, position: null } as const
      expect(slotResultOf(outcome, 12)).toEqual(result)
    })
  }
})

describe('a later statement of a transaction', () => {
  // Guards against commits that are sent in the last moment of their time and end with an unknown outcome, where a
  // rollback has a certain one.
  it('waits for its turn only until it can still be answered by its deadline', async () => {
    const entered: (readonly [number, boolean])[] = []
    const gate = {
      enter: (_request: unknown, terms: { latestStart: number; isUnderWay: boolean }) => {
        entered.push([terms.latestStart, terms.isUnderWay])
        return Promise.resolve({ kind: 'overdue' })
      },
    } as unknown as SlotGate
    const request = {
      route: { priority: 0, latencyTargetMilliseconds: 500 },
      customer: null,
      arrivedAt: milliseconds(0),
      deadline: milliseconds(1000),
    } as unknown as StatementRequest
    await continueInSlot(request, { gate }, milliseconds(900))
    expect(entered).toEqual([[900, true]])
  })
})
