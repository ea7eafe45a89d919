import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as fc from 'fast-check'
import { milliseconds } from '@nutmegcourse/shared'
import { SlotScheduler, type SlotResult } from '../../src/index.js'
import { serveLoad, type Outcome } from './support/fakeServer.js'
import { serverSlots, slotRequest, type NamedRequest } from './support/requests.js'

const LONGEST_MILLISECONDS = 40
const MINIMUM_SHARE = 0.1
/** What a class may have saved up of its minimum share. */
const CREDIT_MILLISECONDS = 100

/** A failing case is made smaller for at most so long. */
const fewerRequests = { interruptAfterTimeLimit: 30_000 }

const at = milliseconds

// Targets are deadlines: what can only be served late is refused if its class asks for more than the server has,
// although that demand may end before its deadline.
const requestsOfClasses = (classes: number) =>
  fc.array(
    fc
      .record({
        classPriority: fc.nat(classes - 1),
        arrivedAt: fc.nat(400),
        cost: fc.integer({ min: 5, max: LONGEST_MILLISECONDS }),
        deadline: fc.integer({ min: 200, max: 2000 }),
      })
      .map(values => slotRequest({ ...values, target: values.deadline })),
    { maxLength: 120, size: 'max' },
  )

const startOf = (outcome: Outcome | undefined): number | null =>
  outcome?.kind === 'answered' ? outcome.startedAt : null

/** Slot time of the statements of lower classes that started in a period, and what their minimum shares allow. */
function lowerStarts(
  outcomes: ReadonlyMap<NamedRequest, Outcome>,
  { classPriority }: NamedRequest,
  from: number,
  until: number,
) {
  let lower = 0
  let all = 0
  const classes = new Set<number>()
  for (const [other, outcome] of outcomes) {
    const start = startOf(outcome)
    if (start === null || start <= from || start >= until) continue
    all += other.expectedMilliseconds
    if (other.classPriority <= classPriority) continue
    lower += other.expectedMilliseconds
    classes.add(other.classPriority)
  }
  return { lower, allowed: classes.size * (MINIMUM_SHARE * all + CREDIT_MILLISECONDS) }
}

function serve(slots: number, requests: readonly NamedRequest[]) {
  return serveLoad({ slots: serverSlots(slots), serverSlots: slots, requests })
}

describe('properties of the order', () => {
  it('starts no lower class while a higher one waits, beyond the minimum share', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 4 }), requestsOfClasses(3), (slots, requests) => {
        const outcomes = serve(slots, requests)
        for (const [request, outcome] of outcomes) {
          const until = outcome.kind === 'answered' ? outcome.startedAt : outcome.at
          const { lower, allowed } = lowerStarts(outcomes, request, request.arrivedAt, until)
          expect(lower).toBeLessThanOrEqual(allowed)
        }
      }),
      fewerRequests,
    )
  })

  it('refuses no higher class where a lower one then starts before its latest start', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 4 }), requestsOfClasses(2), (slots, requests) => {
        const outcomes = serve(slots, requests)
        for (const [request, outcome] of outcomes) {
          if (outcome.kind !== 'refused' || request.classPriority !== 0) continue
          // A forecast is exact to within one statement.
          const until = request.latestStart - LONGEST_MILLISECONDS
          const { lower, allowed } = lowerStarts(outcomes, request, outcome.at, until)
          expect(lower).toBeLessThanOrEqual(allowed)
        }
      }),
      fewerRequests,
    )
  })

  it('lets no customer wait behind one that used more for its weight since both wait', () => {
    const customer = fc.record({
      weight: fc.constantFrom(1, 1 / 2, 1 / 3),
      costs: fc.array(fc.integer({ min: 5, max: LONGEST_MILLISECONDS }), {
        minLength: 1,
        maxLength: 20,
        size: 'max',
      }),
    })
    const customers = fc.array(customer, { minLength: 2, maxLength: 6 })
    fc.assert(
      fc.property(customers, fc.nat(30), (flows, servedBefore) => {
        const scheduler = new SlotScheduler<NamedRequest>()
        const enqueue = ({ weight, costs }: (typeof flows)[number], name: string) => {
          for (const cost of costs) {
            const values = { name, customer: name, customerWeight: weight, cost }
            scheduler.enqueue(slotRequest({ ...values, target: Infinity }), at(0))
          }
        }
        const [newcomer, ...others] = flows
        others.forEach((flow, index) => {
          enqueue(flow, String(index + 1))
        })
        for (let index = 0; index < servedBefore; index += 1) scheduler.next(at(0))
        if (newcomer !== undefined) enqueue(newcomer, '0')
        const used = flows.map(() => 0)
        const left = newcomer?.costs.length ?? 0
        for (let served = 0; served < left;) {
          const next = scheduler.next(at(0))
          if (next === null) break
          const index = Number(next.name)
          used[index] = (used[index] ?? 0) + next.expectedMilliseconds / next.customerWeight
          if (index === 0) served += 1
          const mine = (used[0] ?? 0) + LONGEST_MILLISECONDS / (newcomer?.weight ?? 1)
          const most = (used[index] ?? 0) - LONGEST_MILLISECONDS / next.customerWeight
          expect(most).toBeLessThanOrEqual(mine + 0.001)
        }
      }),
    )
  })

  it('never exceeds the limit, and ends each statement once', () => {
    const result = fc.constantFrom<SlotResult>(
      { kind: 'answered', slotMilliseconds: 20 },
      { kind: 'busy' },
      { kind: 'unknown' },
    )
    const step = fc.oneof(
      fc.record({
        kind: fc.constant('submit' as const),
        isUnderWay: fc.boolean(),
        classPriority: fc.nat(2),
        customer: fc.constantFrom('a', 'b'),
        deadline: fc.integer({ min: 0, max: 300 }),
      }),
      fc.record({ kind: fc.constant('finish' as const), result }),
      fc.record({ kind: fc.constant('withdraw' as const) }),
      fc.record({ kind: fc.constant('wait' as const), span: fc.nat(100) }),
    )
    fc.assert(
      fc.property(fc.array(step, { maxLength: 150, size: 'max' }), steps => {
        const slots = serverSlots(3)
        const inFlight = new Set<NamedRequest>()
        const waiting = new Set<NamedRequest>()
        let now = 0
        const take = () => {
          const mayStart = Math.max(0, slots.limit - inFlight.size)
          for (const request of slots.takeExpired(at(now)))
            expect(waiting.delete(request)).toEqual(true)
          const started = slots.takeStartable(at(now))
          expect(started.length).toBeLessThanOrEqual(mayStart)
          for (const request of started) {
            expect(request.latestStart).toBeGreaterThanOrEqual(now)
            expect(waiting.delete(request)).toEqual(true)
            inFlight.add(request)
          }
          expect(slots.inFlight).toEqual(inFlight.size)
          expect(slots.waiting).toEqual(waiting.size)
          if (waiting.size > 0) expect(inFlight.size).toBeGreaterThanOrEqual(slots.limit)
        }
        for (const each of steps) {
          const [running] = inFlight
          const [queued] = waiting
          if (each.kind === 'submit') {
            const request = slotRequest({ ...each, arrivedAt: now })
            const { kind } = slots.submit(request, at(now))
            if (kind === 'started') inFlight.add(request)
            if (kind === 'queued') waiting.add(request)
            if (kind === 'refused') expect(each.isUnderWay).toEqual(false)
          } else if (each.kind === 'finish' && running !== undefined) {
            inFlight.delete(running)
            slots.finish(running, each.result, at(now))
          } else if (each.kind === 'withdraw' && queued !== undefined) {
            waiting.delete(queued)
            slots.withdraw(queued)
          } else if (each.kind === 'wait') now += each.span
          take()
        }
      }),
    )
  })
})
