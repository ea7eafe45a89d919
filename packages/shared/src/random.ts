/** A source of random numbers, passed in so that a seed reproduces a run. */
export interface RandomSource {
  /** A number from 0 up to, not including, 1. */
  next(): number
}

/** The largest factor by which `jittered` lengthens a span. */
export const MAX_JITTER_FACTOR = 1.5

/** A span between half and one and a half times as long, so that many waiters do not all retry at once. */
export const jittered = (span: number, random: RandomSource): number =>
  span * (MAX_JITTER_FACTOR - 1 + random.next())

/** Uniform numbers from a seed (mulberry32, public domain). */
export class SeededRandom implements RandomSource {
  #state: number

  constructor(seed: number) {
    this.#state = seed >>> 0
  }

  next(): number {
    this.#state = (this.#state + 0x6d2b79f5) >>> 0
    let mixed = this.#state
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 0x1_0000_0000
  }
}

/** The random numbers of the JavaScript runtime, for production processes. */
export class SystemRandom implements RandomSource {
  next(): number {
    return Math.random()
  }
}
