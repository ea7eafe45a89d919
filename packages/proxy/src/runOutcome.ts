/** What a run on a backend connection is asked for, and how it ends. */
import type { ServerError, TransactionStatusByte } from '@nutmegcourse/protocol'
import type { LogPosition } from '@nutmegcourse/shared'
import type { ParseSlot } from './requestSteps.js'

export interface RunOutcome {
  /** Transaction status after the caller's request. */
  readonly status: TransactionStatusByte
  readonly position: LogPosition | null
  /** The server answered with an error, and no transaction was committed before it. */
  readonly failed: boolean
  /** Number of commands that succeeded. */
  readonly commands: number
  /** Distinct tags of the commands that change session state. */
  readonly sessionTags: readonly SessionTag[]
  /** SQLSTATE of the last error of the answer; null if it has none. */
  readonly sqlState: string | null
  /** Prepared statements whose Parse was not answered with success. */
  readonly failedParses: readonly ParseSlot[]
  /** The server skipped Close messages of the proxy after an error. */
  readonly closesSkipped: boolean
}

/** Why a connection became unusable during a run. */
export type RunFault =
  /** The server closes the connection with this error. */
  | { readonly kind: 'fatalError'; readonly error: ServerError }
  /** A setup query before the request failed, so the request ran with unknown settings. */
  | { readonly kind: 'preparationFailed'; readonly error: ServerError }
  | { readonly kind: 'unexpectedMessage'; readonly type: number }
  | { readonly kind: 'copy' }
  | { readonly kind: 'answerTooLarge' }

export interface RunPlan {
  /** Number of answers to discard before the caller's. */
  readonly preparations: number
  /** A position query follows the request. */
  readonly queriesPosition: boolean
}

/** Tags of commands whose effect on the session outlasts their transaction. */
export const SESSION_TAGS = [
  'SET',
  'RESET',
  'DISCARD',
  'DISCARD ALL',
  'DEALLOCATE',
  'DEALLOCATE ALL',
  'DECLARE CURSOR',
  'LISTEN',
  'PREPARE',
] as const

export type SessionTag = (typeof SESSION_TAGS)[number]
