/** Types of the records in a backend server's log. */
import type { Term } from '@nutmegcourse/shared'

export type Change =
  | { readonly kind: 'put'; readonly key: string; readonly value: string }
  | { readonly kind: 'remove'; readonly key: string }
  /** Event ids need not be unique, so that a write that ran twice is visible. */
  | { readonly kind: 'addEvent'; readonly id: string; readonly value: string }

/** One committed transaction, or the record without changes that starts a term. */
export interface LogRecord {
  readonly term: Term
  readonly changes: readonly Change[]
}

/** The consecutive records of one term in a log, given by the offset of the last one. */
export interface TermRun {
  readonly term: number
  readonly lastOffset: number
}
