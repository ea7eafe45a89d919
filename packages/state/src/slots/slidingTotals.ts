/**
 * Totals by key over a sliding period. State is bounded by the keys of two periods.
 *
 * @internal
 */
import type { Milliseconds } from '@nutmegcourse/shared'

export class SlidingTotals<Key> {
  readonly #periodMilliseconds: number
  #startedAt = Number.NEGATIVE_INFINITY
  #now = Number.NEGATIVE_INFINITY
  #current = new Map<Key, number>()
  #previous = new Map<Key, number>()

  constructor(periodMilliseconds: number) {
    this.#periodMilliseconds = periodMilliseconds
  }

  add(key: Key, amount: number, now: Milliseconds): void {
    this.advance(now)
    this.#current.set(key, (this.#current.get(key) ?? 0) + amount)
  }

  advance(now: Milliseconds): void {
    this.#now = Math.max(this.#now, now)
    const periods = Math.floor((this.#now - this.#startedAt) / this.#periodMilliseconds)
    if (periods < 1) return
    this.#previous = periods === 1 ? this.#current : new Map<Key, number>()
    this.#current = new Map<Key, number>()
    this.#startedAt = Number.isFinite(periods)
      ? this.#startedAt + periods * this.#periodMilliseconds
      : this.#now
  }

  /** The part of the previous period that lies further back counts no more. */
  get(key: Key): number {
    const passed = (this.#now - this.#startedAt) / this.#periodMilliseconds
    const previous = (this.#previous.get(key) ?? 0) * (1 - passed)
    return previous + (this.#current.get(key) ?? 0)
  }

  keys(): ReadonlySet<Key> {
    return new Set([...this.#previous.keys(), ...this.#current.keys()])
  }
}
