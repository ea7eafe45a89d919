/** Operations of callers and their outcomes. All times are from the load process's clock. */
import type { Brand, Milliseconds, SessionId } from '@nutmegcourse/shared'

/** Unique id of an event write, stored with it, so that a write that ran twice is detected. */
export type WriteId = Brand<string, 'WriteId'>

export const writeId = (value: string): WriteId => value as WriteId

/** What a caller can conclude about its request from the answer alone. */
export type Outcome =
  | { readonly kind: 'acknowledged' }
  | {
      readonly kind: 'notRun'
      readonly reason: string
      readonly retryAfterMilliseconds: number | null
    }
  | { readonly kind: 'unknown'; readonly reason: string }

export interface OperationBase {
  readonly session: SessionId
  readonly class: string
  readonly database: string
  readonly startedAt: Milliseconds
  readonly endedAt: Milliseconds
  readonly outcome: Outcome
}

/** Inserts one record that is never changed afterwards. */
export interface EventWrite extends OperationBase {
  readonly kind: 'eventWrite'
  readonly id: WriteId
}

/** Raises the session's counter to `value`. A session runs one such write at a time. */
export interface CounterWrite extends OperationBase {
  readonly kind: 'counterWrite'
  readonly value: number
}

/** Reads the session's counter. `value` is null if no row was found. */
export interface CounterRead extends OperationBase {
  readonly kind: 'counterRead'
  readonly value: number | null
  /** Role that the answering backend server reported; null if no row was found. */
  readonly servedBy: 'primary' | 'replica' | null
}

export type Operation = EventWrite | CounterWrite | CounterRead
