/** Limits how many statements a backend server runs concurrently; the others wait in arrival order. */
export class Slots {
  readonly #count: number
  readonly #queueLimit: number
  readonly #waiting: (() => void)[] = []
  #inUse = 0
  #startedCount = 0

  constructor(count: number, queueLimit = Number.POSITIVE_INFINITY) {
    this.#count = count
    this.#queueLimit = queueLimit
  }

  /** Whether the slots and the queue are full, so that another statement is to be refused. */
  get isFull(): boolean {
    return this.#inUse >= this.#count && this.#waiting.length >= this.#queueLimit
  }

  /** Number of statements that have been given a slot since the start. */
  get startedCount(): number {
    return this.#startedCount
  }

  async run<Value>(work: () => Promise<Value>): Promise<Value> {
    if (this.#inUse >= this.#count) {
      await new Promise<void>(resolve => this.#waiting.push(resolve))
    } else {
      this.#inUse += 1
    }
    this.#startedCount += 1
    try {
      return await work()
    } finally {
      this.#release()
    }
  }

  /** Passes the slot directly to the first waiting statement, so that no later arrival can take it. */
  #release(): void {
    const next = this.#waiting.shift()
    if (next === undefined) this.#inUse -= 1
    else next()
  }
}
