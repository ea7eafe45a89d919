/**
 * Follows the store: one list at the start, then one watch over everything. While the store is away
 * the host goes on with what it knew last.
 *
 * @internal
 */
import type { DirectoryChange, StoreFailure, StoreLink } from '@nutmegcourse/protocol'
import type { Milliseconds } from '@nutmegcourse/shared'
import type { HostContext } from './hostContext.js'
import { rest } from './waiting.js'

export interface StoreListener {
  /** It may have been made as early as `since`. */
  changed(change: DirectoryChange, since: Milliseconds): void
  /** A whole list was read; what it did not name does not exist. */
  listed(changes: readonly DirectoryChange[], since: Milliseconds): void
  /** Whether callers wait while the next change is not heard of. */
  isUrgent(change: DirectoryChange): boolean
}

/**
 * How long one watch waits. A connection that went silent shows only when the answer is overdue, and
 * a new configuration must be in force four seconds after it was accepted.
 */
const WATCH_MILLISECONDS = 5000

/** Beyond the wait, what the store's answer may take when it is slow. */
const ANSWER_LIMIT_MILLISECONDS = 1500

/** Between two tries while the store is away; grows, so that a fleet does not press a store that returns. */
const SHORTEST_PAUSE_MILLISECONDS = 100
const LONGEST_PAUSE_MILLISECONDS = 800

/**
 * Each change ends the watch of every host, and when many hosts or servers start that makes as many
 * calls as changes times hosts. Where nothing urgent follows from a change the next ones may gather
 * for a while: on a start of 65 hosts before 18 servers half a second saves two calls in three. A
 * new configuration then comes into force a second later, of the four that it may take.
 */
const GATHER_MILLISECONDS = 1000

export class StoreFollower {
  readonly #context: HostContext
  readonly #store: StoreLink
  readonly #listener: StoreListener
  #revision: number | null = null
  #pause = SHORTEST_PAUSE_MILLISECONDS
  #isAway = false
  /** As of when this host knows all that the store held; null before it does. */
  #answeredAt: Milliseconds | null = null
  #isStopped = false

  constructor(context: HostContext, store: StoreLink, listener: StoreListener) {
    this.#context = context
    this.#store = store
    this.#listener = listener
  }

  async run(): Promise<void> {
    while (!this.#isStopped) {
      const failure =
        this.#revision === null ? await this.#list() : await this.#watch(this.#revision)
      if (failure === null) this.#reached()
      else await this.#failed(failure)
    }
  }

  stop(): void {
    this.#isStopped = true
    this.#store.close()
  }

  async #list(): Promise<StoreFailure | null> {
    const askedAt = this.#context.clock.now()
    const changes: DirectoryChange[] = []
    let next: string | null = null
    let revision: number | null = null
    do {
      const page = await this.#store.list(next, ANSWER_LIMIT_MILLISECONDS)
      if (page.isErr()) return page.error
      changes.push(...page.value.changes)
      // Pages are no snapshot: what changed since the first one is heard of again by the watch.
      revision ??= page.value.revision
      next = page.value.next
    } while (next !== null)
    this.#revision = revision
    const since = this.#answeredAt ?? askedAt
    this.#answeredAt = askedAt
    this.#listener.listed(changes, since)
    return null
  }

  /**
   * The earliest time at which a change that is heard of now may have been made. A watch answers at once,
   * but one that failed before may have missed it: a host that was cut off then gave a leaving server
   * work for longer than it stays.
   */
  #notBefore(): Milliseconds {
    const now = this.#context.clock.now()
    return this.#isAway ? (this.#answeredAt ?? now) : now
  }

  async #watch(revision: number): Promise<StoreFailure | null> {
    const limit = WATCH_MILLISECONDS + ANSWER_LIMIT_MILLISECONDS
    const events = await this.#store.watch(revision, WATCH_MILLISECONDS, limit)
    if (events.isErr()) return events.error
    // An answer of an older state can not take back what is known.
    if (events.value.revision < revision) return null
    this.#revision = events.value.revision
    const { changes } = events.value
    const since = this.#notBefore()
    this.#answeredAt = this.#context.clock.now()
    for (const change of changes) this.#listener.changed(change, since)
    if (changes.length > 0 && !changes.some(change => this.#listener.isUrgent(change)))
      await rest(GATHER_MILLISECONDS)
    return null
  }

  #reached(): void {
    if (this.#isAway) this.#context.log.write('store_back', { revision: this.#revision })
    this.#isAway = false
    this.#pause = SHORTEST_PAUSE_MILLISECONDS
  }

  async #failed(failure: StoreFailure): Promise<void> {
    if (failure.kind === 'historyGone') {
      this.#context.log.write('store_history_gone', { revision: this.#revision })
      this.#revision = null
      return
    }
    if (!this.#isAway) this.#context.log.write('store_lost', { ...failure })
    this.#isAway = true
    await rest(this.#pause * (0.5 + this.#context.random.next()))
    this.#pause = Math.min(this.#pause * 2, LONGEST_PAUSE_MILLISECONDS)
  }
}
