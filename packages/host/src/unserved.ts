/**
 * What a caller is told whose statement found no server, and what was tried before is not forgotten over it.
 *
 * @internal
 */
import { fateOf, type Mishap, type StatementPlace } from '@nutmegcourse/state'
import type { CallerRefusal } from '@nutmegcourse/protocol'
import type { Access } from './serverAccess.js'
import { refused, type StatementRequest, type StatementResult } from './statements.js'

/** The primary's writes wait for replicas that it does not reach. */
export const UNCONFIRMED = { kind: 'unconfirmed' } as const

/** Why there is no connection, or none is asked for. */
export type NoAccess = Exclude<Access, { kind: 'connected' }> | typeof UNCONFIRMED

/** What is left to say after the last try. */
function lastRefusal(place: StatementPlace, last: Mishap): CallerRefusal {
  const fate = fateOf(place, last, false)
  return fate.kind === 'answer' ? fate.refusal : fate.otherwise
}

/** The final answer once the time of a statement is over. */
export const refusalAfter = (
  request: StatementRequest,
  place: StatementPlace,
  last: Mishap,
): StatementResult => refused(request, lastRefusal(place, last), last)

/** What the caller is told when no server gave a connection; null when the request may go on looking. */
export function withoutAccess(
  request: StatementRequest,
  place: StatementPlace,
  last: Mishap,
  access: NoAccess,
): StatementResult | null {
  switch (access.kind) {
    case 'none':
      return null
    case 'tooLate':
      return refusalAfter(request, place, last)
    case 'overloaded':
    case 'unconfirmed':
      // An earlier try may have run; then "not run" would not be true.
      if (lastRefusal(place, last) !== 'notRun') return refusalAfter(request, place, last)
      return refused(request, 'notRun', access)
  }
}
