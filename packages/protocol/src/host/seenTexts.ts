/**
 * Texts that one connection has brought.
 *
 * @internal
 */
import { addMilliseconds, type Clock, type Milliseconds } from '@nutmegcourse/shared'

/** How long a text is kept at least, in milliseconds. */
export const KEPT_MILLISECONDS = 30_000

/** How many of the newest texts are kept, however old they are. */
const KEPT_TEXTS = 512

/** Texts that all differ, such as signatures. Keeps the newest ones, in two generations. */
export class RecentTexts {
  readonly #clock: Clock
  #newer = new Set<string>()
  #older = new Set<string>()
  #newerSince: Milliseconds

  constructor(clock: Clock) {
    this.#clock = clock
    this.#newerSince = clock.now()
  }

  /** Adds the text; false if it is known. */
  add(text: string): boolean {
    if (this.#newer.has(text) || this.#older.has(text)) return false
    const now = this.#clock.now()
    const isOld = now >= addMilliseconds(this.#newerSince, KEPT_MILLISECONDS)
    if (isOld && this.#newer.size >= KEPT_TEXTS) {
      this.#older = this.#newer
      this.#newer = new Set()
      this.#newerSince = now
    }
    this.#newer.add(text)
    return true
  }
}

/** The number of different texts that are kept; beyond that, all count as seen. */
const DISTINCT_TEXTS = 64

/** Texts of which there are few, such as refusals. */
export class SeenTexts {
  readonly #texts = new Set<string>()

  /** Adds the text; false if it has been added before, or may have been. */
  add(text: string): boolean {
    if (this.#texts.size >= DISTINCT_TEXTS || this.#texts.has(text)) return false
    this.#texts.add(text)
    return true
  }
}
