/**
 * Buffers the answer to one request on its way to the caller. It is either streamed, or held until the
 * core acknowledges it. Large amounts of held rows are sent early, but never the part that reports
 * success.
 */

/** Held rows are sent early above this size, so that a large RETURNING does not exhaust memory. */
export const HELD_ROWS_LIMIT_BYTES = 256 * 1024
/** Limit once a CommandComplete is held, since nothing after it may be sent before it. */
export const HELD_LIMIT_BYTES = 16 * 1024 * 1024

export interface AnswerTarget {
  write(bytes: Buffer): void
}

export class AnswerBuffer {
  readonly #target: AnswerTarget
  #holding: boolean
  #chunks: Buffer[] = []
  #bytes = 0
  #sealed = false
  /** Whether any part of the answer was sent to the caller. */
  partlySent = false

  constructor(target: AnswerTarget, holding: boolean) {
    this.#target = target
    this.#holding = holding
  }

  get holding(): boolean {
    return this.#holding
  }

  /** False if the answer exceeds the limit for held bytes. */
  push(bytes: Buffer): boolean {
    if (!this.#holding) {
      this.partlySent = true
      this.#target.write(bytes)
      return true
    }
    this.#chunks.push(bytes)
    this.#bytes += bytes.length
    if (this.#sealed) return this.#bytes <= HELD_LIMIT_BYTES
    if (this.#bytes > HELD_ROWS_LIMIT_BYTES) this.#flush()
    return true
  }

  /** Holds further bytes until `release`. */
  hold(): void {
    this.#holding = true
  }

  /** Sends nothing more before `release`: the following bytes report success. */
  seal(): void {
    this.#sealed = true
  }

  /** Sends the held bytes and streams the rest. */
  release(): void {
    this.#holding = false
    this.#flush()
  }

  /** Discards the held bytes. Bytes already sent are not affected. */
  drop(): void {
    this.#chunks = []
    this.#bytes = 0
  }

  #flush(): void {
    if (this.#chunks.length === 0) return
    const bytes = this.#chunks.length === 1 ? this.#chunks[0] : Buffer.concat(this.#chunks)
    this.drop()
    if (bytes === undefined) return
    this.partlySent = true
    this.#target.write(bytes)
  }
}
