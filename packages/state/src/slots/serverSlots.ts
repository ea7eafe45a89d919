/** The slots of one backend server: what runs, what waits, and what may not wait. */
import type { CustomerName, Milliseconds } from '@nutmegcourse/shared'
import type { Admission, SlotBacklog } from './admission.js'
import type { ConcurrencyLimit } from './concurrencyLimit.js'
import { IndexedHeap } from './indexedHeap.js'
import { SlidingTotals } from './slidingTotals.js'
import { SlotDemand, type ForecastCause } from './slotDemand.js'
import type { SlotRequest, SlotResult } from './slotRequest.js'
import { SlotScheduler, type PositionInOrder } from './slotScheduler.js'
import { validCost } from './waitingRequest.js'

/** Shares of slot time are those of about this period. */
const SHARES_PERIOD_MILLISECONDS = 10_000

export type Submission =
  | { readonly kind: 'started' }
  | {
      readonly kind: 'queued'
      readonly forecastMilliseconds: number
      /** About how many waiting requests are served before it. */
      readonly ahead: number
    }
  | {
      readonly kind: 'refused'
      readonly forecastMilliseconds: number
      readonly retryAfterMilliseconds: number
      readonly ahead: number
      readonly cause: RefusalCause
    }

/** How many statements may be in flight; learns from how they end. */
export type StatementLimit = Pick<ConcurrencyLimit, 'value' | 'recordAnswer' | 'recordBusy'>

/** `returning`: without the places kept for callers that were told to return, it could have waited. */
export type RefusalCause = ForecastCause | 'returning'

export interface ServerSlotsOptions {
  readonly limit: StatementLimit
  readonly admission: Pick<Admission, 'decide' | 'reservedMilliseconds'>
}

interface CausedBacklog extends SlotBacklog {
  readonly cause: ForecastCause
}

interface InFlight {
  readonly startedAt: Milliseconds
  /** Statements in flight when it started, itself included. */
  readonly inFlight: number
}

/** Beyond this many times its expected duration, a statement no longer counts as one of the slow ones. */
const OVERRUN_FACTOR = 8

/** Of its expected duration, what a statement in flight takes at least from now on. */
const LEAST_REMAINING_SHARE = 0.1

/**
 * A request is submitted once. If it is queued, it is later returned by `takeStartable` or `takeExpired`, or
 * withdrawn; if it started, it is finished. Callers ask `takeExpired` and `takeStartable` after each finish,
 * and `takeExpired` when the earliest latest start has passed.
 */
export class ServerSlots<Request extends SlotRequest> {
  readonly #limit: StatementLimit
  readonly #admission: ServerSlotsOptions['admission']
  readonly #scheduler = new SlotScheduler<Request>()
  readonly #demand = new SlotDemand()
  readonly #usage = new SlidingTotals<CustomerName | null>(SHARES_PERIOD_MILLISECONDS)
  readonly #inFlight = new Map<Request, InFlight>()
  readonly #expiries = new IndexedHeap<Request>(
    (left, right) => left.latestStart - right.latestStart,
  )
  /** Removed from the queue, but not yet taken by the caller. */
  readonly #expired = new Set<Request>()

  constructor({ limit, admission }: ServerSlotsOptions) {
    this.#limit = limit
    this.#admission = admission
  }

  get inFlight(): number {
    return this.#inFlight.size
  }

  get waiting(): number {
    return this.#scheduler.size
  }

  /** Only classes with waiting requests. */
  get waitingByClass(): ReadonlyMap<number, number> {
    return this.#scheduler.sizeByClass
  }

  get limit(): number {
    return this.#limit.value
  }

  /** The latest time until which the most urgent waiting request can start. */
  get nextExpiry(): Milliseconds | null {
    return this.#expiries.peek()?.latestStart ?? null
  }

  /** Each customer's part of the slot time that was used recently, as of the latest answer. */
  get shares(): ReadonlyMap<CustomerName | null, number> {
    const used = [...this.#usage.keys()].map(key => [key, this.#usage.get(key)] as const)
    const total = used.reduce((sum, [, milliseconds]) => sum + milliseconds, 0)
    return new Map(total > 0 ? used.map(([key, milliseconds]) => [key, milliseconds / total]) : [])
  }

  /** Slot time that each customer used recently. */
  usedMilliseconds(now: Milliseconds): ReadonlyMap<CustomerName | null, number> {
    this.#usage.advance(now)
    return new Map([...this.#usage.keys()].map(key => [key, this.#usage.get(key)]))
  }

  submit(request: Request, now: Milliseconds): Submission {
    this.#demand.recordOffered(request, now)
    if (this.#scheduler.size === 0 && this.#hasFreeSlot) {
      this.#enqueue(request, now)
      this.#startNext(now)
      return { kind: 'started' }
    }
    const position = this.#scheduler.position(request, now)
    const backlog = this.#backlogOf(request, position, now)
    const { ahead } = position
    if (request.isUnderWay) {
      const forecastMilliseconds = backlog.aheadMilliseconds / backlog.concurrency
      this.#enqueue(request, now)
      return { kind: 'queued', forecastMilliseconds, ahead }
    }
    const decision = this.#admission.decide(request, backlog, now)
    const { forecastMilliseconds } = decision
    if (decision.kind === 'refused') {
      const { retryAfterMilliseconds } = decision
      const cause = causeOf(request, backlog, forecastMilliseconds, now)
      return { kind: 'refused', forecastMilliseconds, retryAfterMilliseconds, ahead, cause }
    }
    this.#enqueue(request, now)
    return { kind: 'queued', forecastMilliseconds, ahead }
  }

  /** Frees the slot of a request that started. */
  finish(request: Request, result: SlotResult, now: Milliseconds): void {
    const started = this.#inFlight.get(request)
    if (started === undefined) return
    this.#inFlight.delete(request)
    switch (result.kind) {
      case 'answered':
        this.#limit.recordAnswer(result.slotMilliseconds, started.inFlight, now)
        this.#scheduler.noteSlotTime(request, result.slotMilliseconds, now)
        if (result.slotMilliseconds > 0) {
          this.#usage.add(request.customer, result.slotMilliseconds, now)
        }
        return
      case 'busy':
        this.#limit.recordBusy(started.inFlight, now)
        this.#scheduler.noteSlotTime(request, 0, now)
        return
      case 'unknown':
        this.#scheduler.noteSlotTime(request, 0, now)
    }
  }

  /** A waiting request is no longer wanted. */
  withdraw(request: Request): void {
    this.#scheduler.remove(request)
    this.#expiries.delete(request)
    this.#expired.delete(request)
  }

  /**
   * Starts waiting requests in the free slots and returns them. `unsent`: started requests that wait for connections in
   * use. Those may be of open transactions, so that these may use the slots meanwhile, or neither would go on.
   */
  takeStartable(now: Milliseconds, unsent = 0): Request[] {
    this.#removeExpired(now)
    const started: Request[] = []
    while (this.#hasFreeSlot || this.#mayGoOn(unsent)) {
      const request = this.#startNext(now)
      if (request === null) break
      started.push(request)
    }
    return started
  }

  /** Removes waiting requests that can no longer be answered by their deadlines, and returns them. */
  takeExpired(now: Milliseconds): Request[] {
    this.#removeExpired(now)
    const expired = [...this.#expired]
    this.#expired.clear()
    return expired
  }

  /** Expected wait of a request that waits, or would be submitted now. */
  forecast(request: Request, now: Milliseconds): number {
    if (this.#scheduler.size === 0 && this.#hasFreeSlot) return 0
    const position = this.#scheduler.position(request, now)
    const { aheadMilliseconds, concurrency } = this.#backlogOf(request, position, now)
    return aheadMilliseconds / concurrency
  }

  /** Expected wait of a newcomer, also behind callers that were told to return. */
  forecastNewcomer(newcomer: Request, now: Milliseconds): number {
    const reserved = this.#admission.reservedMilliseconds(newcomer, now)
    const wait = this.forecast(newcomer, now)
    return wait === 0 ? 0 : wait + reserved / Math.max(1, this.#limit.value)
  }

  get #hasFreeSlot(): boolean {
    return this.#inFlight.size < this.#limit.value
  }

  #mayGoOn(unsent: number): boolean {
    return this.#scheduler.isNextUnderWay && this.#inFlight.size - unsent < this.#limit.value
  }

  #enqueue(request: Request, now: Milliseconds): void {
    this.#scheduler.enqueue(request, now)
    this.#expiries.push(request)
    this.#demand.recordAdmitted(request, now)
  }

  #startNext(now: Milliseconds): Request | null {
    const request = this.#scheduler.next(now)
    if (request === null) return null
    this.#expiries.delete(request)
    this.#inFlight.set(request, { startedAt: now, inFlight: this.#inFlight.size + 1 })
    return request
  }

  #removeExpired(now: Milliseconds): void {
    for (;;) {
      const request = this.#expiries.peek()
      if (request === null || request.latestStart >= now) return
      this.#expiries.pop()
      this.#scheduler.remove(request)
      this.#expired.add(request)
    }
  }

  #backlogOf(request: Request, position: PositionInOrder, now: Milliseconds): CausedBacklog {
    const concurrency = Math.max(1, this.#limit.value)
    const load = { slots: concurrency, inFlightMilliseconds: this.#inFlightMilliseconds(now) }
    return {
      ...this.#demand.forecast(request, position, load, now),
      ownMilliseconds: this.#scheduler.ownMilliseconds(request),
      concurrency,
    }
  }

  /** Expected slot time until what is in flight has finished. */
  #inFlightMilliseconds(now: Milliseconds): number {
    let milliseconds = 0
    for (const [request, { startedAt }] of this.#inFlight) {
      milliseconds += remainingMilliseconds(
        now - startedAt,
        validCost(request.expectedMilliseconds),
      )
    }
    return milliseconds
  }
}

/**
 * One that takes many times as long as expected, as at a server that hangs, is likely to take as long again; one that
 * takes a little longer is not over at once.
 */
function remainingMilliseconds(elapsed: number, expected: number): number {
  if (elapsed > expected * OVERRUN_FACTOR) return elapsed
  return Math.max(expected * LEAST_REMAINING_SHARE, expected - elapsed)
}

function causeOf(
  { latestStart }: SlotRequest,
  { aheadMilliseconds, concurrency, cause }: CausedBacklog,
  forecastMilliseconds: number,
  now: Milliseconds,
): RefusalCause {
  const wait = aheadMilliseconds / concurrency
  return forecastMilliseconds > wait && now + wait <= latestStart ? 'returning' : cause
}
