/**
 * How long a backend server takes for a statement, from what it took lately.
 *
 * @internal
 */
import type { Milliseconds } from '@nutmegcourse/shared'

/** Weight of a new sample: about the last eight decide. */
const SAMPLE_WEIGHT = 0.2

/**
 * Without samples the estimate falls back to its floor with this time constant, so that a server
 * that was slow is tried again after a few seconds instead of never.
 */
const FORGET_MILLISECONDS = 2000

export class LatencyEstimate {
  #value: number
  #updatedAt: number = Number.NEGATIVE_INFINITY
  readonly #floor: number

  /** `floor` is what the distance alone costs. */
  constructor(floor: number) {
    this.#floor = floor
    this.#value = floor
  }

  record(latency: number, now: Milliseconds): void {
    const before = this.at(now)
    // A rise counts at once, a fall by and by: a server that turns slow must lose work quickly.
    this.#value =
      latency > before
        ? before + (latency - before) * Math.max(SAMPLE_WEIGHT, 0.4)
        : before + (latency - before) * SAMPLE_WEIGHT
    this.#updatedAt = now
  }

  at(now: Milliseconds): number {
    const idle = now - this.#updatedAt
    if (!Number.isFinite(idle)) return this.#floor
    const kept = Math.exp(-idle / FORGET_MILLISECONDS)
    return this.#floor + Math.max(0, this.#value - this.#floor) * kept
  }
}
