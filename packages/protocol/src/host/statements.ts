/**
 * What callers ask of an entry host and what they are told, free of any wire format. Each wire has a
 * codec that turns its messages into these types and back.
 */
import type { LogPosition, Brand, KeyDigest } from '@nutmegcourse/shared'

/** Names one statement of one attempt of a caller. Made by the caller, passed on unchanged. */
export type StatementId = Brand<string, 'StatementId'>
export const statementId = (value: string): StatementId => value as StatementId

export type StatementEffect = 'read' | 'write'

export type StatementBody =
  | { readonly kind: 'begin'; readonly readOnly: boolean }
  | { readonly kind: 'commit' }
  | { readonly kind: 'rollback' }
  | { readonly kind: 'read' }
  | { readonly kind: 'write' }
  | { readonly kind: 'set'; readonly name: string; readonly value: string }
  | {
      readonly kind: 'prepare'
      readonly name: string
      readonly effect: StatementEffect
      readonly shape: string
    }
  /** `argument` is everything behind the name, passed on unchanged. */
  | { readonly kind: 'execute'; readonly name: string; readonly argument: string }
  | { readonly kind: 'close'; readonly name: string }
  | { readonly kind: 'malformed'; readonly detail: string }

export interface CallerStatement {
  readonly id: StatementId
  /** As the caller wrote it. */
  readonly text: string
  readonly body: StatementBody
}

/** Where a session stands: outside a transaction, inside one, or inside one that failed. */
export type SessionStatus = 'idle' | 'open' | 'failed'

/**
 * Why a caller gets no ordinary answer. The first five promise that nothing of the attempt is kept;
 * the others promise nothing, or tell of the caller's own mistake.
 */
export type CallerRefusal =
  /** Not run: no server could take it in time. Comes with when to come back. */
  | 'notRun'
  /** The transaction is gone and nothing of it is kept. */
  | 'aborted'
  /** This entry host stops or may take no more connections. */
  | 'tooManyCallers'
  /** The customer has used up its limit. Comes with when to come back. */
  | 'overLimit'
  /** A transaction that declared itself read-only tried to write. */
  | 'readOnly'
  /** The commit or write was sent and its answer did not come. */
  | 'outcomeUnknown'
  /** The route's time for one statement is over. */
  | 'timeout'
  /** The backend server ran it and it failed. */
  | 'failed'
  | 'unknownStatement'
  | 'unknownDatabase'
  /** The caller's key belongs to no customer, or no longer. */
  | 'unknownKey'
  | 'malformed'
  | 'tooLarge'

export type CallerAnswer =
  | { readonly kind: 'rows'; readonly rows: readonly string[]; readonly signature: string }
  /** Answered by the entry host itself. */
  | { readonly kind: 'acknowledged' }
  | { readonly kind: 'refused'; readonly refusal: CallerRefusal; readonly detail: string }

/** What a caller's connection reports. */
export interface CallerEvents {
  started(database: string, key: KeyDigest): void
  statement(statement: CallerStatement): void
  /** The caller ended the session, or its connection is gone. No event follows. */
  ended(): void
}

/** One caller's connection. */
export interface CallerLink {
  listen(events: CallerEvents): void
  answer(answer: CallerAnswer, status: SessionStatus, position: LogPosition | null): void
  /** The session may begin. */
  welcome(): void
  /**
   * Refuses the session, or ends one that rests, and closes. A statement that crosses it on its way takes
   * it for its answer, so it has to be true of any.
   */
  reject(refusal: CallerRefusal, detail: string): void
}
