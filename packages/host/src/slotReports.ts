/**
 * Logs statements that got no slot: what was expected of their turn, and what decided.
 *
 * @internal
 */
import type { BackendServerId, Milliseconds } from '@nutmegcourse/shared'
import type { SlotRequest, Submission } from '@nutmegcourse/state'
import type { HostContext } from './hostContext.js'
import type { LogFields } from './decisionLog.js'

export type QueuedSubmission = Extract<Submission, { kind: 'queued' }>

export interface GatedStatement extends SlotRequest {
  readonly id: string
  readonly route: string
  /** What was expected when it began to wait; null before. */
  readonly queued: QueuedSubmission | null
}

interface ServerState {
  readonly server: BackendServerId
  readonly limit: number
  readonly inFlight: number
  readonly waiting: number
}

export function reportSlotRefused(
  { log }: HostContext,
  state: ServerState,
  gated: GatedStatement,
  refusal: Extract<Submission, { kind: 'refused' }>,
  now: Milliseconds,
): void {
  log.write('slot_refused', {
    ...fieldsOf(gated),
    ahead: refusal.ahead,
    decidedBy: refusal.cause,
    forecastMilliseconds: Math.round(refusal.forecastMilliseconds),
    leftMilliseconds: Math.round(gated.latestStart - now),
    retryAfterMilliseconds: Math.round(refusal.retryAfterMilliseconds),
    ...state,
  })
}

export function reportSlotOverdue(
  { log }: HostContext,
  state: ServerState,
  gated: GatedStatement,
  now: Milliseconds,
): void {
  log.write('slot_overdue', {
    ...fieldsOf(gated),
    ahead: gated.queued?.ahead,
    forecastMilliseconds: Math.round(gated.queued?.forecastMilliseconds ?? 0),
    waitedMilliseconds: Math.round(now - gated.arrivedAt),
    ...state,
  })
}

const fieldsOf = ({ id, route, classPriority, customer }: GatedStatement): LogFields => ({
  request: id,
  route,
  priority: classPriority,
  customer,
})
