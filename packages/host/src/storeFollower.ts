/**
 * Follows the store: one list at the start, then consecutive watches over everything, through another host of the
 * zone where possible. While the store is unavailable the host continues with its last known state.
 *
 * @internal
 */
import {
  eraOf,
  type DirectoryChange,
  type DirectoryEvents,
  type HostSettings,
  type RevisedChange,
  type StoreFailure,
  type StoreLink,
} from '@nutmegcourse/protocol'
import { HOST_RECORDS_PREFIX } from '@nutmegcourse/coordination'
import { addMilliseconds, jittered, milliseconds, type Milliseconds } from '@nutmegcourse/shared'
import type { HostContext } from './hostContext.js'
import { changeDelayBudget, type ChangeDelayBudget } from './changeDelayBudget.js'
import type { ChangeAge, ChangeFeedServer } from './changeFeedServer.js'
import { sleep } from './waiting.js'
import type { ChangeFeedReader, ReceivedChanges } from './changeFeedReader.js'

export interface StoreListener {
  /** Takes all changes of one response; any of them may have been made as early as `since`. */
  takeChanges(changes: readonly DirectoryChange[], since: Milliseconds): void
  /**
   * Takes a complete list: what it does not name does not exist. `isRestored`: the store was restored from an
   * older copy, and what others wrote since then has yet to be written again.
   */
  takeList(changes: readonly DirectoryChange[], since: Milliseconds, isRestored: boolean): void
  /** Whether callers wait for the change that follows this one. */
  isUrgent(change: DirectoryChange): boolean
  /** Whether requests wait for the next change, whatever the last one was. */
  readonly isAwaited: boolean
}

/** The exchange of changes with other hosts of the zone, in both directions. */
export interface ChangeFeed {
  readonly reader: ChangeFeedReader
  readonly server: ChangeFeedServer
}

/**
 * The longest pause within a response, and the longest wait for a list to begin: packet loss on a link that
 * other hosts saturate delays a response by about a second. Its total duration is not limited.
 */
const PAUSE_LIMIT_MILLISECONDS = 1500
const LIST_LIMIT = { begin: PAUSE_LIMIT_MILLISECONDS, pause: PAUSE_LIMIT_MILLISECONDS }

/** In a smaller fleet each host reads the list itself. */
const FEWEST_HOSTS = 6

/** How long a host that starts waits for another host of its zone to have the list. */
const ZONE_LIST_MILLISECONDS = 1000

/**
 * Consecutive failures after which requests of other hosts are declined. A store that compacts its history cuts
 * every watch once; declining at the first failure would send all hosts of the zone to the store.
 */
const FAILURES_TO_DECLINE = 2

/** A response that was under way while the store was restored. */
const OLDER_ERA: StoreFailure = {
  kind: 'unexpected',
  detail: 'response from before the store was restored',
}

/** Hosts that must not serve revoked keys have to receive changes within the revocation limit too. */
function longestChangeDelay({ configurationMilliseconds, revocation }: HostSettings): number {
  if (!revocation.isStrict) return configurationMilliseconds
  return Math.min(configurationMilliseconds, revocation.withinMilliseconds)
}

export class StoreFollower {
  readonly #context: HostContext
  readonly #store: StoreLink
  readonly #listener: StoreListener
  readonly #changeFeed: ChangeFeed
  readonly #budget: ChangeDelayBudget
  #revision: number | null = null
  /** Era of the last list; null before the first one. */
  #era: number | null = null
  #retryDelay: number
  /**
   * The next watch follows a response without a gap. After a pause or a failure the store may accept a watch
   * although it has compacted the changes that the watch must begin with; it reports this only at the end of
   * the watch. Such a watch is therefore brief: the host learns of a missed configuration half a second after
   * its watch was cut, rather than up to six seconds after it.
   */
  #isContinuous = false
  #isStoreUnavailable = false
  /** Consecutive failed calls. */
  #failures = 0
  /** The time as of which this host knows the whole content of the store; null before the first list. */
  #knownAt: Milliseconds | null = null
  #isStopped = false

  constructor(
    context: HostContext,
    store: StoreLink,
    listener: StoreListener,
    changeFeed: ChangeFeed,
  ) {
    this.#context = context
    this.#store = store
    this.#listener = listener
    this.#changeFeed = changeFeed
    this.#budget = changeDelayBudget(longestChangeDelay(context.settings))
    this.#retryDelay = this.#budget.shortestRetryDelay
  }

  async run(): Promise<void> {
    // By then all hosts of the fleet have registered, so that one list shows through which host to watch.
    if (this.#context.settings.isFirstStart) await sleep(this.#budget.batch)
    while (!this.#isStopped) {
      const failure =
        this.#revision === null ? await this.#start() : await this.#watch(this.#revision)
      if (failure === null) this.#succeeded()
      else await this.#failed(failure)
    }
  }

  /** The time as of which this host knows the whole content of the store. */
  get knownAt(): number {
    return this.#knownAt ?? Number.NEGATIVE_INFINITY
  }

  stop(): void {
    this.#isStopped = true
    this.#changeFeed.server.suspend()
    this.#store.close()
  }

  async #start(): Promise<StoreFailure | null> {
    const received = this.#mayListThroughZone ? await this.#listThroughZone() : null
    return received === null ? this.#list() : this.#takeFromHost(received)
  }

  /**
   * Only for the first list: a list after compacted history or a restored store has to come from the store itself. A
   * fleet that starts for the first time has no records of hosts yet.
   */
  get #mayListThroughZone(): boolean {
    return this.#knownAt === null && !this.#context.settings.isFirstStart
  }

  /**
   * Reads the list through another host of the zone. When all hosts of a region start at once behind a slow link, each
   * one's own list takes a part of the link, and none was complete for seconds.
   */
  async #listThroughZone(): Promise<ReceivedChanges | null> {
    const { clock } = this.#context
    const askedAt = clock.now()
    const hosts = await this.#store.list(null, LIST_LIMIT, HOST_RECORDS_PREFIX)
    if (hosts.isErr() || hosts.value.next !== null) return null
    if (hosts.value.changes.length < FEWEST_HOSTS) return null
    this.#listener.takeChanges(hosts.value.changes, askedAt)
    return this.#changeFeed.reader.list(addMilliseconds(clock.now(), ZONE_LIST_MILLISECONDS))
  }

  async #list(): Promise<StoreFailure | null> {
    const askedAt = this.#context.clock.now()
    const changes: RevisedChange[] = []
    let next: string | null = null
    const revisions: number[] = []
    do {
      const page = await this.#store.list(next, LIST_LIMIT)
      if (page.isErr()) return page.error
      changes.push(...page.value.changes)
      revisions.push(page.value.revision)
      next = page.value.next
    } while (next !== null)
    // Pages are not a snapshot: the watch reports again what changed since the first one.
    const revision = Math.min(...revisions)
    if (eraOf(revision) < (this.#era ?? 0)) return OLDER_ERA
    this.#revision = revision
    this.#isContinuous = true
    const since = this.#knownAt ?? askedAt
    this.#knownAt = askedAt
    this.#changeFeed.server.takeList({ changes, revision }, askedAt)
    this.#takeList(changes, revision, since)
    return null
  }

  #takeList(changes: readonly DirectoryChange[], revision: number, since: Milliseconds): void {
    const era = eraOf(revision)
    const isRestored = this.#era !== null && era > this.#era
    this.#era = era
    if (isRestored) this.#context.log.write('store_restored', { era, revision })
    this.#listener.takeList(changes, since, isRestored)
  }

  /**
   * The earliest time at which a change that the store reports now may have been made. A watch reports changes at
   * once, but before it this host may have paused, or waited unsuccessfully for the store or another host. Counting
   * from the arrival gave a leaving server work for longer than it stays.
   */
  #earliestChangeTime(wasContinuous: boolean): Milliseconds {
    const now = this.#context.clock.now()
    return wasContinuous && !this.#isStoreUnavailable ? now : (this.#knownAt ?? now)
  }

  async #watch(revision: number): Promise<StoreFailure | null> {
    if (this.#changeFeed.reader.hasSource) {
      const received = await this.#watchThroughZone(revision)
      if (received !== null) return this.#takeFromHost(received)
      this.#isContinuous = false
    }
    const { storeWatch, forwardingWatch, firstWatch, answer } = this.#budget
    const longest = this.#changeFeed.server.hasReaders ? forwardingWatch : storeWatch
    const wait = this.#isContinuous ? longest : firstWatch
    const limit = { begin: wait + answer, pause: PAUSE_LIMIT_MILLISECONDS }
    const events = await this.#store.watch(revision, wait, limit)
    const madeSince = this.#earliestChangeTime(this.#isContinuous)
    this.#isContinuous = events.isOk()
    if (events.isErr()) return events.error
    // A response of an older revision must not revert what is known.
    if (events.value.revision < revision) return null
    const age = { knownAt: this.#context.clock.now(), madeSince }
    this.#changeFeed.server.takeFromStore(events.value, age)
    return this.#takeChanges(events.value, age)
  }

  #watchThroughZone(after: number): Promise<ReceivedChanges | null> {
    const { isAwaited } = this.#listener
    return this.#changeFeed.reader.watch({ after, wait: this.#budget.zoneWatch, isAwaited })
  }

  /** The next watch at the store counts as a first one, since none was pending there meanwhile. */
  async #takeFromHost({ events, isWhole, ...age }: ReceivedChanges): Promise<null> {
    this.#isContinuous = false
    // A change that this host does not have was made after its last known state.
    const madeSince = milliseconds(Math.max(age.madeSince, this.#knownAt ?? age.madeSince))
    if (isWhole) this.#changeFeed.server.takeList(events, madeSince)
    this.#changeFeed.server.takeFromHost(events, { ...age, madeSince })
    if (!isWhole) return this.#takeChanges(events, { ...age, madeSince })
    this.#revision = events.revision
    this.#knownAt = age.knownAt
    this.#takeList(events.changes, events.revision, madeSince)
    return null
  }

  async #takeChanges({ changes, revision }: DirectoryEvents, age: ChangeAge): Promise<null> {
    this.#revision = revision
    this.#knownAt = age.knownAt
    if (changes.length > 0) this.#listener.takeChanges(changes, age.madeSince)
    if (this.#mayBatch(changes)) {
      await sleep(this.#budget.batch)
      this.#isContinuous = false
    }
    return null
  }

  /**
   * Entries of servers that expired while the store was unavailable return one by one. A host that batched after
   * the first of them learned of the primaries a second later, while callers waited.
   */
  #mayBatch(changes: readonly DirectoryChange[]): boolean {
    if (changes.length === 0 || this.#listener.isAwaited) return false
    return !changes.some(change => this.#listener.isUrgent(change))
  }

  #succeeded(): void {
    if (this.#isStoreUnavailable)
      this.#context.log.write('store_back', { revision: this.#revision })
    this.#isStoreUnavailable = false
    this.#failures = 0
    this.#retryDelay = this.#budget.shortestRetryDelay
  }

  async #failed(failure: StoreFailure): Promise<void> {
    if (failure.kind === 'historyGone') {
      this.#context.log.write('store_history_gone', { revision: this.#revision })
      this.#revision = null
      return
    }
    if (!this.#isStoreUnavailable) this.#context.log.write('store_lost', { ...failure })
    this.#isStoreUnavailable = true
    this.#failures += 1
    if (this.#failures >= FAILURES_TO_DECLINE) this.#changeFeed.server.suspend()
    await sleep(jittered(this.#retryDelay, this.#context.random))
    this.#retryDelay = Math.min(this.#retryDelay * 2, this.#longestRetryDelay)
  }

  /** A host cannot serve callers before its first list, so it retries more often until then. */
  get #longestRetryDelay(): number {
    const { longestRetryDelay, longestInitialRetryDelay } = this.#budget
    return this.#knownAt === null ? longestInitialRetryDelay : longestRetryDelay
  }
}
