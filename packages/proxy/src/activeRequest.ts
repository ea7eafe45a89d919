/** The state of a request between its start and its final answer, and the evaluation of its outcome. */
import { TransactionStatus, type TransactionStatusByte } from '@nutmegcourse/protocol'
import type { Milliseconds } from '@nutmegcourse/shared'
import type { BackendConnection } from './backendConnection.js'
import type { BackendRun } from './backendRun.js'
import type { RunOutcome } from './runOutcome.js'
import type { CallerConnection } from './callerConnection.js'
import type { CallerRequest } from './callerRequest.js'
import type { RunMode } from './callerTransactions.js'
import type { AnswerTarget, AnswerBuffer } from './answerBuffer.js'
import { readTransactionEnd } from './transactionCommands.js'

export interface ActiveRequest {
  readonly request: CallerRequest
  readonly caller: CallerConnection
  readonly insideTransaction: boolean
  mode: RunMode | null
  answer: AnswerBuffer | null
  connection: BackendConnection | null
  /** When the latest attempt was sent; null before the first. */
  sentAt: Milliseconds | null
  /** Why the connection of the latest attempt broke; null if it did not. */
  breakDetail: string | null
  /** Set while a complete answer is held until the core acknowledges or refuses it. */
  outcome: RunOutcome | null
  /** Set if the request was refused before its Sync: ReadyForQuery with this status follows the Sync. */
  pendingReadyStatus: TransactionStatusByte | null
}

export function newActiveRequest(
  caller: CallerConnection,
  request: CallerRequest,
  insideTransaction: boolean,
): ActiveRequest {
  return {
    request,
    caller,
    insideTransaction,
    mode: null,
    answer: null,
    connection: null,
    sentAt: null,
    breakDetail: null,
    outcome: null,
    pendingReadyStatus: null,
  }
}

const DISCARDING_TARGET: AnswerTarget = { write: () => undefined }

/** Where the answer goes. Answers to requests that the proxy made itself are discarded. */
export const answerTargetOf = (active: ActiveRequest): AnswerTarget =>
  active.request.purpose === 'statement' ? active.caller : DISCARDING_TARGET

/** The transaction status after an error: a lost transaction stays failed until its COMMIT or ROLLBACK. */
export function statusAfterRefusal(active: ActiveRequest): TransactionStatusByte {
  if (!active.insideTransaction || active.outcome !== null) return TransactionStatus.idle
  const text = active.request.statementText
  const isCommit = text !== null && readTransactionEnd(text) === 'commit'
  return isCommit ? TransactionStatus.idle : TransactionStatus.failed
}

export const READ_ONLY_VIOLATION = '25006'
/** SQLSTATEs of a server that currently accepts no writes, or no statements at all. */
const NOT_ACCEPTING_WRITES: ReadonlySet<string> = new Set([READ_ONLY_VIOLATION, '57P03'])

/**
 * Whether a server refused a write before any part of it ran, as a replaced primary does. Such a write
 * may be sent to the new primary even if it must not be retried otherwise: an error in place of the
 * first command's completion means that nothing ran. An error that closes the connection does not
 * count, since it may cut off an answer.
 */
export function isRefusedBeforeRunning(
  active: ActiveRequest,
  run: BackendRun,
  outcome: RunOutcome,
): boolean {
  return (
    outcome.failed &&
    outcome.commands === 0 &&
    outcome.status === TransactionStatus.idle &&
    !active.insideTransaction &&
    run.answer.holding &&
    !run.answer.partlySent &&
    NOT_ACCEPTING_WRITES.has(outcome.sqlState ?? '')
  )
}

/** Removes the caller's names of statements whose Parse the server refused or skipped. */
export function removeFailedPrepares(caller: CallerConnection, outcome: RunOutcome): void {
  for (const slot of outcome.failedParses) {
    if (slot.callerName !== null)
      caller.statements.removeDefinition(slot.callerName, slot.statement)
  }
}
