/**
 * The smallest latency that a round of statements has at a backend server while none of them waits. It follows lower
 * observations quickly and higher ones slowly, so that it is neither the lowest value ever seen nor raised by waiting.
 *
 * @internal
 */
import { milliseconds, type Milliseconds } from '@nutmegcourse/shared'

/** It is measured again after this time, since the server may have become slower. */
const LIFETIME_MILLISECONDS = 20_000

const FALL_WEIGHT = 0.2
const RISE_WEIGHT = 0.05

export class UnloadedLatency {
  #value: number | null = null
  #measuredAt = milliseconds(Number.NEGATIVE_INFINITY)

  get value(): number {
    return this.#value ?? Number.POSITIVE_INFINITY
  }

  /** The smallest latency of a round in which little seemed to wait. */
  record(smallest: number, now: Milliseconds): void {
    if (this.#value === null) {
      this.restart(smallest, now)
      return
    }
    const weight = smallest < this.#value ? FALL_WEIGHT : RISE_WEIGHT
    this.#value += (smallest - this.#value) * weight
  }

  isStale(now: Milliseconds): boolean {
    return this.#value !== null && now - this.#measuredAt > LIFETIME_MILLISECONDS
  }

  /** Replaces the value by one that was measured while hardly anything waited. */
  restart(smallest: number, now: Milliseconds): void {
    this.#value = smallest
    this.#measuredAt = now
  }
}
