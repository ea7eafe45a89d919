import { describe, it } from 'node:test'
import { expect } from 'earl'
import { customerName, milliseconds } from '@nutmegcourse/shared'
import {
  Admission,
  ConcurrencyLimit,
  ServerSlots,
  type ServerSlotsOptions,
  type SlotResult,
} from '../../src/index.js'
import {
  serverSlots,
  slotRequest,
  type NamedRequest,
  type RequestValues,
} from './support/requests.js'

const at = milliseconds
const answered = (slotMilliseconds: number): SlotResult => ({ kind: 'answered', slotMilliseconds })
const namesOf = (requests: readonly NamedRequest[]): string[] => requests.map(({ name }) => name)

describe('ServerSlots', () => {
  it('starts statements while slots are free, then queues them', () => {
    const slots = serverSlots(2)
    expect(slots.submit(slotRequest({ cost: 10 }), at(0))).toEqual({ kind: 'started' })
    expect(slots.submit(slotRequest({ cost: 10 }), at(0))).toEqual({ kind: 'started' })
    const waiting = { kind: 'queued', forecastMilliseconds: 8, ahead: 0 } as const
    expect(slots.submit(slotRequest({ cost: 10 }), at(2))).toEqual(waiting)
    expect(slots.inFlight).toEqual(2)
    expect(slots.waiting).toEqual(1)
    expect([...slots.waitingByClass]).toEqual([[0, 1]])
  })

  it('refuses what can not be served by its deadline', () => {
    const slots = serverSlots(1)
    slots.submit(slotRequest({ cost: 500 }), at(0))
    const submission = slots.submit(slotRequest({ deadline: 400 }), at(0))
    expect(submission.kind).toEqual('refused')
    expect(slots.waiting).toEqual(0)
  })

  it('queues a statement of an open transaction at the head, whatever its deadline', () => {
    const slots = serverSlots(1)
    const running = slotRequest({ cost: 500 })
    slots.submit(running, at(0))
    slots.submit(slotRequest({ name: 'new' }), at(0))
    const continued = slotRequest({ name: 'continued', isUnderWay: true, deadline: 400 })
    expect(slots.submit(continued, at(0)).kind).toEqual('queued')
    expect(slots.inFlight).toEqual(1)
    slots.finish(running, answered(100), at(100))
    expect(namesOf(slots.takeStartable(at(100)))).toEqual(['continued'])
  })

  const results: readonly (readonly [string, SlotResult, number, number])[] = [
    ['answered', answered(30), 2, 1],
    ['busy', { kind: 'busy' }, 1, 0],
    ['unknown', { kind: 'unknown' }, 2, 0],
  ]
  for (const [name, result, limit, share] of results) {
    it(`frees the slot of a statement that ended: ${name}`, () => {
      const slots = serverSlots(2, { limit: new ConcurrencyLimit(2) })
      const [first, second] = [slotRequest({ customer: 'a' }), slotRequest({ customer: 'b' })]
      slots.submit(first, at(0))
      slots.submit(second, at(0))
      slots.finish(second, result, at(30))
      slots.finish(second, result, at(30))
      expect(slots.inFlight).toEqual(1)
      expect(slots.limit).toEqual(limit)
      expect(slots.shares.get(customerName('b')) ?? 0).toEqual(share)
    })
  }

  it('starts nothing above a limit that has fallen', () => {
    const limit = new ConcurrencyLimit(3)
    const slots = new ServerSlots<NamedRequest>({ limit, admission: new Admission() })
    const running = [slotRequest(), slotRequest(), slotRequest()]
    for (const request of running) slots.submit(request, at(0))
    slots.submit(slotRequest({ name: 'next' }), at(0))
    const [first = slotRequest(), second = slotRequest()] = running
    limit.recordBusy(2, at(1))
    slots.finish(first, { kind: 'unknown' }, at(1))
    expect(slots.takeStartable(at(1))).toEqual([])
    slots.finish(second, { kind: 'unknown' }, at(1))
    expect(slots.takeStartable(at(1))).toEqual([])
    expect(slots.inFlight).toEqual(1)
  })

  it('starts no statement after its latest start, and returns it as expired', () => {
    const slots = serverSlots(1)
    const running = slotRequest()
    slots.submit(running, at(0))
    slots.submit(slotRequest({ name: 'short', deadline: 50 }), at(0))
    slots.submit(slotRequest({ name: 'long' }), at(0))
    expect(slots.nextExpiry).toEqual(at(40))
    expect(slots.takeExpired(at(40))).toEqual([])
    slots.finish(running, answered(60), at(60))
    expect(namesOf(slots.takeStartable(at(60)))).toEqual(['long'])
    expect(namesOf(slots.takeExpired(at(60)))).toEqual(['short'])
    expect(slots.takeExpired(at(60))).toEqual([])
  })

  it('forgets a statement that is withdrawn', () => {
    const slots = serverSlots(1)
    const running = slotRequest()
    slots.submit(running, at(0))
    const waiting = slotRequest({ deadline: 50 })
    slots.submit(waiting, at(0))
    slots.withdraw(waiting)
    slots.finish(running, answered(10), at(60))
    expect(slots.takeStartable(at(60))).toEqual([])
    expect(slots.takeExpired(at(60))).toEqual([])
    expect(slots.nextExpiry).toEqual(null)
  })

  it('serves statements whose values are no numbers', () => {
    const values = { classPriority: NaN, customer: 'a' }
    const requests = [NaN, 0].map(customerWeight => ({
      ...slotRequest({ ...values, customerWeight }),
      expectedMilliseconds: NaN,
    }))
    const slots = serverSlots(1)
    const kinds = requests.map(request => slots.submit(request, at(0)).kind)
    expect(kinds).toEqual(['started', 'queued'])
    const [first = slotRequest(), second = slotRequest()] = requests
    slots.finish(first, answered(NaN), at(10))
    expect(slots.takeStartable(at(10))).toEqual([second])
  })

  it('tells the share of slot time that each customer used, and forgets it', () => {
    const slots = serverSlots(1)
    for (const [customer, used] of [
      ['a', 30],
      ['b', 10],
    ] as const) {
      const request = slotRequest({ customer })
      slots.submit(request, at(0))
      slots.finish(request, answered(used), at(100))
    }
    expect(slots.shares.get(customerName('a'))).toEqual(0.75)
    const later = slotRequest({ customer: 'c' })
    slots.submit(later, at(60_000))
    slots.finish(later, answered(5), at(60_000))
    expect([...slots.shares.keys()]).toEqual([customerName('c')])
  })
})

describe('forecast of a statement that arrives on a busy server', () => {
  /** Admits whatever is forecast to start in time, without a margin. */
  const admission: ServerSlotsOptions['admission'] = {
    decide: ({ latestStart }, { aheadMilliseconds, concurrency }, now) => {
      const forecastMilliseconds = aheadMilliseconds / concurrency
      const isInTime = now + forecastMilliseconds <= latestStart
      return isInTime
        ? { kind: 'admitted', forecastMilliseconds }
        : { kind: 'refused', forecastMilliseconds, retryAfterMilliseconds: 0 }
    },
    reservedMilliseconds: () => 0,
  }
  const running = { classPriority: 1, cost: 100 }
  const cases: readonly (readonly [string, readonly RequestValues[], RequestValues, number])[] = [
    ['nothing waits', [], {}, 100],
    ['its own class', [{ cost: 60, deadline: 170 }], {}, 130],
    ['its own class with later deadlines', [{ cost: 60 }], {}, 100],
    ['a lower class', [{ classPriority: 2, cost: 60 }], {}, 100],
    ['a higher class, at most until its minimum share', [{ cost: 60 }], { classPriority: 2 }, 150],
    ['a late statement of its class', [{ cost: 60, target: 20 }], {}, 100],
    [
      'another customer, by turns',
      [
        { customer: 'b', cost: 60 },
        { customer: 'b', cost: 60 },
      ],
      { customer: 'a' },
      130,
    ],
  ]
  for (const [name, waiting, values, forecast] of cases) {
    it(name, () => {
      const slots = serverSlots(2, { admission })
      for (const each of [running, running, ...waiting]) slots.submit(slotRequest(each), at(0))
      const request = (deadline: number) =>
        slotRequest({ ...values, cost: 10, deadline: deadline + 10 })
      expect(Math.round(slots.forecast(request(1000), at(0)))).toEqual(forecast)
      const tooShort = slots.submit(request(forecast - 2), at(0))
      expect(tooShort.kind).toEqual('refused')
      const enough = slots.submit(request(forecast + 2), at(0))
      expect(enough.kind).toEqual('queued')
    })
  }
})
