/** The capacity of the link between two regions, shared by all traffic of one direction. */
const BITS_IN_BYTE = 8
const MILLISECONDS_IN_SECOND = 1000

export class SharedRate {
  readonly #bytesPerMillisecond: number
  #freeAt = 0

  constructor(bitsPerSecond: number) {
    this.#bytesPerMillisecond = bitsPerSecond / BITS_IN_BYTE / MILLISECONDS_IN_SECOND
  }

  /** Queues bytes behind all others; returns the milliseconds until the last of them has been sent. */
  reserve(bytes: number): number {
    const now = performance.now()
    this.#freeAt = Math.max(now, this.#freeAt) + bytes / this.#bytesPerMillisecond
    return this.#freeAt - now
  }
}
