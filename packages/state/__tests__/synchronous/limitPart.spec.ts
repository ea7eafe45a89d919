import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { milliseconds, type Milliseconds } from '@nutmegcourse/shared'
import type { LimitTolerance, OperationLimit } from '@nutmegcourse/protocol'
import { LimitPart } from '../../src/index.js'

const TOLERANCE: LimitTolerance = { windowMilliseconds: 5000, overage: 0.1, slack: 20 }
const PARTS = 5

/** The number of operations that may be granted in any window. */
const allowed = ({ operationsPerSecond, burst }: OperationLimit): number =>
  (operationsPerSecond * (TOLERANCE.windowMilliseconds / 1000) + burst) * (1 + TOLERANCE.overage) +
  TOLERANCE.slack

/** The highest number of operations granted within any window. */
function mostInWindow(grants: readonly number[]): number {
  let most = 0
  let first = 0
  for (const [index, at] of grants.entries()) {
    while ((grants[first] ?? at) < at - TOLERANCE.windowMilliseconds) first += 1
    most = Math.max(most, index - first + 1)
  }
  return most
}

type Step =
  | { readonly kind: 'request'; readonly part: number; readonly times: number }
  | { readonly kind: 'rest'; readonly span: number }
  | { readonly kind: 'restart'; readonly part: number }

class LimitSimulation {
  readonly grants: number[] = []
  readonly #limit: OperationLimit
  readonly #parts: LimitPart[]
  readonly #restarted: { readonly part: number; readonly at: number }[] = []
  #now: Milliseconds = milliseconds(0)

  constructor(limit: OperationLimit) {
    this.#limit = limit
    this.#parts = Array.from({ length: PARTS }, () => this.#part())
  }

  apply(step: Step): void {
    switch (step.kind) {
      case 'request':
        for (let count = 0; count < step.times; count += 1) this.#request(step.part)
        return
      case 'rest':
        this.#now = milliseconds(this.#now + step.span)
        return
      case 'restart':
        this.#restart(step.part)
    }
  }

  #request(part: number): void {
    if (this.#parts[part]?.take(this.#now) === 0) this.grants.push(this.#now)
  }

  /** Each host restarts at most twice within a window. */
  #restart(part: number): void {
    const since = this.#now - TOLERANCE.windowMilliseconds
    const recent = this.#restarted.filter(each => each.part === part && each.at > since)
    if (recent.length >= 2) return
    this.#restarted.push({ part, at: this.#now })
    this.#parts[part] = this.#part()
  }

  #part(): LimitPart {
    return new LimitPart(this.#limit, PARTS, TOLERANCE, this.#now)
  }
}

const part = fc.integer({ min: 0, max: PARTS - 1 })
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant('request' as const),
    part,
    times: fc.integer({ min: 1, max: 60 }),
  }),
  fc.record({ kind: fc.constant('rest' as const), span: fc.integer({ min: 1, max: 900 }) }),
  fc.record({ kind: fc.constant('restart' as const), part }),
)

describe('LimitPart', () => {
  // The hosts that hold the parts get requests in any order, are idle, and restart. However they are partitioned, a
  // backend server must never see more of a customer's operations in a window than its limit and the tolerance allow.
  it('grants no more than the limit and its tolerance in any window', () => {
    const limits = fc.record({
      operationsPerSecond: fc.integer({ min: 1, max: 120 }),
      burst: fc.integer({ min: 0, max: 120 }),
    })
    fc.assert(
      fc.property(limits, fc.array(step, { maxLength: 200 }), (limit, steps) => {
        const simulation = new LimitSimulation(limit)
        for (const each of steps) simulation.apply(each)
        return mostInWindow(simulation.grants) <= allowed(limit)
      }),
      { numRuns: 500, seed: 20 },
    )
  })

  const cases: readonly (readonly [string, OperationLimit, number, number])[] = [
    ['grants its capacity after an idle time', { operationsPerSecond: 10, burst: 10 }, 60_000, 4],
    [
      'grants operations to a customer with a limit of one per second',
      { operationsPerSecond: 1, burst: 1 },
      60_000,
      2,
    ],
  ]
  for (const [name, limit, rested, granted] of cases) {
    it(name, () => {
      const bucket = new LimitPart(limit, PARTS, TOLERANCE, milliseconds(0))
      let count = 0
      while (bucket.take(milliseconds(rested)) === 0) count += 1
      expect(count).toEqual(granted)
    })
  }

  it('reports when the next operation may run, and grants it then', () => {
    const limit = { operationsPerSecond: 10, burst: 0 }
    const bucket = new LimitPart(limit, PARTS, TOLERANCE, milliseconds(0))
    while (bucket.take(milliseconds(0)) === 0);
    const wait = bucket.take(milliseconds(0))
    expect(wait > 0 && wait <= 500).toEqual(true)
    expect(bucket.take(milliseconds(Math.ceil(wait)))).toEqual(0)
  })

  it('grants at most three operations at once after the limit was lowered to one per second', () => {
    const bucket = new LimitPart(
      { operationsPerSecond: 100, burst: 100 },
      PARTS,
      TOLERANCE,
      milliseconds(0),
    )
    bucket.take(milliseconds(5000))
    bucket.reconfigure({ operationsPerSecond: 1, burst: 1 }, PARTS)
    let count = 0
    while (bucket.take(milliseconds(5000)) === 0) count += 1
    expect(count <= 3).toEqual(true)
  })

  it('does not refill while another host may still grant the same part', () => {
    const limit = { operationsPerSecond: 100, burst: 0 }
    const bucket = new LimitPart(limit, PARTS, { ...TOLERANCE, slack: 0 }, milliseconds(6000))
    while (bucket.take(milliseconds(0)) === 0);
    expect(bucket.take(milliseconds(5000)) > 1000).toEqual(true)
  })
})
