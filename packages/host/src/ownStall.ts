/**
 * Measures for how long this process itself stood still. A stall is known as soon as a callback runs after it: the
 * sockets may be read before the expired timers run.
 *
 * @internal
 */
import type { Clock } from '@nutmegcourse/shared'

/** On a starved processor many short stalls add up, so the checks must not be far apart. */
const CHECK_INTERVAL_MILLISECONDS = 10

/** A check that is late by less is part of normal operation. */
const SHORTEST_STALL_MILLISECONDS = 5

/** Without a reader for this long the checks end until the next one. */
const WATCH_MILLISECONDS = 250

/** How long a late timer counts. */
const LATENESS_MEMORY_MILLISECONDS = 10_000

export class OwnStall {
  readonly #clock: Clock
  #totalMilliseconds = 0
  #checkedAt = 0
  #readAt = 0
  #timer: NodeJS.Timeout | null = null
  /** The longest lateness of a timer in this period of time, and in the one before. */
  #lateness = { period: 0, longest: 0, before: 0 }

  constructor(clock: Clock) {
    this.#clock = clock
  }

  /** Records by how much a timer of this process was late. */
  noteLateness(lateMilliseconds: number): void {
    const period = Math.floor(this.#clock.now() / LATENESS_MEMORY_MILLISECONDS)
    const { period: last, longest } = this.#lateness
    if (period !== last) {
      this.#lateness = { period, longest: 0, before: period === last + 1 ? longest : 0 }
    }
    this.#lateness.longest = Math.max(this.#lateness.longest, lateMilliseconds)
  }

  /** By how much timers of this process have lately been late at the most. */
  get recentLatenessMilliseconds(): number {
    return Math.max(this.#lateness.longest, this.#lateness.before)
  }

  /** The sum of all stalls so far; the difference of two readings is how long the process stood still between them. */
  get totalMilliseconds(): number {
    this.#readAt = this.#clock.now()
    if (this.#timer === null) this.#watch()
    else this.#check()
    return this.#totalMilliseconds
  }

  #watch(): void {
    this.#checkedAt = this.#clock.now()
    this.#timer = setInterval(() => {
      this.#check()
      if (this.#checkedAt > this.#readAt + WATCH_MILLISECONDS) this.#stop()
    }, CHECK_INTERVAL_MILLISECONDS).unref()
  }

  #stop(): void {
    if (this.#timer !== null) clearInterval(this.#timer)
    this.#timer = null
  }

  #check(): void {
    const now = this.#clock.now()
    const late = now - this.#checkedAt - CHECK_INTERVAL_MILLISECONDS
    if (late >= SHORTEST_STALL_MILLISECONDS) this.#totalMilliseconds += late
    this.#checkedAt = now
  }
}
