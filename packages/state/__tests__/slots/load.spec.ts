import { describe, it } from 'node:test'
import { expect } from 'earl'
import { customerWeight } from '../../src/index.js'
import { serveLoad, type Outcome } from './support/fakeServer.js'
import { serverSlots, streamOf, type NamedRequest, type Stream } from './support/requests.js'

const SLOTS = 5
const SEEDS = [1, 2, 3, 4, 5]
/** Callers who were let in and are sent away later have waited for nothing. */
const MAXIMUM_EXPIRED_SHARE = 0.01
const WHOLE = { from: 0, until: 20_000 }

const confirmation = { name: 'confirmation', classPriority: 0, cost: 8, target: 500 }
const report = { name: 'report', classPriority: 1, cost: 24, target: 1000 }
const overview = { name: 'overview', classPriority: 2, cost: 40, target: 2500, deadline: 6000 }

const none = {
  arrived: 0,
  answeredInTime: 0,
  answered: 0,
  refused: 0,
  expired: 0,
  answeredMilliseconds: 0,
}

type Counts = Readonly<typeof none>

/** Plays the streams on one server, and counts how their requests ended by name. */
function play(streams: readonly Stream[], seed: number): ReadonlyMap<string, Counts> {
  const requests = streams.flatMap((stream, index) => streamOf(stream, 100 * seed + index))
  const outcomes = serveLoad({ slots: serverSlots(SLOTS), serverSlots: SLOTS, requests })
  expect(outcomes.size).toEqual(requests.length)
  const counts = new Map<string, Counts>()
  for (const [request, outcome] of outcomes) {
    counts.set(request.name, countOutcome(counts.get(request.name) ?? none, request, outcome))
  }
  return counts
}

function countOutcome(known: Counts, request: NamedRequest, outcome: Outcome): Counts {
  const isAnswered = outcome.kind === 'answered'
  const isInTime = isAnswered && outcome.answeredAt <= request.targetAt
  return {
    arrived: known.arrived + 1,
    answeredInTime: known.answeredInTime + Number(isInTime),
    answered: known.answered + Number(isAnswered),
    refused: known.refused + Number(outcome.kind === 'refused'),
    expired: known.expired + Number(outcome.kind === 'expired'),
    answeredMilliseconds:
      known.answeredMilliseconds + (isAnswered ? request.expectedMilliseconds : 0),
  }
}

function expectAllInTime(counts: Counts = none): void {
  expect(counts.arrived).toBeGreaterThan(0)
  expect(counts.answeredInTime).toEqual(counts.arrived)
}

function expectAdmittedAreAnswered(counts: Counts = none): void {
  const admitted = counts.answered + counts.expired
  expect(admitted).toBeGreaterThan(0)
  expect(counts.expired / admitted).toBeLessThanOrEqual(MAXIMUM_EXPIRED_SHARE)
}

describe('load on one server', () => {
  for (const seed of SEEDS) {
    it(`burst of the lowest class, seed ${seed}`, () => {
      const counts = play(
        [
          { ...WHOLE, slots: 0.5, values: confirmation },
          { ...WHOLE, slots: 2, values: report },
          { from: 5000, until: 15_000, slots: 3 * SLOTS, values: overview },
        ],
        seed,
      )
      expectAllInTime(counts.get('confirmation'))
      expectAllInTime(counts.get('report'))
      expectAdmittedAreAnswered(counts.get('overview'))
    })

    it(`burst of the lowest class beside open transactions, seed ${seed}`, () => {
      const counts = play(
        [
          { ...WHOLE, slots: 0.5, values: { ...confirmation, isUnderWay: true } },
          { ...WHOLE, slots: 3 * SLOTS, values: overview },
        ],
        seed,
      )
      expectAllInTime(counts.get('confirmation'))
    })

    it(`hot customer, seed ${seed}`, () => {
      const usual = SLOTS / 10
      const names = ['hot', 'a', 'b', 'c', 'd', 'e', 'f', 'g']
      const counts = play(
        names.map(name => ({
          ...WHOLE,
          slots: name === 'hot' ? 7 * usual : usual,
          values: { ...report, name, customer: name },
        })),
        seed,
      )
      for (const name of names.slice(1)) expectAllInTime(counts.get(name))
      expectAdmittedAreAnswered(counts.get('hot'))
      const { answered, refused } = counts.get('hot') ?? none
      expect(refused).toBeGreaterThan(0)
      expect(answered).toBeGreaterThan(counts.get('a')?.answered ?? 0)
    })

    it(`customer that comes and goes each second, seed ${seed}`, () => {
      const names = ['a', 'b', 'c', 'd', 'e', 'f']
      const values = { ...report, name: 'visitor', customer: 'visitor' }
      const visits = Array.from({ length: 10 }, (_, index) => ({
        from: 2000 * index,
        until: 2000 * index + 1000,
        slots: 2 * SLOTS,
        values,
      }))
      const steady = names.map(name => ({
        ...WHOLE,
        slots: 0.5,
        values: { ...report, name, customer: name },
      }))
      const counts = play([...steady, ...visits], seed)
      for (const name of names) expectAllInTime(counts.get(name))
    })

    it(`one primary does the work of three servers, seed ${seed}`, () => {
      const counts = play(
        [
          { ...WHOLE, slots: 0.4, values: confirmation },
          { ...WHOLE, slots: 3.6, values: report },
          { ...WHOLE, slots: 2.5, values: overview },
        ],
        seed,
      )
      expectAllInTime(counts.get('confirmation'))
      for (const name of ['report', 'overview']) expectAdmittedAreAnswered(counts.get(name))
    })

    it(`customers with priorities, seed ${seed}`, () => {
      const priorities = [0, 1, 2, 3]
      const counts = play(
        priorities.map(priority => ({
          ...WHOLE,
          slots: SLOTS,
          values: {
            ...report,
            name: String(priority),
            customer: String(priority),
            customerWeight: customerWeight(priority),
          },
        })),
        seed,
      )
      const weights = priorities.map(customerWeight)
      const sum = weights.reduce((total, weight) => total + weight, 0)
      const used = [...counts.values()].reduce(
        (total, each) => total + each.answeredMilliseconds,
        0,
      )
      for (const priority of priorities) {
        const share = (counts.get(String(priority)) ?? none).answeredMilliseconds / used
        expect(share).toBeGreaterThan((0.9 * customerWeight(priority)) / sum)
        expectAdmittedAreAnswered(counts.get(String(priority)))
      }
    })
  }
})
