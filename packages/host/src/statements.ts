/**
 * Statement requests, their results and the transactions they run in, as the runners of an entry host pass them on.
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
import {
  MAX_RETURN_MILLISECONDS,
  type SessionValues,
  type StatementFailure,
} from '@nutmegcourse/state'
import type { JsonRpcConnection } from '@nutmegcourse/transport'
import type { AttemptOutcome, RemoteStatement } from './attempt.js'
import type { BackendServerState } from './backendServerState.js'
import type { RelayPeer } from './relayPeer.js'
import type { PooledLink } from './pooledLink.js'
import type { ServiceState } from './serviceState.js'

/** The state of a session that each of its statements depends on. */
export interface SessionState {
  readonly values: SessionValues
  /** The end of the log after the session's last acknowledged write; null when it wrote nothing. */
  ownPosition: LogPosition | null
}

/** How long one statement waited at this host, and how many attempts it took. */
export class StatementTiming {
  /** Time spent waiting for a usable server, or for the freshness bound of a read. */
  newsMilliseconds = 0
  connectionMilliseconds = 0
  tries = 0
}

export interface StatementRequest {
  readonly service: ServiceState
  readonly route: Route
  /** The customer whose connections it uses; null where connections are not separated by customer. */
  readonly customer: CustomerName | null
  readonly session: SessionState
  readonly statement: RemoteStatement
  readonly isWrite: boolean
  readonly arrivedAt: Milliseconds
  readonly deadline: Milliseconds
  readonly timing: StatementTiming
}

/** Whether only the primary can run it. `readOnly`: it is a read or begins a read-only transaction. */
export const needsPrimary = (request: StatementRequest, readOnly: boolean): boolean =>
  request.isWrite || !readOnly || request.route.guarantee.kind === 'latest'

export interface StatementResult {
  readonly answer: CallerAnswer
  readonly position: LogPosition | null
  /** The cause of a refusal as one word. */
  readonly reason?: string
}

/** A transaction on a connection of this host. */
export interface LocalTransaction {
  readonly kind: 'local'
  readonly service: ServiceState
  readonly server: BackendServerState
  readonly link: PooledLink
  /** Whether it has run a write, so that a replica has to confirm its commit. */
  hasWritten: boolean
  /** Whether it was rolled back because others waited for its connection while it was idle. */
  isEnded: boolean
}

/** A transaction that another entry host runs on behalf of this one. */
export interface RelayedTransaction {
  readonly kind: 'relayed'
  readonly service: ServiceState
  readonly peer: RelayPeer
  /** The connection over which it was begun; it ends with it. */
  readonly connection: JsonRpcConnection
  /** The other host's identifier of it, for this connection. */
  readonly id: number
}

export type RunningTransaction = LocalTransaction | RelayedTransaction

/** The result of one statement of a transaction, and the transaction if it goes on. */
export interface TransactionStep<Transaction = RunningTransaction> {
  readonly result: StatementResult
  /** Null when the transaction is over. */
  readonly transaction: Transaction | null
}

/** Runs the statements of sessions, on this host or through another one. */
export interface Runner {
  /** Runs a read or write outside a transaction. */
  single(request: StatementRequest): Promise<StatementResult>
  /** Runs the first statement of a transaction, preceded by the BEGIN that the caller already has the answer to. */
  begin(request: StatementRequest, readOnly: boolean): Promise<TransactionStep>
  /** Runs a later statement of a transaction, the commit included. */
  continue(request: StatementRequest, transaction: RunningTransaction): Promise<TransactionStep>
  /** Abandons the transaction. `status` is the connection's last known session status. */
  endTransaction(transaction: RunningTransaction, status: SessionStatus | null): void
}

/** Records the position of an acknowledged write, which the session's next reads must include. */
export function recordOwnWrite({ session }: StatementRequest, position: LogPosition | null): void {
  if (position === null) return
  const { ownPosition } = session
  session.ownPosition = ownPosition === null ? position : laterPosition(ownPosition, position)
}

/** The retry delay that a refusal advises the caller to keep. */
const RETRY_AFTER_MILLISECONDS = 250

/** The caller's result of an answered attempt. */
export function answered(outcome: Extract<AttemptOutcome, { kind: 'answered' }>): StatementResult {
  const { rows, signature, position } = outcome
  return { answer: { kind: 'rows', rows, signature }, position }
}

/** A primary that is cut off from its replicas is replaced, or reaches them again, after one second at the earliest. */
const UNCONFIRMED_RETRY_AFTER_MILLISECONDS = 1000

function retryAfter(request: StatementRequest, last: StatementFailure): number {
  switch (last.kind) {
    // As told by admission, which keeps a place for this time, or the forecast of when the queue is served.
    case 'overloaded':
      return Math.ceil(last.waitMilliseconds)
    case 'unconfirmed':
      return UNCONFIRMED_RETRY_AFTER_MILLISECONDS
    case 'notSent':
      return retryAfterWait(request)
    case 'refused':
      return last.refusal === 'busy' ? retryAfterWait(request) : RETRY_AFTER_MILLISECONDS
    case 'lost':
    case 'overdue':
    case 'unwritable':
      return RETRY_AFTER_MILLISECONDS
  }
}

/** The backlog behind which a statement waited in vain takes about as long again. */
function retryAfterWait({ service, timing }: StatementRequest): number {
  if (!service.schedulesSlots) return RETRY_AFTER_MILLISECONDS
  const waited = Math.ceil(timing.connectionMilliseconds)
  return Math.min(Math.max(waited, RETRY_AFTER_MILLISECONDS), MAX_RETURN_MILLISECONDS)
}

/** A refusal with its cause and, if nothing ran, a retry delay. */
export function refused(
  request: StatementRequest,
  refusal: CallerRefusal,
  last: StatementFailure,
): StatementResult {
  const cause = last.kind === 'refused' ? last.refusal : last.kind
  const retryAdvice =
    refusal === 'notRun' ? ` retry_after_ms=${String(retryAfter(request, last))}` : ''
  const detail = `${request.route.name}: ${cause}${retryAdvice}`
  return { answer: { kind: 'refused', refusal, detail }, position: null, reason: cause }
}
