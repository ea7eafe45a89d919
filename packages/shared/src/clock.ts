/** Time in milliseconds. Deterministic code takes a `Clock` or a `now`, never the system's time. */
import type { Brand } from './brand.js'

/** A point in one process's monotonic time, or a duration. Never compared across hosts. */
export type Milliseconds = Brand<number, 'Milliseconds'>

export const milliseconds = (value: number): Milliseconds => value as Milliseconds

export const addMilliseconds = (start: Milliseconds, span: number): Milliseconds =>
  milliseconds(start + span)

export interface Clock {
  now(): Milliseconds
}

/** Monotonic time of this process, unaffected by adjustments of the wall clock. */
export class SystemClock implements Clock {
  now(): Milliseconds {
    return milliseconds(performance.now())
  }
}

/** Time that advances only when a test calls `advance`. */
export class VirtualClock implements Clock {
  #now: Milliseconds

  constructor(start = 0) {
    this.#now = milliseconds(start)
  }

  now(): Milliseconds {
    return this.#now
  }

  advance(span: number): Milliseconds {
    this.#now = addMilliseconds(this.#now, span)
    return this.#now
  }
}
