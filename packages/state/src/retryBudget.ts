/**
 * Limits the load that a class's retries add to a failing database.
 *
 * @internal
 */
import type { Milliseconds } from '@nutmegcourse/shared'

/** Tokens are counted in tenths, so that the refill per success is a whole number. */
const TENTHS_PER_RETRY = 10
const MOST_TENTHS = 100
const TENTHS_PER_SUCCESS = 1
/** Without a refill over time, a class with little traffic could never retry. */
const TENTHS_PER_SECOND = 5

/** A token bucket refilled by successes, and slowly over time so that it works without traffic. */
export class RetryBudget {
  #tenths = MOST_TENTHS
  #filledAt: Milliseconds | null = null

  recordSuccess(): void {
    this.#tenths = Math.min(this.#tenths + TENTHS_PER_SUCCESS, MOST_TENTHS)
  }

  /** Takes the tokens for one retry; false if there are not enough. */
  take(now: Milliseconds): boolean {
    const elapsed = this.#filledAt === null ? 0 : now - this.#filledAt
    this.#filledAt = now
    this.#tenths = Math.min(this.#tenths + (elapsed / 1000) * TENTHS_PER_SECOND, MOST_TENTHS)
    if (this.#tenths < TENTHS_PER_RETRY) return false
    this.#tenths -= TENTHS_PER_RETRY
    return true
  }
}
