/**
 * Whether a primary still gets its writes confirmed. One that is cut off from its replicas goes on
 * reading, and lets every write wait: each holds a connection to the end of its time, reads find
 * none, and its caller hears that the outcome is unknown, where it could have been sent elsewhere
 * unrun.
 */
import { milliseconds, type Milliseconds } from '@nutmegcourse/shared'

/**
 * A write that takes longer than this, and than a few usual answers, is not only slow: a loaded primary
 * answers within 200 ms, and each further millisecond is one more caller whose outcome is unknown.
 */
const LEAST_PATIENCE_MILLISECONDS = 300
const PATIENCE_FACTOR = 3

/** One write, or commit of writes, that the server was given. */
export interface OpenWrite {
  readonly sentAt: Milliseconds
}

export class WriteConfirmation {
  readonly #open = new Set<OpenWrite>()
  #confirmedAt: Milliseconds = milliseconds(Number.NEGATIVE_INFINITY)
  /** A write was not confirmed in time, and none has been since. */
  #isInDoubt = false

  sent(now: Milliseconds): OpenWrite {
    const write = { sentAt: now }
    this.#open.add(write)
    return write
  }

  /** It ended; `isConfirmed` when the server said that it is kept. */
  ended(write: OpenWrite, isConfirmed: boolean, now: Milliseconds): void {
    this.#open.delete(write)
    if (!isConfirmed) return
    this.#confirmedAt = now
    this.#isInDoubt = false
  }

  /**
   * Whether a further write may be sent; while in doubt, one at a time finds out. `usual`: what a
   * statement takes there, in milliseconds.
   */
  mayWrite(usual: number, now: Milliseconds): boolean {
    if (this.#isStalled(usual, now)) this.#isInDoubt = true
    return !this.#isInDoubt || this.#open.size === 0
  }

  #isStalled(usual: number, now: Milliseconds): boolean {
    const patience = Math.max(LEAST_PATIENCE_MILLISECONDS, usual * PATIENCE_FACTOR)
    for (const { sentAt } of this.#open) {
      if (this.#confirmedAt < sentAt && now - sentAt > patience) return true
    }
    return false
  }
}
