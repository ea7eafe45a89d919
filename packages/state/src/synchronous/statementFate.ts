/**
 * The one truthful answer to a caller whose statement got no ordinary one: for each place that a
 * statement can have in its transaction, and each thing that can go wrong, whether it may be tried
 * again, and if not, what the caller is told.
 */
import { assertNever } from '@nutmegcourse/shared'
import type { BackendRefusal, CallerRefusal, LinkFailure } from '@nutmegcourse/protocol'

export type StatementPlace =
  /** A read outside a transaction. */
  | 'singleRead'
  /** A write outside a transaction, which commits by itself. */
  | 'singleWrite'
  /** The first statement of a transaction: nothing of it was answered before. */
  | 'firstOfTransaction'
  /** A later statement, before the commit. */
  | 'withinTransaction'
  | 'commit'

export type Mishap =
  /** It was never sent. */
  | { readonly kind: 'notSent' }
  /** It would have waited too long for a connection, and was not let into the line. */
  | { readonly kind: 'overloaded'; readonly waitMilliseconds: number }
  /** It was not sent: the primary's writes are not confirmed, as when it is cut off from its replicas. */
  | { readonly kind: 'unconfirmed' }
  | { readonly kind: 'refused'; readonly refusal: BackendRefusal }
  /** It was sent, and the connection failed before the answer. */
  | { readonly kind: 'lost'; readonly failure: LinkFailure['kind'] }
  /** It was sent, and the route's time was over before the answer. */
  | { readonly kind: 'overdue' }

export type Fate =
  /** Try again elsewhere or later, as long as there is time; if there is none, say this. */
  | { readonly kind: 'retry'; readonly otherwise: CallerRefusal }
  /** Try again on the same connection, whose transaction still stands. */
  | { readonly kind: 'retryHere'; readonly otherwise: CallerRefusal }
  | { readonly kind: 'answer'; readonly refusal: CallerRefusal }

const answer = (refusal: CallerRefusal): Fate => ({ kind: 'answer', refusal })
const retry = (otherwise: CallerRefusal): Fate => ({ kind: 'retry', otherwise })

/** `isOpen`: the transaction still stands on its connection. */
export function fateOf(place: StatementPlace, mishap: Mishap, isOpen: boolean): Fate {
  switch (mishap.kind) {
    case 'notSent':
      return place === 'withinTransaction' || place === 'commit'
        ? answer('aborted')
        : retry('notRun')
    case 'overloaded':
    case 'unconfirmed':
      return answer(place === 'withinTransaction' || place === 'commit' ? 'aborted' : 'notRun')
    case 'refused':
      return fateOfRefused(place, mishap.refusal, isOpen)
    case 'lost':
      return fateOfUnanswered(place, 'lost')
    case 'overdue':
      return fateOfUnanswered(place, 'overdue')
    default:
      return assertNever(mishap)
  }
}

/**
 * A connection that is closed rolls back, so without its commit a transaction leaves nothing; of a
 * commit or a single write that was sent nothing can be said.
 */
function fateOfUnanswered(place: StatementPlace, how: 'lost' | 'overdue'): Fate {
  switch (place) {
    case 'singleRead':
      return how === 'lost' ? retry('timeout') : answer('timeout')
    case 'firstOfTransaction':
      return how === 'lost' ? retry('aborted') : answer('aborted')
    case 'withinTransaction':
      return answer('aborted')
    case 'singleWrite':
    case 'commit':
      return answer('outcomeUnknown')
    default:
      return assertNever(place)
  }
}

function fateOfRefused(place: StatementPlace, refusal: BackendRefusal, isOpen: boolean): Fate {
  switch (refusal) {
    // Nothing ran.
    case 'busy':
    case 'behind':
    case 'notPrimary':
    case 'unknownStatement':
      return fateOfUnrun(place, refusal, isOpen)
    // It ran and failed. Whether anything is left is the server's secret, unless it only read.
    case 'failed':
      return place === 'singleRead' ? retry('failed') : fateOfFailed(place)
    case 'timeout':
      return place === 'singleRead' ? retry('timeout') : fateOfUnanswered(place, 'overdue')
    case 'wrongServer':
    case 'tooManyConnections':
    case 'other':
      return fateOfUnanswered(place, 'overdue')
    default:
      return assertNever(refusal)
  }
}

function fateOfUnrun(place: StatementPlace, refusal: BackendRefusal, isOpen: boolean): Fate {
  switch (place) {
    case 'singleRead':
    case 'singleWrite':
    case 'firstOfTransaction':
      return retry('notRun')
    case 'withinTransaction':
    case 'commit':
      // A full server refuses without ending the transaction; one that lost the lead has ended it.
      if (refusal === 'busy' && isOpen) return { kind: 'retryHere', otherwise: 'aborted' }
      return answer('aborted')
    default:
      return assertNever(place)
  }
}

function fateOfFailed(place: Exclude<StatementPlace, 'singleRead'>): Fate {
  switch (place) {
    case 'singleWrite':
    case 'commit':
      return answer('failed')
    case 'firstOfTransaction':
    case 'withinTransaction':
      return answer('aborted')
    default:
      return assertNever(place)
  }
}
