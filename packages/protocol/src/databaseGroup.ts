/** The agreed state of one database, kept in the platform's store under `groups/<database>`. */
import type {
  AttemptId,
  BackendServerId,
  DatabaseId,
  EntryHostId,
  LogPosition,
  Term,
} from '@nutmegcourse/shared'

/** Progress of a change of primary. A group without a change in progress is `stable`. */
export type GroupPhase =
  | { readonly kind: 'stable' }
  /** Writes wait while the target of a planned move catches up. The old primary still leads. */
  | { readonly kind: 'moving'; readonly target: BackendServerId }
  /** The term is taken; a majority is being fenced. */
  | { readonly kind: 'fencing'; readonly target: BackendServerId | null }
  /** The new primary is chosen and recorded, not yet known to lead. */
  | { readonly kind: 'promoting'; readonly chosen: BackendServerId }

/** Which writes of earlier terms a term kept: those at or before `startsAfter`. */
export interface TermStart {
  readonly term: Term
  readonly primary: BackendServerId
  readonly startsAfter: LogPosition
}

export interface GroupRecord {
  readonly database: DatabaseId
  /** The newest term that any coordinator took. Fences carry it. */
  readonly term: Term
  /** The backend server that leads in `term`, or led last while a change is in progress. */
  readonly primary: BackendServerId | null
  readonly phase: GroupPhase
  /** Who holds `term`, and the attempt that took it. */
  readonly coordinator: EntryHostId | null
  readonly attempt: AttemptId | null
  /** The newest terms' starts, newest last, at most `TERM_STARTS_KEPT`. */
  readonly termStarts: readonly TermStart[]
}

export const TERM_STARTS_KEPT = 16

export const groupKey = (database: DatabaseId): string => `groups/${database}`
export const GROUP_KEY_PREFIX = 'groups/'
