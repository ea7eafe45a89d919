/** Decides whether a statement may wait for a slot, or is refused at once because it can not be served in time. */
import type { Milliseconds } from '@nutmegcourse/shared'
import type { SlotRequest } from './slotRequest.js'

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
  | { readonly kind: 'admitted'; readonly forecastMilliseconds: number }
  | {
      readonly kind: 'refused'
      readonly forecastMilliseconds: number
      readonly retryAfterMilliseconds: number
    }

export class Admission {
  decide(request: SlotRequest, backlog: SlotBacklog, now: Milliseconds): AdmissionDecision {
    const forecastMilliseconds = backlog.aheadMilliseconds / Math.max(1, backlog.concurrency)
    if (now + forecastMilliseconds <= request.latestStart) {
      return { kind: 'admitted', forecastMilliseconds }
    }
    return { kind: 'refused', forecastMilliseconds, retryAfterMilliseconds: forecastMilliseconds }
  }
}
