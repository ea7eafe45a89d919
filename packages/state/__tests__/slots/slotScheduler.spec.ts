import { describe, it } from 'node:test'
import { expect } from 'earl'
import { milliseconds } from '@nutmegcourse/shared'
import { SlotScheduler } from '../../src/index.js'
import { slotRequest, type NamedRequest, type RequestValues } from './support/requests.js'

const at = milliseconds
/** 10,000 scans of 10,000 requests take many times as long. */
const MAXIMUM_CPU_MILLISECONDS = 3000

/** Names in the order in which they are served at `now`. */
function order(requests: readonly NamedRequest[], now = 0): string {
  const scheduler = new SlotScheduler<NamedRequest>()
  for (const request of requests) scheduler.enqueue(request, at(now))
  return drain(scheduler, now)
}

function drain(scheduler: SlotScheduler<NamedRequest>, now = 0): string {
  const names: string[] = []
  for (let next = scheduler.next(at(now)); next !== null; next = scheduler.next(at(now))) {
    names.push(next.name)
  }
  return names.join(' ')
}

const many = (count: number, values: RequestValues): NamedRequest[] =>
  Array.from({ length: count }, () => slotRequest(values))

describe('order of waiting statements', () => {
  const cases: readonly (readonly [string, readonly RequestValues[], string])[] = [
    ['nothing waits', [], ''],
    ['arrival', [{ name: 'a' }, { name: 'b', arrivedAt: 1 }], 'a b'],
    [
      'open transactions first',
      [{ name: 'a' }, { name: 'b', classPriority: 2, isUnderWay: true }],
      'b a',
    ],
    [
      'open transactions by class, then latest start',
      [
        { name: 'a', classPriority: 1, isUnderWay: true },
        { name: 'b', isUnderWay: true, deadline: 900 },
        { name: 'c', isUnderWay: true, deadline: 800 },
      ],
      'c b a',
    ],
    [
      'class',
      [
        { name: 'a', classPriority: 1 },
        { name: 'b', classPriority: 0 },
      ],
      'b a',
    ],
    [
      'class before latest start',
      [{ name: 'a', classPriority: 1, deadline: 50 }, { name: 'b' }],
      'b a',
    ],
    ['what meets its target before what is late', [{ name: 'a', target: 9 }, { name: 'b' }], 'b a'],
    [
      'late before a lower class',
      [
        { name: 'a', classPriority: 1 },
        { name: 'b', target: 9 },
      ],
      'b a',
    ],
    ['latest start within a customer', [{ name: 'a' }, { name: 'b', deadline: 900 }], 'b a'],
    [
      'customers by turns',
      [
        { name: 'a1', customer: 'a' },
        { name: 'a2', customer: 'a' },
        { name: 'a3', customer: 'a' },
        { name: 'b1', customer: 'b' },
        { name: 'b2', customer: 'b' },
      ],
      'a1 b1 a2 b2 a3',
    ],
    [
      'customers by slot time rather than by number',
      [
        { name: 'a1', customer: 'a', cost: 30 },
        { name: 'a2', customer: 'a', cost: 30 },
        { name: 'b1', customer: 'b' },
        { name: 'b2', customer: 'b' },
        { name: 'b3', customer: 'b' },
        { name: 'b4', customer: 'b' },
      ],
      'a1 b1 b2 b3 a2 b4',
    ],
    [
      'customers by weight',
      [
        { name: 'a1', customer: 'a', customerWeight: 0.5 },
        { name: 'a2', customer: 'a', customerWeight: 0.5 },
        { name: 'b1', customer: 'b' },
        { name: 'b2', customer: 'b' },
        { name: 'b3', customer: 'b' },
      ],
      'a1 b1 b2 a2 b3',
    ],
    ['negative priority as 0', [{ name: 'a' }, { name: 'b', classPriority: -3 }], 'a b'],
    [
      'no number as the lowest class',
      [
        { name: 'a', classPriority: NaN },
        { name: 'b', classPriority: 99 },
      ],
      'b a',
    ],
    [
      'no weight as the least',
      [
        { name: 'a1', customer: 'a', customerWeight: 0 },
        { name: 'a2', customer: 'a', customerWeight: NaN },
        { name: 'b1', customer: 'b' },
        { name: 'b2', customer: 'b' },
      ],
      'a1 b1 b2 a2',
    ],
    [
      'expected times that are no numbers',
      [
        { name: 'a', cost: NaN },
        { name: 'b', cost: -5 },
      ],
      'a b',
    ],
  ]
  for (const [name, values, expected] of cases) {
    it(name, () => {
      expect(order(values.map(slotRequest))).toEqual(expected)
    })
  }

  it('becomes late while it waits', () => {
    const late = slotRequest({ name: 'late', target: 100 })
    expect(order([late, slotRequest({ name: 'timely' })], 0)).toEqual('late timely')
    const scheduler = new SlotScheduler<NamedRequest>()
    scheduler.enqueue(late, at(0))
    scheduler.enqueue(slotRequest({ name: 'timely' }), at(0))
    expect(drain(scheduler, 91)).toEqual('timely late')
  })

  it('gives a class of low priority a tenth of the slot time', () => {
    const low = many(50, { name: 'low', classPriority: 1 })
    const served = order([...low, ...many(500, { name: 'high' })]).split(' ')
    expect(served.slice(0, 101).filter(name => name === 'low').length).toEqual(10)
    expect(served.slice(400, 500).filter(name => name === 'low').length).toEqual(10)
  })

  it('saves up no credit for a class that had nothing to do', () => {
    const scheduler = new SlotScheduler<NamedRequest>()
    for (const request of many(300, { name: 'high' })) scheduler.enqueue(request, at(0))
    for (let index = 0; index < 200; index += 1) scheduler.next(at(0))
    for (const request of many(20, { name: 'low', classPriority: 1 }))
      scheduler.enqueue(request, at(0))
    const served = drain(scheduler).split(' ')
    expect(served.slice(0, 51).filter(name => name === 'low').length).toEqual(5)
  })

  it('owes a customer nothing for its absence', () => {
    const scheduler = new SlotScheduler<NamedRequest>()
    for (const request of many(200, { name: 'a', customer: 'a' })) scheduler.enqueue(request, at(0))
    for (let index = 0; index < 100; index += 1) scheduler.next(at(0))
    for (const request of many(20, { name: 'b', customer: 'b' })) scheduler.enqueue(request, at(0))
    const served = drain(scheduler).split(' ')
    expect(served.slice(0, 20).filter(name => name === 'b').length).toEqual(10)
  })

  it('counts the slot time that was used rather than the expected one', () => {
    const scheduler = new SlotScheduler<NamedRequest>()
    const names = ['a', 'a', 'a', 'b', 'b', 'b']
    for (const name of names) scheduler.enqueue(slotRequest({ name, customer: name }), at(0))
    const first = scheduler.next(at(0))
    if (first !== null) scheduler.noteSlotTime(first, 30, at(0))
    expect(drain(scheduler)).toEqual('b b b a a')
  })

  it('removes requests that are no longer wanted', () => {
    const scheduler = new SlotScheduler<NamedRequest>()
    const requests = ['a', 'b', 'c'].map(name => slotRequest({ name, customer: name }))
    for (const request of requests) scheduler.enqueue(request, at(0))
    const [first = slotRequest()] = requests
    expect(scheduler.remove(first)).toEqual(true)
    expect(scheduler.remove(first)).toEqual(false)
    expect(scheduler.size).toEqual(2)
    expect(scheduler.ownMilliseconds(first)).toEqual(0)
    expect(drain(scheduler)).toEqual('b c')
  })
})

describe('expected slot time before a request', () => {
  const waiting: readonly RequestValues[] = [
    { customer: 'a', classPriority: 1, cost: 20 },
    { customer: 'a', classPriority: 1, cost: 20 },
    { customer: 'b', classPriority: 1, cost: 30 },
    { customer: 'a', classPriority: 3, cost: 100 },
    { customer: 'a', classPriority: 3, isUnderWay: true, cost: 5 },
  ]
  const cases: readonly (readonly [string, RequestValues, number, number])[] = [
    ['of the highest class: open transactions', { cost: 1 }, 5, 0],
    ['of a customer that waits twice', { customer: 'a', classPriority: 1, cost: 20 }, 75 + 7, 40],
    ['of a customer that waits once', { customer: 'b', classPriority: 1, cost: 20 }, 75 + 7, 30],
    ['of a new customer', { customer: 'c', classPriority: 1, cost: 20 }, 55 + 5, 0],
    ['of an open transaction', { isUnderWay: true, cost: 20 }, 0, 0],
    ['of a lower class', { classPriority: 2, cost: 20 }, 75 + 7, 0],
  ]
  for (const [name, values, ahead, own] of cases) {
    it(name, () => {
      const scheduler = new SlotScheduler<NamedRequest>()
      for (const each of waiting) scheduler.enqueue(slotRequest(each), at(0))
      const request = slotRequest(values)
      expect(Math.round(scheduler.aheadMilliseconds(request, at(0)))).toEqual(ahead)
      expect(scheduler.ownMilliseconds(request)).toEqual(own)
    })
  }
})

describe('many customers', () => {
  it('serves 10,000 customers with 10,000 requests without a scan of all for each, and forgets them', () => {
    const scheduler = new SlotScheduler<NamedRequest>()
    const requests = Array.from({ length: 10_000 }, (_, index) =>
      slotRequest({ customer: `c${String(index)}`, classPriority: index % 3, target: index }),
    )
    const startedAt = process.cpuUsage()
    for (const request of requests) {
      scheduler.aheadMilliseconds(request, at(0))
      scheduler.enqueue(request, at(0))
    }
    let served = 0
    for (let next = scheduler.next(at(served)); next !== null; next = scheduler.next(at(served))) {
      scheduler.noteSlotTime(next, 9, at(served))
      served += 1
    }
    expect(served).toEqual(10_000)
    expect(scheduler.sizeByClass.size).toEqual(0)
    expect(process.cpuUsage(startedAt).user / 1000).toBeLessThan(MAXIMUM_CPU_MILLISECONDS)
  })
})
