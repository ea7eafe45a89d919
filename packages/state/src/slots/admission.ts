/** Decides whether a statement may wait for a slot, or is refused at once because it can not be served in time. */
import { addMilliseconds, type Milliseconds } from '@nutmegcourse/shared'
import { ReturnReservations, type Reservation } from './returnReservations.js'
import type { SlotRequest } from './slotRequest.js'

/** The longest time for which a refused caller is told to stay away. Callers have a few seconds for an operation. */
export const MAX_RETURN_MILLISECONDS = 2000

/** Share of a statement's time that its forecast wait takes when its caller returns as told. */
const RETURN_WAIT_SHARE = 0.5

/** With a longer forecast, after the longest delay, no place is kept. */
const MAX_RETURN_WAIT_SHARE = 0.65

/** The queue in front of a statement that arrives now. */
export interface SlotBacklog {
  /** Expected slot time of the requests that would be served before it, and of what is in flight. */
  readonly aheadMilliseconds: number
  /** Expected slot time of all waiting requests of its class and customer. */
  readonly ownMilliseconds: number
  /** How many statements the server processes concurrently. */
  readonly concurrency: number
}

export type AdmissionDecision =
  | {
      readonly kind: 'admitted'
      readonly forecastMilliseconds: number
      /** When it first arrived, if it was refused then and returned when told. */
      readonly firstArrivedAt?: Milliseconds
    }
  | {
      readonly kind: 'refused'
      readonly forecastMilliseconds: number
      readonly retryAfterMilliseconds: number
    }

interface Refusable {
  readonly request: SlotRequest
  /** The place that was kept for it; null for a newcomer. */
  readonly place: Reservation | null
  /** The wait behind all that goes before it; for a newcomer also behind callers that were told to return. */
  readonly waitMilliseconds: number
}

export class Admission {
  readonly #returns = new ReturnReservations()

  /**
   * A forecast is uncertain, so either some are refused that could have been served or some wait in vain. A refused
   * caller loses a round trip and may keep its place; one that waits in vain loses all its time. So a newcomer is
   * admitted if it is likely to be served in time, and a caller that returned when told unless it is likely not to be.
   */
  decide(request: SlotRequest, backlog: SlotBacklog, now: Milliseconds): AdmissionDecision {
    const concurrency = Math.max(1, backlog.concurrency)
    const forecastMilliseconds = usable(backlog.aheadMilliseconds) / concurrency
    if (request.isUnderWay) return { kind: 'admitted', forecastMilliseconds }
    const place = this.#returns.claim(request, now)
    const expectedMilliseconds = usable(request.expectedMilliseconds)
    const reservedMilliseconds = place === null ? this.#returns.aheadMilliseconds(request, now) : 0
    const waitMilliseconds = forecastMilliseconds + reservedMilliseconds / concurrency
    const deviation = Math.sqrt((forecastMilliseconds * expectedMilliseconds) / concurrency)
    const margin = place === null ? deviation : 0
    const isInTime = now + waitMilliseconds + margin <= request.latestStart
    if (forecastMilliseconds > 0 && !isInTime) {
      return this.#refuse({ request, place, waitMilliseconds }, now)
    }
    if (place === null) return { kind: 'admitted', forecastMilliseconds }
    return { kind: 'admitted', forecastMilliseconds, firstArrivedAt: place.arrivedAt }
  }

  /** Expected slot time of callers that were told to return and come before a newcomer. */
  reservedMilliseconds(newcomer: SlotRequest, now: Milliseconds): number {
    return this.#returns.aheadMilliseconds(newcomer, now)
  }

  /** Refuses a statement and keeps a place for its caller, unless it would come too late after the longest delay. */
  #refuse({ request, place, waitMilliseconds }: Refusable, now: Milliseconds): AdmissionDecision {
    const timeLeft = Math.max(0, request.latestStart - now)
    const drained = Math.max(1, waitMilliseconds - timeLeft * RETURN_WAIT_SHARE)
    const delay = Math.min(drained, MAX_RETURN_MILLISECONDS)
    const isKept = waitMilliseconds - delay <= timeLeft * MAX_RETURN_WAIT_SHARE
    const retryAfterMilliseconds = isKept
      ? this.#keepPlace(request, place, addMilliseconds(now, delay), now)
      : MAX_RETURN_MILLISECONDS
    return { kind: 'refused', forecastMilliseconds: waitMilliseconds, retryAfterMilliseconds }
  }

  /** Returns after how many whole milliseconds its caller should return. */
  #keepPlace(
    request: SlotRequest,
    place: Reservation | null,
    turnAt: Milliseconds,
    now: Milliseconds,
  ): number {
    const returnAt = place === null ? this.#returns.batchAt(request, turnAt, now) : turnAt
    const arrivedAt = place?.arrivedAt ?? request.arrivedAt
    const expectedMilliseconds = usable(request.expectedMilliseconds)
    this.#returns.keep(request, { arrivedAt, returnAt, expectedMilliseconds })
    return Math.ceil(returnAt - now)
  }
}

const usable = (span: number): number => (Number.isFinite(span) ? Math.max(0, span) : 0)
