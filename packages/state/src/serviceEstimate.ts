/**
 * Estimates how long one request keeps a connection of a backend server busy.
 *
 * @internal
 */
import type { Milliseconds } from '@nutmegcourse/shared'

const WEIGHT_OF_NEWEST = 0.2
/**
 * Without new samples the estimate halves in each such period. It is unchanged until the first one
 * has passed.
 */
const HALF_LIFE_MILLISECONDS = 5000

/**
 * An exponential moving average that decays without new samples: a slow period that ended together
 * with the traffic must not cause the few requests after it to be refused.
 */
export class ServiceEstimate {
  #average: number | null = null
  #measuredAt: Milliseconds | null = null

  record(span: number, now: Milliseconds): void {
    const known = this.#average
    this.#average = known === null ? span : known + (span - known) * WEIGHT_OF_NEWEST
    this.#measuredAt = now
  }

  /** Estimated milliseconds that a request holds a connection; 0 without any sample. */
  at(now: Milliseconds): number {
    if (this.#average === null || this.#measuredAt === null) return 0
    const idle = now - this.#measuredAt
    if (idle < HALF_LIFE_MILLISECONDS) return this.#average
    return this.#average * 0.5 ** (idle / HALF_LIFE_MILLISECONDS)
  }
}
