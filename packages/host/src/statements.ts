/**
 * Statements on their way through an entry host, the transactions they run in, and what callers are
 * told of them.
 *
 * @internal
 */
import {
  laterPosition,
  type CustomerName,
  type LogPosition,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type { CallerAnswer, CallerRefusal, Route, SessionStatus } from '@nutmegcourse/protocol'
import type { Mishap, SessionValues } from '@nutmegcourse/state'
import type { AttemptOutcome, RemoteStatement } from './attempt.js'
import type { BackendServerState } from './backendServerState.js'
import type { RelayPeer } from './relayPeer.js'
import type { PooledLink } from './pooledLink.js'
import type { ServiceDesk } from './serviceDesk.js'

/** What a session brings to each of its statements. */
export interface SessionState {
  readonly values: SessionValues
  /** The end of the log after the session's last acknowledged write; null when it wrote nothing. */
  ownPosition: LogPosition | null
}

/** Where the time of one statement went at this host, and in how many tries. */
export class StatementTiming {
  /** Waiting for a primary, or for a bound on how fresh a read must be. */
  newsMilliseconds = 0
  connectionMilliseconds = 0
  tries = 0
}

export interface StatementRequest {
  readonly desk: ServiceDesk
  readonly route: Route
  /** Whose connections it may use; null where customers are not told apart. */
  readonly customer: CustomerName | null
  readonly session: SessionState
  readonly statement: RemoteStatement
  readonly isWrite: boolean
  readonly arrivedAt: Milliseconds
  readonly deadline: Milliseconds
  readonly timing: StatementTiming
}

/** Whether only the primary can run it. `readOnly`: it begins a transaction that only reads. */
export const needsPrimary = (request: StatementRequest, readOnly: boolean): boolean =>
  request.isWrite || !readOnly || request.route.guarantee.kind === 'latest'

export interface StatementResult {
  readonly answer: CallerAnswer
  readonly position: LogPosition | null
  /** Why it was refused, in one word. */
  readonly reason?: string
}

/** A transaction that has begun on a connection of this host. */
export interface LocalTransaction {
  readonly kind: 'local'
  readonly desk: ServiceDesk
  readonly server: BackendServerState
  readonly link: PooledLink
  /** Its commit has to be confirmed by a replica. */
  hasWritten: boolean
}

/** A transaction that another entry host runs for this one. */
export interface RelayedTransaction {
  readonly kind: 'relayed'
  readonly desk: ServiceDesk
  readonly peer: RelayPeer
  /** The other host's number for it. */
  readonly id: number
}

export type RunningTransaction = LocalTransaction | RelayedTransaction

export interface BegunTransaction<Transaction = RunningTransaction> {
  readonly result: StatementResult
  /** Null when the transaction is over. */
  readonly transaction: Transaction | null
}

/** Runs the statements of sessions, here or elsewhere. */
export interface Runner {
  /** A read or write outside a transaction. */
  single(request: StatementRequest): Promise<StatementResult>
  /** The first statement of a transaction, with the BEGIN that the caller was already told of. */
  begin(request: StatementRequest, readOnly: boolean): Promise<BegunTransaction>
  /** A later statement of a transaction, the commit included. */
  continue(request: StatementRequest, transaction: RunningTransaction): Promise<BegunTransaction>
  /** Gives up the transaction. `status` is where the server left it. */
  endTransaction(transaction: RunningTransaction, status: SessionStatus | null): void
}

/** The session's next reads must see what it wrote. */
export function noteOwnWrite({ session }: StatementRequest, position: LogPosition | null): void {
  if (position === null) return
  const { ownPosition } = session
  session.ownPosition = ownPosition === null ? position : laterPosition(ownPosition, position)
}

/** What a caller is advised to wait before it comes back. */
const RETRY_AFTER_MILLISECONDS = 250

/** An answered try as a caller's result. */
export function answered(outcome: Extract<AttemptOutcome, { kind: 'answered' }>): StatementResult {
  const { rows, signature, position } = outcome
  return { answer: { kind: 'rows', rows, signature }, position }
}

/**
 * A primary that is cut off from its replicas is replaced, or reaches them again, in a second at
 * the earliest.
 */
const UNCONFIRMED_RETRY_AFTER_MILLISECONDS = 1000

function retryAfter(last: Mishap): number {
  switch (last.kind) {
    // Once those who wait in the line are served.
    case 'overloaded':
      return Math.ceil(last.waitMilliseconds)
    case 'unconfirmed':
      return UNCONFIRMED_RETRY_AFTER_MILLISECONDS
    case 'notSent':
    case 'refused':
    case 'lost':
    case 'overdue':
      return RETRY_AFTER_MILLISECONDS
  }
}

/** A refusal that says why, and when to come back if nothing ran. */
export function refused(
  request: StatementRequest,
  refusal: CallerRefusal,
  last: Mishap,
): StatementResult {
  const why = last.kind === 'refused' ? last.refusal : last.kind
  const advice = refusal === 'notRun' ? ` retry_after_ms=${String(retryAfter(last))}` : ''
  const detail = `${request.route.name}: ${why}${advice}`
  return { answer: { kind: 'refused', refusal, detail }, position: null, reason: why }
}
