/**
 * Answers requests locally after a transaction was lost with its connection. Callers may send further
 * statements of a failed transaction until their ROLLBACK. These must not run on another connection, so
 * the caller gets the answers of an ordinary failed transaction.
 */
import {
  BIND_COMPLETE,
  CLOSE_COMPLETE,
  CallerMessage,
  FRAME_HEADER_BYTES,
  NO_DATA,
  NO_PARAMETERS,
  PARSE_COMPLETE,
  TransactionStatus,
  commandComplete,
  errorResponse,
  readyForQuery,
  refusalResponse,
  type TransactionStatusByte,
} from '@nutmegcourse/protocol'
import type { CallerRequest } from './callerRequest.js'
import type { RequestStep } from './requestSteps.js'
import { readTransactionEnd } from './transactionCommands.js'

export interface LocalReply {
  readonly bytes: Buffer
  readonly status: TransactionStatusByte
}

const ROLLED_BACK = commandComplete('ROLLBACK')

const FAILED_TRANSACTION = errorResponse({
  severity: 'ERROR',
  sqlState: '25P02',
  message: 'current transaction is aborted, commands ignored until end of transaction block',
})

/** `isReported`: the caller has already received an error for the lost transaction. */
export function replyInLostTransaction(request: CallerRequest, isReported: boolean): LocalReply {
  const text = request.statementText
  const end = text === null ? null : readTransactionEnd(text)
  if (end === 'rollback' || (end === 'commit' && isReported)) return rolledBack(request)
  // A COMMIT must never appear to succeed: it gets an error, and its transaction ends.
  const status = end === 'commit' ? TransactionStatus.idle : TransactionStatus.failed
  const error = isReported ? FAILED_TRANSACTION : refusalResponse({ reason: 'transaction_lost' })
  return { bytes: Buffer.concat([error, readyForQuery(status)]), status }
}

function rolledBack(request: CallerRequest): LocalReply {
  const status = TransactionStatus.idle
  const answers =
    request.shape.kind === 'simple' ? [ROLLED_BACK] : request.steps.flatMap(answerToStep)
  return { bytes: Buffer.concat([...answers, readyForQuery(status)]), status }
}

const STATEMENT_KIND = 0x53

function answerToStep(step: RequestStep): readonly Buffer[] {
  if (step.kind === 'closeStatement') return [CLOSE_COMPLETE]
  const { frame } = step
  switch (frame[0] ?? 0) {
    case CallerMessage.parse:
      return [PARSE_COMPLETE]
    case CallerMessage.bind:
      return [BIND_COMPLETE]
    case CallerMessage.close:
      return [CLOSE_COMPLETE]
    case CallerMessage.execute:
      return [ROLLED_BACK]
    case CallerMessage.describe:
      return frame[FRAME_HEADER_BYTES] === STATEMENT_KIND ? [NO_PARAMETERS, NO_DATA] : [NO_DATA]
    default:
      return []
  }
}
