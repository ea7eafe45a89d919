/**
 * Statements of callers and the answers of an entry host, independent of the wire format. Each wire
 * format has a codec that converts between its messages and these types.
 */
import type { LogPosition, Brand, KeyDigest } from '@nutmegcourse/shared'
import type { Result } from 'neverthrow'

/** Identifies one statement of one attempt of a caller. Created by the caller, forwarded unchanged. */
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
  /** `argument` is everything after the name, forwarded unchanged. */
  | { readonly kind: 'execute'; readonly name: string; readonly argument: string }
  | { readonly kind: 'close'; readonly name: string }
  | { readonly kind: 'malformed'; readonly detail: string }

export interface CallerStatement {
  readonly id: StatementId
  /** As the caller wrote it. */
  readonly text: string
  readonly body: StatementBody
}

/** Transaction status of a session: outside a transaction, inside one, or inside one that failed. */
export type SessionStatus = 'idle' | 'open' | 'failed'

/**
 * Why a caller gets an error instead of a result. The first five guarantee that nothing of the attempt
 * is kept; the others guarantee nothing, or report a mistake of the caller.
 */
export type CallerRefusal =
  /** Not run: no server could take it in time. The detail says when to retry. */
  | 'notRun'
  /** The transaction was lost and nothing of it is kept. */
  | 'aborted'
  /** This entry host is stopping or may accept no more connections. */
  | 'tooManyCallers'
  /** The customer has used up its limit. The detail says when to retry. */
  | 'overLimit'
  /** A transaction declared read-only tried to write. */
  | 'readOnly'
  /** The commit or write was sent but not answered. */
  | 'outcomeUnknown'
  /** The statement timeout of the route has passed. */
  | 'timeout'
  /** The statement ran on the backend server and failed. */
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

/** Events of a caller's connection. */
export interface CallerEvents {
  started(database: string, key: KeyDigest): void
  statement(statement: CallerStatement): void
  /** The caller ended the session or its connection closed. No event follows. */
  ended(): void
}

/** One caller's connection. */
export interface CallerLink {
  listen(events: CallerEvents): void
  /** Closes the connection and returns the reason if the answer cannot be written. */
  answer(
    answer: CallerAnswer,
    status: SessionStatus,
    position: LogPosition | null,
  ): Result<void, string>
  /** Accepts the session. */
  acceptSession(): void
  /**
   * Refuses the session, or ends an idle one, and closes the connection. A caller whose statement is already
   * in flight takes this for the answer to it, so the refusal must hold for any statement.
   */
  reject(refusal: CallerRefusal, detail: string): void
}
