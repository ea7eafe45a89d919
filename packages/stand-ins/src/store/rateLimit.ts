/** Spaces calls evenly at a given rate, without bursts. */
import type { Clock } from '@nutmegcourse/shared'

const MILLISECONDS_IN_SECOND = 1000

export class RateLimit {
  readonly #clock: Clock
  readonly #spacingMilliseconds: number
  #nextFree = 0

  constructor(clock: Clock, callsPerSecond: number) {
    this.#clock = clock
    this.#spacingMilliseconds = MILLISECONDS_IN_SECOND / callsPerSecond
  }

  /** Reserves the time of the next call; returns the milliseconds to wait until then. */
  reserve(): number {
    const now = this.#clock.now()
    const startsAt = Math.max(now, this.#nextFree)
    this.#nextFree = startsAt + this.#spacingMilliseconds
    return startsAt - now
  }
}
