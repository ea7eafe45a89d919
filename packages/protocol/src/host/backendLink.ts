/** Commands and replies between an entry host and a backend server, independent of the wire format. */
import type { BackendServerId, CustomerName, LogPosition, Term } from '@nutmegcourse/shared'
import type { Result } from 'neverthrow'
import type { SessionStatus, StatementEffect, StatementId } from './statements.js'

/** What a statement of a caller does; only reads return rows. */
export type ForwardedEffect = StatementEffect | 'commit'

/** Statements of callers, run as they were written. */
export type ForwardedCommand =
  | {
      readonly kind: 'forward'
      readonly id: StatementId
      readonly effect: ForwardedEffect
      readonly text: string
      /** The server refuses unless its log holds this position. */
      readonly after: LogPosition | null
    }
  /** A prepared statement under the name that it has on this connection. */
  | {
      readonly kind: 'execute'
      readonly id: StatementId
      readonly effect: ForwardedEffect
      readonly name: string
      readonly argument: string
      readonly after: LogPosition | null
    }

/** Statements of the entry host itself. */
export type OwnCommand =
  | { readonly kind: 'begin'; readonly readOnly: boolean; readonly after: LogPosition | null }
  | { readonly kind: 'rollback' }
  | { readonly kind: 'set'; readonly name: string; readonly value: string }
  | {
      readonly kind: 'prepare'
      readonly name: string
      readonly effect: StatementEffect
      readonly shape: string
    }
  | { readonly kind: 'close'; readonly name: string }
  /** Clears session values and prepared statements. */
  | { readonly kind: 'reset' }
  /** `report`, `pause`, `resume` and `stepDown` are answered with a `ServerReport`. */
  | { readonly kind: 'report' }
  /** Stops a replica from receiving the log, so that it acknowledges nothing until `resume` or a promotion. */
  | { readonly kind: 'pause'; readonly term: Term }
  | { readonly kind: 'resume' }
  /** Ends the leadership of a primary of a lower term. */
  | { readonly kind: 'stepDown'; readonly term: Term }

export type BackendCommand = ForwardedCommand | OwnCommand

export type BackendRefusal =
  /** For `busy`, `behind`, `notPrimary` and `unknownStatement`: nothing ran. */
  | 'busy'
  /** The server's log lacks the requested position. */
  | 'behind'
  /** The server is not, or is no longer, the primary. */
  | 'notPrimary'
  | 'unknownStatement'
  /** For `failed` and `timeout`: the statement ran. */
  | 'failed'
  | 'timeout'
  /** A server other than the expected one listens at the address. */
  | 'wrongServer'
  | 'tooManyConnections'
  | 'other'

export type BackendOutcome =
  /** `signature` is null for statements that have none. */
  | { readonly kind: 'done'; readonly signature: string | null }
  | { readonly kind: 'refused'; readonly refusal: BackendRefusal; readonly detail: string }

export interface BackendReply {
  readonly rows: readonly string[]
  readonly outcome: BackendOutcome
  readonly status: SessionStatus
  /** The end of the server's log when it answered. */
  readonly position: LogPosition | null
}

/** How a backend server describes itself. */
export interface ServerReport {
  readonly role: 'primary' | 'replica'
  readonly term: Term
  /** The end of the received log, which may be ahead of what reads see. */
  readonly received: LogPosition
  /** The term for which it is paused; 0 while it receives. */
  readonly pausedFor: Term
}

export type LinkFailure =
  /** Nothing listens at the address. */
  | { readonly kind: 'connectionRefused' }
  /** The connection broke or was closed before the answer. */
  | { readonly kind: 'connectionLost' }
  /** The server rejected the session. */
  | { readonly kind: 'rejected'; readonly refusal: BackendRefusal; readonly detail: string }
  /** An answer cannot be used. Which commands ran is unknown, for all that were unanswered. */
  | { readonly kind: 'malformedAnswer'; readonly unfit: UnfitAnswer }
  /** The command cannot be written and was not sent, nor were those after it; the connection is closed. */
  | { readonly kind: 'unwritable'; readonly detail: string }

/** What makes an answer unfit for use. */
export type UnfitReason =
  /** The connection has brought this signature before. */
  | 'repeatedSignature'
  /** An answer without a signature to a caller's statement. */
  | 'unsigned'
  /** An answer with a signature to a command of the host itself. */
  | 'signed'
  /** The transaction status after the command cannot be this one. */
  | 'status'
  /** Rows in the answer to a command that returns none, or no row where one is due. */
  | 'rows'
  /** No command waits for an answer. */
  | 'noCommandWaiting'
  /** A command that succeeds on any usable connection was refused. */
  | 'refused'
  /** The messages do not form an answer. */
  | 'framing'
  /** A message is longer than the wire protocol allows. */
  | 'tooLong'

/** An answer that was not used, and the connection on which it arrived. */
export interface UnfitAnswer {
  readonly reason: UnfitReason
  /** The command that it was to answer; null if none waited. */
  readonly command: BackendCommand['kind'] | null
  /** The command that was answered before it; null for none. */
  readonly previousCommand: BackendCommand['kind'] | null
  /** Numbers the connections of this process. */
  readonly connection: number
  readonly connectionAgeMilliseconds: number
  /** Commands sent and answers received on the connection, without this one. */
  readonly commandsSent: number
  readonly answersReceived: number
  /** Of these, answers that were used only after a later answer had confirmed them. */
  readonly answersConfirmed: number
  /** The messages of the answer, without rows: the first bytes of each, escaped. */
  readonly messages: string
}

/**
 * One connection to a backend server. Commands are answered in the order in which they were sent. A reply is passed on
 * only if it cannot be the answer to another command; otherwise the connection is closed, and every command that waits
 * fails with `malformedAnswer`. That one of the host's own commands succeeded is certain only with the next reply to a
 * statement: a repeated answer in its place makes that one unfit.
 */
export interface BackendLink {
  readonly isOpen: boolean
  /** Milliseconds of the monotonic clock when bytes last arrived. */
  readonly lastReceivedAt: number
  run(command: BackendCommand): Promise<Result<BackendReply, LinkFailure>>
  /** Closes the connection; pending commands fail with `connectionLost`. */
  close(): void
  onClosed(listener: (failure: LinkFailure) => void): void
}

export interface BackendAddress {
  readonly service: string
  readonly server: BackendServerId
  readonly host: string
  readonly port: number
}

/** Opens connections to backend servers. */
export interface BackendDialer {
  /**
   * `opened` resolves once the server has accepted the session. The connection runs statements of this customer
   * only; null where customers are not distinguished, and for the host's own commands.
   */
  open(
    address: BackendAddress,
    customer: CustomerName | null,
  ): { link: BackendLink; opened: Promise<Result<void, LinkFailure>> }
  /** Tests whether the address accepts connections, without a session. Has no time limit; `cancel` ends it. */
  probe(address: BackendAddress): { answered: Promise<Result<void, LinkFailure>>; cancel(): void }
  readReport(reply: BackendReply): ServerReport | null
}
