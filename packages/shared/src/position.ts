/** Log positions: which writes a backend server holds. */
import type { Brand } from './brand.js'

/**
 * Numbers the period during which one primary leads. The log enters a term only with a promotion; an attempt to
 * change the primary that fails may leave its term unused.
 */
export type Term = Brand<number, 'Term'>
/** The number of log records up to and including one record. */
export type LogOffset = Brand<number, 'LogOffset'>

export const term = (value: number): Term => value as Term
export const logOffset = (value: number): LogOffset => value as LogOffset

/**
 * The end of a log: the term in which its last record was written, and that record's offset.
 *
 * Every term starts with a record of its own, so of two logs the one with the greater position
 * holds every write of the other that a majority ever confirmed.
 */
export interface LogPosition {
  readonly term: Term
  readonly offset: LogOffset
}

export const logPosition = (termValue: number, offsetValue: number): LogPosition => ({
  term: term(termValue),
  offset: logOffset(offsetValue),
})

export const LOG_START: LogPosition = logPosition(0, 0)

/** Negative, zero or positive, as `left` is before, at or after `right`. */
export function comparePositions(left: LogPosition, right: LogPosition): number {
  return left.term === right.term ? left.offset - right.offset : left.term - right.term
}

export const isAtOrPast = (position: LogPosition, wanted: LogPosition): boolean =>
  comparePositions(position, wanted) >= 0

export const laterPosition = (left: LogPosition, right: LogPosition): LogPosition =>
  isAtOrPast(left, right) ? left : right

/** `term/offset`, for logs and explanations. */
export const formatPosition = (position: LogPosition): string =>
  `${position.term}/${position.offset}`
