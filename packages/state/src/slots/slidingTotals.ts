/** Totals by key over a sliding period. State is bounded by the keys of two periods. */
import type { Milliseconds } from '@nutmegcourse/shared'

/** Rates of a shorter time than this would be those of a few events. */
const MINIMUM_RATE_MILLISECONDS = 250

export class SlidingTotals<Key> {
  readonly #periodMilliseconds: number
  #firstAt: number | null = null
  #startedAt = 0
  #now = 0
  #current = new Map<Key, number>()
  #previous = new Map<Key, number>()

  constructor(periodMilliseconds: number) {
    this.#periodMilliseconds = periodMilliseconds
  }

  /** Returns whether the key is the first of its kind in the current period. */
  add(key: Key, amount: number, now: Milliseconds): boolean {
    if (this.#firstAt === null) {
      this.#firstAt = now
      this.#startedAt = now
    }
    this.advance(now)
    const known = this.#current.get(key)
    this.#current.set(key, (known ?? 0) + amount)
    return known === undefined
  }

  advance(now: Milliseconds): void {
    this.#now = Math.max(this.#now, now)
    const periods = Math.floor((this.#now - this.#startedAt) / this.#periodMilliseconds)
    if (periods < 1) return
    this.#previous = periods === 1 ? this.#current : new Map<Key, number>()
    this.#current = new Map<Key, number>()
    this.#startedAt += periods * this.#periodMilliseconds
  }

  /** The part of the previous period that lies further back counts no more. */
  get(key: Key): number {
    const passed = (this.#now - this.#startedAt) / this.#periodMilliseconds
    const previous = (this.#previous.get(key) ?? 0) * (1 - passed)
    return previous + (this.#current.get(key) ?? 0)
  }

  /** In a millisecond, over the period or since the first addition. */
  rate(key: Key): number {
    const known = Math.max(MINIMUM_RATE_MILLISECONDS, this.#now - (this.#firstAt ?? this.#now))
    return this.get(key) / Math.min(this.#periodMilliseconds, known)
  }

  /** The larger one of the two periods. */
  peak(key: Key): number {
    return Math.max(this.#previous.get(key) ?? 0, this.#current.get(key) ?? 0)
  }

  keys(): ReadonlySet<Key> {
    return new Set([...this.#previous.keys(), ...this.#current.keys()])
  }
}
