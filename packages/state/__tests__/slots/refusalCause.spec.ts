import { describe, it } from 'node:test'
import { expect } from 'earl'
import { milliseconds } from '@nutmegcourse/shared'
import type { RefusalCause } from '../../src/index.js'
import { serverSlots, slotRequest, type RequestValues } from './support/requests.js'

const at = milliseconds

const repeated = (count: number, values: RequestValues): readonly RequestValues[] =>
  Array.from({ length: count }, () => values)

interface Case {
  readonly cause: RefusalCause
  readonly reason: string
  /** Answered before the others are submitted. */
  readonly answered?: readonly RequestValues[]
  readonly submitted: readonly RequestValues[]
  readonly newcomer: RequestValues
}

describe('cause of a refusal', () => {
  const lower = { classPriority: 1, cost: 10, target: 4000, deadline: 900 }
  const own = { customer: 'a', cost: 20, deadline: 340 }
  const cases: readonly Case[] = [
    {
      cause: 'queue',
      reason: 'what is in flight takes longer than the caller has',
      submitted: [{ cost: 500 }],
      newcomer: { deadline: 400 },
    },
    {
      cause: 'higherClasses',
      reason: 'higher classes have kept all slots busy',
      submitted: [...repeated(24, { cost: 10 }), ...repeated(7, lower)],
      newcomer: lower,
    },
    {
      cause: 'customer',
      reason: 'its customer has more waiting than its share, and another one will ask again',
      answered: repeated(10, { customer: 'b', cost: 20 }),
      submitted: repeated(7, own),
      newcomer: own,
    },
    {
      cause: 'target',
      reason: 'it can only be served late, and its class keeps all slots busy',
      submitted: repeated(20, { cost: 20, target: 4000, deadline: 850 }),
      newcomer: { cost: 20, target: 100, deadline: 900 },
    },
    {
      cause: 'returning',
      reason: 'places are kept for callers that were refused before',
      submitted: [{ cost: 480 }, ...repeated(40, { cost: 20, deadline: 460 })],
      newcomer: { cost: 20, deadline: 600 },
    },
  ]
  for (const { cause, reason, answered = [], submitted, newcomer } of cases) {
    it(`${cause}: ${reason}`, () => {
      const slots = serverSlots(1)
      for (const each of answered.map(slotRequest)) {
        slots.submit(each, at(0))
        slots.finish(each, { kind: 'answered', slotMilliseconds: 20 }, at(0))
      }
      for (const each of submitted) slots.submit(slotRequest(each), at(0))
      const submission = slots.submit(slotRequest(newcomer), at(0))
      expect(submission.kind === 'refused' ? submission.cause : submission.kind).toEqual(cause)
    })
  }
})

describe('forecast of a newcomer', () => {
  it('is none while a slot is free', () => {
    expect(serverSlots(1).forecastNewcomer(slotRequest(), at(0))).toEqual(0)
  })

  // Guards against a forecast for operators that promises more than the next newcomer gets.
  it('includes the places kept for callers that return, as its refusal does', () => {
    const slots = serverSlots(1)
    slots.submit(slotRequest({ cost: 480 }), at(0))
    for (const each of repeated(5, { cost: 20, deadline: 460 })) {
      slots.submit(slotRequest(each), at(0))
    }
    const newcomer = slotRequest({ cost: 20, deadline: 500 })
    const forecast = slots.forecastNewcomer(newcomer, at(0))
    expect(forecast > slots.forecast(newcomer, at(0))).toEqual(true)
    const submission = slots.submit(newcomer, at(0))
    expect(submission.kind === 'refused' && submission.forecastMilliseconds).toEqual(forecast)
  })
})

describe('slot time that customers used', () => {
  it('is forgotten when no more is used', () => {
    const slots = serverSlots(1)
    const request = slotRequest({ customer: 'a' })
    slots.submit(request, at(0))
    slots.finish(request, { kind: 'answered', slotMilliseconds: 30 }, at(30))
    expect([...slots.usedMilliseconds(at(5000)).values()]).toEqual([30])
    expect(slots.usedMilliseconds(at(60_000)).size).toEqual(0)
  })
})
