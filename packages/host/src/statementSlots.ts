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

/** Waits for the turn of a statement that begins new work. */
export function enterSlot(
  request: StatementRequest,
  gate: SlotGate,
  latestStart: Milliseconds,
): Promise<SlotAccess> {
  return enter(request, gate, latestStart, false)
}

/** Waits for the turn of a later statement of a transaction, ahead of new work. */
export function continueInSlot(
  request: StatementRequest,
  { gate }: Pick<BackendServerState, 'gate'>,
  latestStart: Milliseconds,
): Promise<SlotAccess> {
  if (gate === null) return Promise.resolve({ kind: 'entered', slot: UNSCHEDULED_SLOT })
  return enter(request, gate, latestStart, true)
}

function enter(
  request: StatementRequest,
  gate: SlotGate,
  latestStart: Milliseconds,
  isUnderWay: boolean,
): Promise<SlotAccess> {
  const { service, route, customer, arrivedAt } = request
  const terms = {
    classPriority: route.priority,
    customerWeight: customer === null ? 1 : service.weightOf(customer),
    targetAt: addMilliseconds(arrivedAt, route.latencyTargetMilliseconds),
    latestStart,
    isUnderWay,
  }
  return gate.enter(request, terms)
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
