/**
 * Estimates a backend server's statement latency from recent samples.
 *
 * @internal
 */
import type { Milliseconds } from '@nutmegcourse/shared'

/**
 * Weight of a new sample. A rise counts twice as much as a fall: a server that becomes slow must lose
 * its work within a few answers, and one that has recovered gets it back gradually.
 */
const RISE_WEIGHT = 0.4
const FALL_WEIGHT = 0.2

/**
 * Without samples the estimate decays to its floor with this time constant, so that a server
 * that was slow is tried again after a few seconds instead of never.
 */
const DECAY_TIME_CONSTANT_MILLISECONDS = 2000

export class LatencyEstimate {
  #value: number
  #updatedAt: number = Number.NEGATIVE_INFINITY
  readonly #floor: number

  /** `floor`: the latency in milliseconds that is due to the network distance alone. */
  constructor(floor: number) {
    this.#floor = floor
    this.#value = floor
  }

  record(latency: number, now: Milliseconds): void {
    const estimate = this.at(now)
    const weight = latency > estimate ? RISE_WEIGHT : FALL_WEIGHT
    this.#value = estimate + (latency - estimate) * weight
    this.#updatedAt = now
  }

  at(now: Milliseconds): number {
    const idle = now - this.#updatedAt
    if (!Number.isFinite(idle)) return this.#floor
    const remaining = Math.exp(-idle / DECAY_TIME_CONSTANT_MILLISECONDS)
    return this.#floor + Math.max(0, this.#value - this.#floor) * remaining
  }
}
