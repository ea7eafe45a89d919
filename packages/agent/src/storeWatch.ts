/**
 * Watches the keys of the store under one prefix: reads all of them, then long-polls for changes. Reads
 * all of them again after a failure, and when the store's revision went back, as after a restore.
 */
import type { StoredValue } from '@nutmegcourse/protocol'
import type { Clock, Milliseconds } from '@nutmegcourse/shared'
import type { StoreClient } from '@nutmegcourse/transport'

const LONG_POLL_MILLISECONDS = 2000
const RETRY_MILLISECONDS = 500

export interface StoreWatchListener {
  /**
   * The state as of `askedAt` is known: `values` are all values after a complete read, and otherwise the
   * ones that changed since the last call.
   */
  storeAnswered(values: readonly StoredValue[], askedAt: Milliseconds): void
  storeFailed(): void
}

export class StoreWatch {
  readonly #client: StoreClient
  readonly #prefix: string
  readonly #clock: Clock
  readonly #listener: StoreWatchListener
  /** Null until all values have been read. */
  #revision: number | null = null
  #running = false
  #generation = 0

  constructor(client: StoreClient, prefix: string, clock: Clock, listener: StoreWatchListener) {
    this.#client = client
    this.#prefix = prefix
    this.#clock = clock
    this.#listener = listener
  }

  get running(): boolean {
    return this.#running
  }

  start(): void {
    if (this.#running) return
    this.#running = true
    this.#revision = null
    this.#generation += 1
    void this.#follow(this.#generation)
  }

  stop(): void {
    this.#running = false
  }

  async #follow(generation: number): Promise<void> {
    while (this.#running && this.#generation === generation) {
      const answered = await (this.#revision === null
        ? this.#readAll()
        : this.#waitForChanges(this.#revision))
      if (answered) continue
      this.#revision = null
      this.#listener.storeFailed()
      await sleep(RETRY_MILLISECONDS)
    }
  }

  async #readAll(): Promise<boolean> {
    const askedAt = this.#clock.now()
    const answer = await this.#client.list(this.#prefix)
    if (answer.isErr()) return false
    this.#revision = answer.value.revision
    this.#listener.storeAnswered(answer.value.values, askedAt)
    return true
  }

  async #waitForChanges(afterRevision: number): Promise<boolean> {
    const askedAt = this.#clock.now()
    const answer = await this.#client.watch({
      prefix: this.#prefix,
      afterRevision,
      waitMilliseconds: LONG_POLL_MILLISECONDS,
    })
    if (answer.isErr()) return false
    const { revision, changed } = answer.value
    this.#revision = revision < afterRevision ? null : revision
    if (this.#revision !== null) this.#listener.storeAnswered(changed, askedAt)
    return true
  }
}

const sleep = (milliseconds: number): Promise<void> =>
  new Promise(resolve => {
    setTimeout(resolve, milliseconds)
  })
