/** Runs an action once for all requests that arrive within a delay. */
export class Coalescer {
  readonly #delayMilliseconds: number
  readonly #action: () => void
  #timer: NodeJS.Timeout | undefined
  #closed = false

  constructor(delayMilliseconds: number, action: () => void) {
    this.#delayMilliseconds = delayMilliseconds
    this.#action = action
  }

  request(): void {
    if (this.#closed) return
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined
      this.#action()
    }, this.#delayMilliseconds)
  }

  close(): void {
    this.#closed = true
    clearTimeout(this.#timer)
  }
}
