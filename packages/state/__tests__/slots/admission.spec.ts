import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { customerName, milliseconds } from '@nutmegcourse/shared'
import {
  Admission,
  MAX_RETURN_MILLISECONDS,
  type AdmissionDecision,
  type SlotRequest,
} from '../../src/index.js'

const SLOTS = 2
const WORK_MILLISECONDS = 20
const TIMEOUT_MILLISECONDS = 1000

function statementAt(now: number, given: Partial<SlotRequest> = {}): SlotRequest {
  return {
    classPriority: 1,
    customer: customerName('alfa'),
    customerWeight: 1,
    arrivedAt: milliseconds(now),
    targetAt: milliseconds(now + TIMEOUT_MILLISECONDS / 2),
    latestStart: milliseconds(now + TIMEOUT_MILLISECONDS),
    isUnderWay: false,
    expectedMilliseconds: WORK_MILLISECONDS,
    ...given,
  }
}

/** `wait`: how long the requests ahead keep all slots busy. */
function decide(
  admission: Admission,
  now: number,
  wait: number,
  given: Partial<SlotRequest> = {},
): AdmissionDecision {
  const backlog = {
    aheadMilliseconds: wait * SLOTS,
    ownMilliseconds: wait * SLOTS,
    concurrency: SLOTS,
  }
  return admission.decide(statementAt(now, given), backlog, milliseconds(now))
}

function delayOf(decision: AdmissionDecision): number {
  if (decision.kind === 'admitted') throw new Error('expected a refusal, but it was admitted')
  return decision.retryAfterMilliseconds
}

describe('Admission', () => {
  /** The wait ahead of a statement that has 1000 ms to start, and whether it may wait. */
  const cases: readonly (readonly [
    string,
    number,
    Partial<SlotRequest>,
    'admitted' | 'refused',
  ])[] = [
    ['with nothing ahead', 0, {}, 'admitted'],
    ['with nothing ahead and no time left', 0, { latestStart: milliseconds(-1) }, 'admitted'],
    ['that starts past its target but in time to be answered', 850, {}, 'admitted'],
    ['that is about as likely to start in time as not', 995, {}, 'refused'],
    ['that can not start in time', 1001, {}, 'refused'],
    ['that has no time left', 10, { latestStart: milliseconds(-1) }, 'refused'],
    ['of an open transaction that starts late', 5000, { isUnderWay: true }, 'admitted'],
    ['of unknown duration', 850, { expectedMilliseconds: Number.NaN }, 'admitted'],
    ['without a customer', 1001, { customer: null }, 'refused'],
    ['of a customer without weight', 1001, { customerWeight: 0 }, 'refused'],
  ]
  for (const [name, wait, given, expected] of cases) {
    it(`has a statement ${expected}: one ${name}`, () => {
      expect(decide(new Admission(), 0, wait, given).kind).toEqual(expected)
    })
  }

  it('tells callers to return one after the other as the backlog drains', () => {
    const admission = new Admission()
    const delays = Array.from({ length: 60 }, () => delayOf(decide(admission, 0, 1000)))
    expect(delays).toEqual([...delays].sort((left, right) => left - right))
    // 60 statements take two slots 600 ms.
    const span = (delays.at(-1) ?? 0) - (delays[0] ?? 0)
    expect(span).toBeBetween(450, 650)
  })

  it('never tells a caller to stay away for longer than it has time', () => {
    const admission = new Admission()
    for (let count = 0; count < 1000; count += 1) {
      expect(delayOf(decide(admission, 0, 1000))).toBeBetween(1, MAX_RETURN_MILLISECONDS)
    }
  })

  // Guards against callers that return when told and find that newcomers were admitted in their place.
  it('admits a caller that returns when told, and refuses newcomers before and after it', () => {
    const admission = new Admission()
    const told = [1, 2, 3, 4, 5].map(() => delayOf(decide(admission, 0, 1010)))
    expect(decide(admission, (told[0] ?? 0) - 5, 950).kind).toEqual('refused')
    const returning = told.map(delay => decide(admission, delay, 950))
    for (const decision of returning) {
      expect(decision.kind === 'admitted' ? decision.firstArrivedAt : null).toEqual(milliseconds(0))
    }
    expect(decide(admission, told.at(-1) ?? 0, 950).kind).toEqual('refused')
  })

  // Guards against statements with a long timeout, whose queue alone is longer than the longest delay.
  it('keeps a place for a statement with a long timeout', () => {
    const admission = new Admission()
    const until = (now: number) => ({ latestStart: milliseconds(now + 4000) })
    const delay = delayOf(decide(admission, 0, 4200, until(0)))
    expect(delay).toEqual(MAX_RETURN_MILLISECONDS)
    expect(decide(admission, delay, 3990, until(delay)).kind).toEqual('admitted')
    expect(decide(admission, delay, 3990, until(delay)).kind).toEqual('refused')
  })

  it('keeps the place of a caller that is refused once more after it returned when told', () => {
    const admission = new Admission()
    const first = delayOf(decide(admission, 0, 1010))
    const second = first + delayOf(decide(admission, first, 1010))
    const decision = decide(admission, second, 900)
    expect(decision.kind === 'admitted' ? decision.firstArrivedAt : null).toEqual(milliseconds(0))
  })

  it('gives the place to nobody of another customer or class', () => {
    const admission = new Admission()
    const delay = delayOf(decide(admission, 0, 1010))
    const others = [{ customer: customerName('bravo') }, { classPriority: 2 }]
    for (const other of others) {
      expect(decide(admission, delay, 950, other).kind).toEqual('refused')
    }
    expect(decide(admission, delay, 950).kind).toEqual('admitted')
  })

  // Guards against a server that stands idle for callers that gave up.
  it('keeps no place for callers that have not come back for a second', () => {
    const admission = new Admission()
    const delays = Array.from({ length: 100 }, () => delayOf(decide(admission, 0, 1000)))
    const now = Math.max(...delays) + 1000
    expect(decide(admission, now, 900)).toEqual({ kind: 'admitted', forecastMilliseconds: 900 })
  })

  it('forgets the callers of 10,000 customers', () => {
    const admission = new Admission()
    for (let index = 0; index < 10_000; index += 1) {
      decide(admission, index / 10, 1010, { customer: customerName(`customer-${String(index)}`) })
    }
    const later = 5000
    decide(admission, later, 1010)
    expect(decide(admission, later, 850, { classPriority: 2 }).kind).toEqual('admitted')
  })

  it('never refuses a returning caller and admits a newcomer that has as long to wait', () => {
    const steps = fc.array(
      fc.record({
        pause: fc.integer({ min: 0, max: 200 }),
        wait: fc.integer({ min: 0, max: 2000 }),
      }),
      { maxLength: 60 },
    )
    fc.assert(
      fc.property(steps, fc.integer({ min: 1, max: 2000 }), (history, wait) => {
        const admission = new Admission()
        let now = 0
        for (const step of history) {
          now += step.pause
          decide(admission, now, step.wait)
        }
        const refusal = decide(admission, now, 2000)
        const delay = refusal.kind === 'refused' ? refusal.retryAfterMilliseconds : 0
        fc.pre(delay < MAX_RETURN_MILLISECONDS)
        const newcomer = decide(admission, now + delay, wait, { customer: customerName('bravo') })
        const returning = decide(admission, now + delay, wait)
        expect([newcomer.kind, returning.kind]).not.toEqual(['admitted', 'refused'])
      }),
    )
  })
})
