/**
 * How long a backend server takes for a statement, from what it took lately.
 *
 * @internal
 */
import type { Milliseconds } from '@nutmegcourse/shared'

/**
 * Weight of a new sample. A rise counts twice as much as a fall: a server that turns slow must lose
 * its work within a few answers, and one that is well again gets it back by and by.
 */
const RISE_WEIGHT = 0.4
const FALL_WEIGHT = 0.2

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
    const weight = latency > before ? RISE_WEIGHT : FALL_WEIGHT
    this.#value = before + (latency - before) * weight
    this.#updatedAt = now
  }

  at(now: Milliseconds): number {
    const idle = now - this.#updatedAt
    if (!Number.isFinite(idle)) return this.#floor
    const kept = Math.exp(-idle / FORGET_MILLISECONDS)
    return this.#floor + Math.max(0, this.#value - this.#floor) * kept
  }
}
