/**
 * A request that waits, with its values brought into their valid ranges.
 *
 * @internal
 */
import type { Milliseconds } from '@nutmegcourse/shared'
import type { SlotRequest } from './slotRequest.js'

/** Priorities that are not numbers count as this one. */
const LOWEST_CLASS_PRIORITY = Number.MAX_SAFE_INTEGER
/** Keeps a customer of no weight from waiting forever. */
const MINIMUM_WEIGHT = 0.01
/** Estimates below it are treated as unknown. */
const MINIMUM_COST_MILLISECONDS = 0.1

export interface WaitingRequest<Request extends SlotRequest> {
  readonly request: Request
  readonly classPriority: number
  readonly weight: number
  /** Expected slot time. */
  readonly costMilliseconds: number
  /** Started after it, the request misses its target. */
  readonly lateAfter: number
  readonly sequence: number
  isLate: boolean
}

export const validClassPriority = (priority: number): number =>
  Number.isNaN(priority) ? LOWEST_CLASS_PRIORITY : Math.max(0, priority)

export const validWeight = (weight: number): number =>
  Number.isFinite(weight) ? Math.max(MINIMUM_WEIGHT, weight) : MINIMUM_WEIGHT

export const validCost = (cost: number): number =>
  Number.isFinite(cost) ? Math.max(MINIMUM_COST_MILLISECONDS, cost) : MINIMUM_COST_MILLISECONDS

export function waitingRequest<Request extends SlotRequest>(
  request: Request,
  sequence: number,
  now: Milliseconds,
): WaitingRequest<Request> {
  const costMilliseconds = validCost(request.expectedMilliseconds)
  const lateAfter = request.targetAt - costMilliseconds
  return {
    request,
    classPriority: validClassPriority(request.classPriority),
    weight: validWeight(request.customerWeight),
    costMilliseconds,
    lateAfter,
    sequence,
    isLate: lateAfter < now,
  }
}

/** Those that can meet their target first, then the earliest latest start, then arrival. */
export function byUrgency<Request extends SlotRequest>(
  left: WaitingRequest<Request>,
  right: WaitingRequest<Request>,
): number {
  return (
    Number(left.isLate) - Number(right.isLate) ||
    left.request.latestStart - right.request.latestStart ||
    left.request.arrivedAt - right.request.arrivedAt ||
    left.sequence - right.sequence
  )
}
