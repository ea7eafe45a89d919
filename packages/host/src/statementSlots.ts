/**
 * Describes statements to the gate of a backend server, and their answers.
 *
 * @internal
 */
import { addMilliseconds, type Milliseconds } from '@nutmegcourse/shared'
import type { SlotResult } from '@nutmegcourse/state'
import type { AttemptOutcome } from './attempt.js'
import type { BackendServerState } from './backendServerState.js'
import { UNSCHEDULED_SLOT, type SlotAccess, type SlotGate } from './slotGate.js'
import type { StatementRequest } from './statements.js'
import type { Withdrawal } from './waiting.js'

/** Waits for the turn of a statement that begins new work. */
export function enterSlot(
  request: StatementRequest,
  gate: SlotGate,
  latestStart: Milliseconds,
  withdrawal?: Withdrawal,
): Promise<SlotAccess> {
  return gate.enter(request, termsOf(request, latestStart, false), withdrawal)
}

/** Waits for the turn of a later statement of a transaction, ahead of new work. */
export function continueInSlot(
  request: StatementRequest,
  { gate }: Pick<BackendServerState, 'gate'>,
  latestStart: Milliseconds,
): Promise<SlotAccess> {
  if (gate === null) return Promise.resolve({ kind: 'entered', slot: UNSCHEDULED_SLOT })
  return gate.enter(request, termsOf(request, latestStart, true))
}

function termsOf(request: StatementRequest, latestStart: Milliseconds, isUnderWay: boolean) {
  const { service, route, customer, arrivedAt } = request
  return {
    classPriority: route.priority,
    customerWeight: customer === null ? 1 : service.weightOf(customer),
    targetAt: addMilliseconds(arrivedAt, route.latencyTargetMilliseconds),
    latestStart,
    isUnderWay,
  }
}

/** What an answer tells about the use of a slot. */
export function slotResultOf(outcome: AttemptOutcome, slotMilliseconds: number): SlotResult {
  if (outcome.kind === 'answered') return { kind: 'answered', slotMilliseconds }
  const { mishap } = outcome
  if (mishap.kind !== 'refused') return { kind: 'unknown' }
  // It ran.
  if (mishap.refusal === 'failed') return { kind: 'answered', slotMilliseconds }
  return mishap.refusal === 'busy' ? { kind: 'busy' } : { kind: 'unknown' }
}
