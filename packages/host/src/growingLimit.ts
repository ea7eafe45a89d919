/**
 * A time limit for calls that follows the peer's pace. A fixed limit discards every answer of a peer that is a little
 * slower, for as long as the peer stays so.
 *
 * @internal
 */

/** A call may take this many times as long as the last one. */
const MARGIN_FACTOR = 2

export class GrowingLimit {
  readonly #shortest: number
  readonly #longest: number
  #current: number

  constructor(shortestMilliseconds: number, longestMilliseconds: number) {
    this.#shortest = shortestMilliseconds
    this.#longest = longestMilliseconds
    this.#current = shortestMilliseconds
  }

  get milliseconds(): number {
    return this.#current
  }

  exceeded(): void {
    this.#current = Math.min(this.#current * MARGIN_FACTOR, this.#longest)
  }

  answered(tookMilliseconds: number): void {
    const next = Math.max(tookMilliseconds * MARGIN_FACTOR, this.#shortest)
    this.#current = Math.min(next, this.#longest)
  }
}
