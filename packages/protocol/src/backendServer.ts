/**
 * Statements that read and change the term and log position of a backend server, as plain SQL over a
 * PostgreSQL connection. Each returns one row.
 */
import { logOffset, term, type LogPosition, type Term } from '@nutmegcourse/shared'

/** A backend server's report on its log. Columns: role, term, log_offset, fenced_term. */
export interface PositionReport {
  readonly role: 'primary' | 'replica'
  /** The end of the server's log. */
  readonly position: LogPosition
  /** The server refuses writes and replication of any term below this one. */
  readonly fencedTerm: Term
}

/** SQLSTATE with which a backend server refuses a fence or promotion that carries an outdated term. */
export const STALE_TERM_SQL_STATE = 'NM001'

const REPORT_COLUMNS = 'role, term, log_offset, fenced_term'

export const POSITION_STATEMENT = `SELECT ${REPORT_COLUMNS} FROM platform_position()`
export const fenceStatement = (fenced: Term): string =>
  `SELECT ${REPORT_COLUMNS} FROM platform_fence(${fenced})`
/** Succeeds only on a server fenced at exactly this term; writes the term's first log record. */
export const promoteStatement = (promoted: Term): string =>
  `SELECT ${REPORT_COLUMNS} FROM platform_promote(${promoted})`
/** Makes a server replicate from the primary of `leaderTerm`, discarding what that primary lacks. */
export const followStatement = (leaderTerm: Term, address: string, port: number): string =>
  `SELECT ${REPORT_COLUMNS} FROM platform_follow(${leaderTerm}, '${address}', ${port})`

/** The statement with a number that its answer repeats in a further column. */
export const numberedStatement = (statement: string, number: number): string =>
  statement.replace(REPORT_COLUMNS, `${REPORT_COLUMNS}, ${number} AS number`)

/** The number that the answer to a numbered statement repeats; null for one without. */
export const readStatementNumber = (row: readonly (string | null)[]): string | null =>
  row[REPORT_COLUMNS.split(',').length] ?? null

/** Reads one row as text columns; null when a column is missing or not a number. */
export function readPositionReport(row: readonly (string | null)[]): PositionReport | null {
  const [role, termText, offsetText, fencedText] = row
  const numbers = [termText, offsetText, fencedText].map(text => Number(text ?? Number.NaN))
  if (role !== 'primary' && role !== 'replica') return null
  if (!numbers.every(Number.isSafeInteger)) return null
  const [termNumber = 0, offsetNumber = 0, fencedNumber = 0] = numbers
  return {
    role,
    position: { term: term(termNumber), offset: logOffset(offsetNumber) },
    fencedTerm: term(fencedNumber),
  }
}
