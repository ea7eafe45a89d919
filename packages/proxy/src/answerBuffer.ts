/**
 * The answer of one request on its way to the caller. Either streamed as it comes, or held until the
 * core acknowledges: then rows may leave early when they are many, but never what tells success.
 */

/** Held rows beyond this are streamed, so that a large RETURNING does not fill memory. */
export const HELD_ROWS_LIMIT_BYTES = 256 * 1024
/** What may stay held once a CommandComplete is among it, since nothing behind may overtake it. */
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
  /** Whether the caller has any of the answer. */
  partlySent = false

  constructor(target: AnswerTarget, holding: boolean) {
    this.#target = target
    this.#holding = holding
  }

  get holding(): boolean {
    return this.#holding
  }

  /** False when more is held than may be. */
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

  /** What comes from here on waits for the release. */
  hold(): void {
    this.#holding = true
  }

  /** From here on nothing leaves before the release: what comes next tells success. */
  seal(): void {
    this.#sealed = true
  }

  /** Sends what is held, and lets the rest pass. */
  release(): void {
    this.#holding = false
    this.#flush()
  }

  /** Drops what is held; what the caller has already stays with it. */
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
