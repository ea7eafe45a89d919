/** Exponential backoff with jitter, so that the proxies of a fleet do not retry simultaneously. */
import type { RandomSource } from '@nutmegcourse/shared'

export interface BackoffLimits {
  readonly firstMilliseconds: number
  readonly longestMilliseconds: number
}

export class Backoff {
  readonly #limits: BackoffLimits
  readonly #random: RandomSource
  #failures = 0

  constructor(limits: BackoffLimits, random: RandomSource) {
    this.#limits = limits
    this.#random = random
  }

  reset(): void {
    this.#failures = 0
  }

  /** Records a failure and returns the delay before the next attempt. */
  nextDelayMilliseconds(): number {
    const { firstMilliseconds, longestMilliseconds } = this.#limits
    const delay = Math.min(longestMilliseconds, firstMilliseconds * 2 ** this.#failures)
    this.#failures += 1
    return delay * (0.5 + this.#random.next() / 2)
  }
}
