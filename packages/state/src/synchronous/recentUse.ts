/**
 * How many operations a host ran for a customer in each of the last two half seconds.
 *
 * @internal
 */
import type { Milliseconds } from '@nutmegcourse/shared'

const SLOT_MILLISECONDS = 250
const SLOTS_IN_HALF_SECOND = 2

/** Complete slots that count: two half seconds. */
const COUNTED_SLOTS = 2 * SLOTS_IN_HALF_SECOND

export class RecentUse {
  /** Operations by slot of time; the current slot is last and not complete. */
  readonly #counts = Array.from({ length: COUNTED_SLOTS + 1 }, () => 0)
  #slot = 0

  record(now: Milliseconds): void {
    this.#advance(now)
    this.#counts[COUNTED_SLOTS] = (this.#counts[COUNTED_SLOTS] ?? 0) + 1
  }

  /** What both of the last two half seconds reached. */
  steadyInHalfSecond(now: Milliseconds): number {
    this.#advance(now)
    const sum = (counts: readonly number[]): number => counts.reduce((left, right) => left + right)
    const earlier = sum(this.#counts.slice(0, SLOTS_IN_HALF_SECOND))
    const later = sum(this.#counts.slice(SLOTS_IN_HALF_SECOND, COUNTED_SLOTS))
    return Math.min(earlier, later)
  }

  isIdle(now: Milliseconds): boolean {
    this.#advance(now)
    return this.#counts.every(count => count === 0)
  }

  #advance(now: Milliseconds): void {
    const slot = Math.floor(now / SLOT_MILLISECONDS)
    const passed = Math.min(slot - this.#slot, this.#counts.length)
    for (let count = 0; count < passed; count += 1) {
      this.#counts.shift()
      this.#counts.push(0)
    }
    this.#slot = slot
  }
}
