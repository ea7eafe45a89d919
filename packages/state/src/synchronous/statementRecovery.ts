/**
 * Decides how a failed statement is handled: for each place in a transaction and each kind of failure,
 * whether the statement may be retried, and if not, which refusal tells the caller truthfully what happened.
 */
import { assertNever } from '@nutmegcourse/shared'
import type {
  BackendRefusal,
  CallerRefusal,
  LinkFailure,
  UnfitAnswer,
} from '@nutmegcourse/protocol'

export type StatementPlace =
  /** A read outside a transaction. */
  | 'singleRead'
  /** A write outside a transaction, which is committed on its own. */
  | 'singleWrite'
  /** The first statement of a transaction: nothing of the transaction was answered before. */
  | 'firstOfTransaction'
  /** A later statement, before the commit. */
  | 'withinTransaction'
  | 'commit'

export type StatementFailure =
  /** The statement was never sent. */
  | { readonly kind: 'notSent' }
  /** It would have waited too long for a connection and was not queued. */
  | { readonly kind: 'overloaded'; readonly waitMilliseconds: number }
  /** It was not sent: the primary's writes are not being confirmed, as when it is partitioned from its replicas. */
  | { readonly kind: 'unconfirmed' }
  | { readonly kind: 'refused'; readonly refusal: BackendRefusal }
  /** It was sent, and the connection failed before the answer arrived. */
  | {
      readonly kind: 'lost'
      readonly failure: LinkFailure['kind']
      /** The answer that could not be used, if the connection failed for that reason. */
      readonly unfit?: UnfitAnswer
    }
  /** It was not sent: no message of the wire can hold it, or the session's values. */
  | { readonly kind: 'unwritable' }
  /** It was sent, and the route's statement timeout expired before the answer arrived. */
  | { readonly kind: 'overdue' }

export type RecoveryAction =
  /** Retry elsewhere or later while there is time left; once there is none, answer with `otherwise`. */
  | { readonly kind: 'retry'; readonly otherwise: CallerRefusal }
  /** Retry on the same connection, whose transaction is still open. */
  | { readonly kind: 'retryHere'; readonly otherwise: CallerRefusal }
  | { readonly kind: 'answer'; readonly refusal: CallerRefusal }

const answer = (refusal: CallerRefusal): RecoveryAction => ({ kind: 'answer', refusal })
const retry = (otherwise: CallerRefusal): RecoveryAction => ({ kind: 'retry', otherwise })

/** `isOpen`: the transaction is still open on its connection. */
export function recoveryFor(
  place: StatementPlace,
  failure: StatementFailure,
  isOpen: boolean,
): RecoveryAction {
  switch (failure.kind) {
    case 'notSent':
      return place === 'withinTransaction' || place === 'commit'
        ? answer('aborted')
        : retry('notRun')
    case 'overloaded':
    case 'unconfirmed':
      return answer(place === 'withinTransaction' || place === 'commit' ? 'aborted' : 'notRun')
    case 'unwritable':
      return answer(place === 'withinTransaction' || place === 'commit' ? 'aborted' : 'malformed')
    case 'refused':
      return recoveryForRefused(place, failure.refusal, isOpen)
    case 'lost':
      return recoveryForUnanswered(place, 'lost')
    case 'overdue':
      return recoveryForUnanswered(place, 'overdue')
    default:
      return assertNever(failure)
  }
}

/**
 * Closing a connection rolls its transaction back, so a transaction without its commit leaves nothing behind;
 * the outcome of a commit or a single write that was sent is unknown.
 */
function recoveryForUnanswered(place: StatementPlace, cause: 'lost' | 'overdue'): RecoveryAction {
  switch (place) {
    case 'singleRead':
      return cause === 'lost' ? retry('timeout') : answer('timeout')
    case 'firstOfTransaction':
      return cause === 'lost' ? retry('aborted') : answer('aborted')
    case 'withinTransaction':
      return answer('aborted')
    case 'singleWrite':
    case 'commit':
      return answer('outcomeUnknown')
    default:
      return assertNever(place)
  }
}

function recoveryForRefused(
  place: StatementPlace,
  refusal: BackendRefusal,
  isOpen: boolean,
): RecoveryAction {
  switch (refusal) {
    // The statement did not run.
    case 'busy':
    case 'behind':
    case 'notPrimary':
    case 'unknownStatement':
      return recoveryForNotRun(place, refusal, isOpen)
    // It ran and failed. Unless it only read, whether it left anything behind is known to the server alone.
    case 'failed':
      return place === 'singleRead' ? retry('failed') : recoveryForFailed(place)
    case 'timeout':
      return place === 'singleRead' ? retry('timeout') : recoveryForUnanswered(place, 'overdue')
    case 'wrongServer':
    case 'tooManyConnections':
    case 'other':
      return recoveryForUnanswered(place, 'overdue')
    default:
      return assertNever(refusal)
  }
}

function recoveryForNotRun(
  place: StatementPlace,
  refusal: BackendRefusal,
  isOpen: boolean,
): RecoveryAction {
  switch (place) {
    case 'singleRead':
    case 'singleWrite':
    case 'firstOfTransaction':
      return retry('notRun')
    case 'withinTransaction':
    case 'commit':
      // A busy server refuses without ending the transaction; one that is no longer primary has ended it.
      if (refusal === 'busy' && isOpen) return { kind: 'retryHere', otherwise: 'aborted' }
      return answer('aborted')
    default:
      return assertNever(place)
  }
}

function recoveryForFailed(place: Exclude<StatementPlace, 'singleRead'>): RecoveryAction {
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
