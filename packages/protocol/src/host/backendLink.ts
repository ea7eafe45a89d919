/** What an entry host asks of a backend server over one connection, free of any wire format. */
import type { BackendServerId, CustomerName, LogPosition, Term } from '@nutmegcourse/shared'
import type { Result } from 'neverthrow'
import type { SessionStatus, StatementEffect, StatementId } from './statements.js'

/** Statements of callers, which run as they were written. */
export type ForwardedCommand =
  | {
      readonly kind: 'forward'
      readonly id: StatementId
      readonly text: string
      /** The server refuses unless its log holds this position. */
      readonly after: LogPosition | null
    }
  /** A prepared statement under the name that it has on this connection. */
  | {
      readonly kind: 'execute'
      readonly id: StatementId
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
  /** The next four answer with a `ServerReport`. */
  | { readonly kind: 'report' }
  /** Stops a replica from receiving, so that it can acknowledge nothing, until `resume` or a promotion. */
  | { readonly kind: 'pause'; readonly term: Term }
  | { readonly kind: 'resume' }
  /** Ends the lead of a primary of a lower term. */
  | { readonly kind: 'stepDown'; readonly term: Term }

export type BackendCommand = ForwardedCommand | OwnCommand

export type BackendRefusal =
  /** The next four: nothing ran. */
  | 'busy'
  /** Its log lacks the position that was asked for. */
  | 'behind'
  /** It does not lead, or no longer. */
  | 'notPrimary'
  | 'unknownStatement'
  /** These two: it ran. */
  | 'failed'
  | 'timeout'
  /** Another server than the expected one stands at the address. */
  | 'wrongServer'
  | 'tooManyConnections'
  | 'other'

export type BackendOutcome =
  /** `signature` is null when the server answers a statement that has none. */
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
  /** Received, which may be more than what reads see. */
  readonly received: LogPosition
  /** The term that it is paused for; 0 when it receives. */
  readonly pausedFor: Term
}

export type LinkFailure =
  /** Nothing listens at the address. */
  | { readonly kind: 'connectionRefused' }
  /** The connection broke or was closed before the answer. */
  | { readonly kind: 'connectionLost' }
  /** The server turned the session away. */
  | { readonly kind: 'rejected'; readonly refusal: BackendRefusal; readonly detail: string }
  | { readonly kind: 'malformedAnswer'; readonly detail: string }

/** One connection to a backend server. Commands are answered in their order. */
export interface BackendLink {
  readonly isOpen: boolean
  /** Milliseconds of the monotonic clock when bytes last arrived. */
  readonly lastHeardAt: number
  run(command: BackendCommand): Promise<Result<BackendReply, LinkFailure>>
  /** Breaks the connection; open commands fail with `connectionLost`. */
  close(): void
  onClosed(listener: () => void): void
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
   * The result comes once the server has taken the session. The connection runs statements of this customer only;
   * null where customers are not told apart, and for the host's own questions.
   */
  open(
    address: BackendAddress,
    customer: CustomerName | null,
  ): { link: BackendLink; opened: Promise<Result<void, LinkFailure>> }
  /** Whether anything accepts connections there, without a session. Never settles on silence; `cancel` ends it. */
  touch(address: BackendAddress): { answered: Promise<Result<void, LinkFailure>>; cancel(): void }
  readReport(reply: BackendReply): ServerReport | null
}
