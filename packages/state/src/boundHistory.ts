/**
 * Records which log position covers every write that was acknowledged before a given time.
 *
 * @internal
 */
import { isAtOrPast, milliseconds, type LogPosition, type Milliseconds } from '@nutmegcourse/shared'

const ENTRIES_KEPT = 64

interface TimedBound {
  /** Every write acknowledged before this time is at or below `bound`. */
  readonly asOf: Milliseconds
  readonly bound: LogPosition
}

export const NEVER = milliseconds(Number.NEGATIVE_INFINITY)

/**
 * Bounds in order of time. A replica that is behind the newest bound may still be past an older
 * one, which gives the age of its data; without a history that age would be unknown.
 */
export class BoundHistory {
  #entries: TimedBound[] = []

  add(asOf: Milliseconds, bound: LogPosition): void {
    let index = this.#entries.length
    while (index > 0 && this.#entryAt(index - 1).asOf >= asOf) index -= 1
    const later = this.#entries[index]
    // A later time with a lesser or equal bound makes this entry redundant.
    if (later !== undefined && isAtOrPast(bound, later.bound)) return
    let first = index
    while (first > 0 && isAtOrPast(this.#entryAt(first - 1).bound, bound)) first -= 1
    this.#entries.splice(first, index - first, { asOf, bound })
    if (this.#entries.length > ENTRIES_KEPT) this.#thinOut()
  }

  /** The latest time whose bound `position` has reached; `NEVER` when it has reached none. */
  asOf(position: LogPosition): Milliseconds {
    for (let index = this.#entries.length - 1; index >= 0; index -= 1) {
      const entry = this.#entryAt(index)
      if (isAtOrPast(position, entry.bound)) return entry.asOf
    }
    return NEVER
  }

  /** The least bound that holds every write acknowledged before `time`; null when none is known. */
  boundSince(time: Milliseconds): LogPosition | null {
    for (const { asOf, bound } of this.#entries) if (asOf >= time) return bound
    return null
  }

  /** Drops every second entry of the older half: only recent ages need full resolution. */
  #thinOut(): void {
    const half = ENTRIES_KEPT / 2
    this.#entries = this.#entries.filter((_, index) => index >= half || index % 2 === 0)
  }

  #entryAt(index: number): TimedBound {
    const entry = this.#entries[index]
    if (entry === undefined) throw new Error('index past the history')
    return entry
  }
}
