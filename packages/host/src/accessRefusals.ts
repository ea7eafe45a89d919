/**
 * Refusals of statements for which no connection was available. An earlier attempt that may have run decides the
 * refusal, so that a caller is never wrongly told that nothing ran.
 *
 * @internal
 */
import { recoveryFor, type StatementFailure, type StatementPlace } from '@nutmegcourse/state'
import type { CallerRefusal } from '@nutmegcourse/protocol'
import type { Access } from './serverAccess.js'
import { refused, type StatementRequest, type StatementResult } from './statements.js'

/** The primary does not get its writes confirmed by replicas, so no write is sent to it. */
export const UNCONFIRMED = { kind: 'unconfirmed' } as const

/** Why no connection is available, or why none was requested. */
export type NoAccess = Exclude<Access, { kind: 'connected' }> | typeof UNCONFIRMED

/** The refusal that the last failed attempt leads to when it is not repeated. */
function lastRefusal(place: StatementPlace, last: StatementFailure): CallerRefusal {
  const action = recoveryFor(place, last, false)
  return action.kind === 'answer' ? action.refusal : action.otherwise
}

/** The result of a statement that is not attempted again, such as one whose deadline has passed. */
export const refusalAfter = (
  request: StatementRequest,
  place: StatementPlace,
  last: StatementFailure,
): StatementResult => refused(request, lastRefusal(place, last), last)

/** The result of a statement that got no connection; null if it may try again. */
export function withoutAccess(
  request: StatementRequest,
  place: StatementPlace,
  last: StatementFailure,
  access: NoAccess,
): StatementResult | null {
  switch (access.kind) {
    case 'none':
      return null
    case 'tooLate':
      return refusalAfter(request, place, last)
    case 'overloaded':
    case 'unconfirmed':
      // If an earlier attempt may have run, "notRun" would be wrong.
      if (lastRefusal(place, last) !== 'notRun') return refusalAfter(request, place, last)
      return refused(request, 'notRun', access)
  }
}
