/** A request between its start and its final answer, and what its outcome means. */
import { TransactionStatus, type TransactionStatusByte } from '@nutmegcourse/protocol'
import type { BackendConnection } from './backendConnection.js'
import type { BackendRun, RunOutcome } from './backendRun.js'
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
  /** Set once the whole answer is in and waits for the core's word. */
  outcome: RunOutcome | null
  /** Refused before its Sync came: ReadyForQuery with this status is still owed. */
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
    outcome: null,
    pendingReadyStatus: null,
  }
}

const DISCARDING_TARGET: AnswerTarget = { write: () => undefined }

/** Who gets the answer. */
export const answerTargetOf = (active: ActiveRequest): AnswerTarget =>
  active.request.purpose === 'statement' ? active.caller : DISCARDING_TARGET

/** What the caller finds itself in after an error: a lost transaction lasts until its ROLLBACK. */
export function statusAfterRefusal(active: ActiveRequest): TransactionStatusByte {
  if (!active.insideTransaction || active.outcome !== null) return TransactionStatus.idle
  const text = active.request.singleStatementText
  const isCommit = text !== null && readTransactionEnd(text) === 'commit'
  return isCommit ? TransactionStatus.idle : TransactionStatus.failed
}

/** Errors by which a server says that it takes no writes, or nothing, now. */
export const READ_ONLY_VIOLATION = '25006'
const NOT_ACCEPTING_WRITES: ReadonlySet<string> = new Set([READ_ONLY_VIOLATION, '57P03'])

/**
 * A primary that was replaced refuses a write whole. It may go to the new one, though it may not be
 * repeated otherwise: an error in place of the first command's completion means that nothing ran. An
 * error that ends the connection is not taken for such a refusal, since it may cut off an answer.
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

/** The caller's names for statements that the server refused or skipped mean nothing. */
export function forgetFailedPrepares(caller: CallerConnection, outcome: RunOutcome): void {
  for (const slot of outcome.failedParses) {
    if (slot.callerName !== null)
      caller.statements.forgetDefinition(slot.callerName, slot.statement)
  }
}
