/**
 * Limits how long a peer may be silent, without taking a stall of this process for the peer's silence: a timer that
 * expired during the stall may run before the sockets are read, although the answer has arrived.
 */
import type { Clock } from '@nutmegcourse/shared'

/**
 * A limit passes in steps, and between two of them the sockets are read. A step that a stall made late counts only for
 * its intended length. Few steps, because each is a timer of its own.
 */
const STEPS_PER_LIMIT = 10
/** How late a timer runs although the process is not stalled. */
const TIMER_TOLERANCE_MILLISECONDS = 1

export class SilenceLimit {
  readonly #clock: Clock
  #timer: NodeJS.Timeout | undefined
  #afterRead: NodeJS.Immediate | undefined

  constructor(clock: Clock) {
    this.#clock = clock
  }

  /** Calls `exceeded` when `limit` has passed, unless the limit is stopped or started again before. */
  start(limit: number, exceeded: () => void): void {
    this.stop()
    this.#startStep(limit, limit / STEPS_PER_LIMIT, exceeded)
  }

  stop(): void {
    clearTimeout(this.#timer)
    clearImmediate(this.#afterRead)
  }

  #startStep(remaining: number, step: number, exceeded: () => void): void {
    const startedAt = this.#clock.now()
    const intended = Math.min(step, remaining)
    this.#timer = setTimeout(() => {
      // Immediates run after the sockets are read.
      this.#afterRead = setImmediate(() => {
        const elapsed = this.#clock.now() - startedAt
        const left = remaining - Math.min(elapsed, intended + TIMER_TOLERANCE_MILLISECONDS)
        if (left > 0) this.#startStep(left, step, exceeded)
        else exceeded()
      })
    }, intended)
  }
}
