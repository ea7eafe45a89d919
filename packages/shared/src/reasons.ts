/**
 * The table of all reasons for which a request is refused.
 * Each has a stable code, an SQLSTATE, a counter `refusal.<code>`, and a kind that callers rely on:
 * `notRun` means that no part of the request ran, or all of it was rolled back; `outcomeUnknown` means that it
 * may have run; `callerMistake` means that a retry gives the same error.
 */

export type ReasonKind = 'notRun' | 'outcomeUnknown' | 'callerMistake'

interface ReasonEntry {
  readonly kind: ReasonKind
  readonly sqlState: string
  readonly message: string
}

export const REASONS = {
  no_primary: {
    kind: 'notRun',
    sqlState: '57P03',
    message: 'no backend server leads the database now',
  },
  primary_moving: { kind: 'notRun', sqlState: '57P03', message: 'the primary is being moved' },
  no_fresh_replica: {
    kind: 'notRun',
    sqlState: '57P03',
    message: 'no backend server is fresh enough for the class',
  },
  no_bound: {
    kind: 'notRun',
    sqlState: '57P03',
    message: 'too few backend servers answer to tell what the session has written',
  },
  queue_deadline: {
    kind: 'notRun',
    sqlState: '57014',
    message: 'the class target could not be met in the queue',
  },
  queue_full: {
    kind: 'notRun',
    sqlState: '53300',
    message: 'too many requests wait for a connection',
  },
  admission_predicted_late: {
    kind: 'notRun',
    sqlState: '53300',
    message: 'the class target can not be met now',
  },
  confirmation_predicted_late: {
    kind: 'notRun',
    sqlState: '53300',
    message: 'the replicas are too far behind to confirm a write in time',
  },
  circuit_open: { kind: 'notRun', sqlState: '57P03', message: 'the backend server keeps failing' },
  connect_failed: {
    kind: 'notRun',
    sqlState: '57P03',
    message: 'no connection to the backend server',
  },
  backend_refused: {
    kind: 'notRun',
    sqlState: '53300',
    message: 'the backend server refused the connection',
  },
  stopping: { kind: 'notRun', sqlState: '57P01', message: 'this entry host is stopping' },
  write_rolled_back: {
    kind: 'notRun',
    sqlState: '40001',
    message: 'a replaced primary ran the write and it was discarded',
  },
  retry_budget_spent: {
    kind: 'notRun',
    sqlState: '57P03',
    message: 'the retry budget of the class is spent',
  },
  transaction_lost: {
    kind: 'notRun',
    sqlState: '40001',
    message: 'the transaction was rolled back with its backend server',
  },
  confirmation_timeout: {
    kind: 'outcomeUnknown',
    sqlState: '40003',
    message: 'the write ran but a majority did not confirm it in time',
  },
  connection_lost: {
    kind: 'outcomeUnknown',
    sqlState: '40003',
    message: 'the connection to the backend server broke before its answer',
  },
  deadline_while_running: {
    kind: 'outcomeUnknown',
    sqlState: '40003',
    message: 'the deadline passed while the request ran',
  },
  unknown_class: { kind: 'callerMistake', sqlState: '42704', message: 'no such class of work' },
  unknown_database: { kind: 'callerMistake', sqlState: '3D000', message: 'no such database' },
  write_in_read_class: {
    kind: 'callerMistake',
    sqlState: '25006',
    message: 'a class that reads can not write',
  },
  unsupported: { kind: 'callerMistake', sqlState: '0A000', message: 'not supported' },
  malformed: { kind: 'callerMistake', sqlState: '08P01', message: 'malformed message' },
  too_large: { kind: 'callerMistake', sqlState: '54000', message: 'message too large' },
  too_many_callers: { kind: 'notRun', sqlState: '53300', message: 'too many caller connections' },
  no_configuration: {
    kind: 'notRun',
    sqlState: '57P03',
    message: 'this entry host has no targets yet',
  },
} as const satisfies Record<string, ReasonEntry>

export type Reason = keyof typeof REASONS

export const allReasons = (): readonly Reason[] => Object.keys(REASONS) as Reason[]

/** The final answer to a request that is refused. */
export interface Refusal {
  readonly reason: Reason
  /** Additional information for the caller, beyond the table's message. */
  readonly detail?: string
  /** Time after which to retry, in milliseconds; absent when no delay is suggested. */
  readonly retryAfterMilliseconds?: number
}
