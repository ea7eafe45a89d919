/**
 * The smallest latency that a round of statements has at a backend server while none of them waits. It follows lower
 * observations quickly and higher ones slowly, so that it is neither the lowest value ever seen nor raised by waiting.
 *
 * @internal
 */
import { addMilliseconds, milliseconds, type Milliseconds } from '@nutmegcourse/shared'

/** It is measured again after this time, since the server may have become slower. */
const LIFETIME_MILLISECONDS = 20_000

/** The first value may contain waiting at a server that was busy before, and is measured again after this time. */
const FIRST_LIFETIME_MILLISECONDS = 500

const FALL_WEIGHT = 0.2
const RISE_WEIGHT = 0.05

export class UnloadedLatency {
  #value: number | null = null
  #validUntil = milliseconds(Number.POSITIVE_INFINITY)

  get value(): number {
    return this.#value ?? Number.POSITIVE_INFINITY
  }

  /** The smallest latency of a round in which little seemed to wait. */
  record(smallest: number, now: Milliseconds): void {
    if (this.#value === null) {
      this.#value = smallest
      this.#validUntil = addMilliseconds(now, FIRST_LIFETIME_MILLISECONDS)
      return
    }
    const weight = smallest < this.#value ? FALL_WEIGHT : RISE_WEIGHT
    this.#value += (smallest - this.#value) * weight
  }

  isStale(now: Milliseconds): boolean {
    return now > this.#validUntil
  }

  /** Replaces the value by one that was measured while hardly anything waited. */
  restart(smallest: number, now: Milliseconds): void {
    this.#value = smallest
    this.#validUntil = addMilliseconds(now, LIFETIME_MILLISECONDS)
  }
}
