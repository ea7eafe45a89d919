/**
 * Follows the store: one list at the start, then consecutive watches over everything, through another host of the
 * zone where possible. While the store does not serve this host, it asks the hosts of all zones that the store does
 * serve. If none of them is reached either, the host continues with its last known state, and knows its age.
 *
 * @internal
 */
import {
  eraOf,
  type DirectoryChange,
  type DirectoryEvents,
  type DirectoryPage,
  type HostSettings,
  type RevisedChange,
  type StoreFailure,
  type StoreLink,
} from '@nutmegcourse/protocol'
import { HOST_RECORDS_PREFIX } from '@nutmegcourse/coordination'
import { err, ok, type Result } from 'neverthrow'
import { addMilliseconds, jittered, milliseconds, type Milliseconds } from '@nutmegcourse/shared'
import type { HostContext } from './hostContext.js'
import { changeDelayBudget, type ChangeDelayBudget } from './changeDelayBudget.js'
import type { ChangeAge, ChangeFeedServer } from './changeFeedServer.js'
import { PatientCalls, type PatientAnswer } from './patientCalls.js'
import type { KnowledgeSource } from './storeKnowledge.js'
import { stackOf } from './stackOf.js'
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

const WATCH_LIMITS = {
  pauseMilliseconds: PAUSE_LIMIT_MILLISECONDS,
  begunMilliseconds: PAUSE_LIMIT_MILLISECONDS,
  lateCalls: 5,
}
/** A second list beside one that is being read would only take its part of the link. */
const LIST_LIMITS = {
  pauseMilliseconds: PAUSE_LIMIT_MILLISECONDS,
  begunMilliseconds: 60_000,
  lateCalls: 1,
}

/** How often a further page is asked for before the list begins anew. */
const MAX_PAGE_CALLS = 4

/** Pause before the other hosts are asked again when none of them could help. */
const OTHERS_RETRY_MILLISECONDS = 250

/**
 * A process that gets little processor time needs several turns to give a call up and to make the next one. Its watches
 * are shorter by as many of its recent delays.
 */
const TURNS_TO_RECOVER = 4

/** In a smaller fleet each host reads the list itself. */
const FEWEST_HOSTS = 6

/** How long a host that starts waits for another host of its zone to have the list. */
const ZONE_LIST_MILLISECONDS = 1000

/**
 * Consecutive failures after which requests of other hosts are declined. A store that compacts its history cuts
 * every watch once; declining at the first failure would send all hosts of the zone to the store.
 */
const FAILURES_TO_DECLINE = 2

/** A response that was under way while the store was restored, or while a newer one arrived. */
const OLDER_STATE: StoreFailure = {
  kind: 'unexpected',
  detail: 'response that is older than what is known',
}

const PAGES_REPEAT: StoreFailure = {
  kind: 'unexpected',
  detail: 'a page of the list that leads back to an earlier one',
}

const FROM_STORE: KnowledgeSource = { kind: 'store' }

/** What one watch reported. */
interface WatchedEvents {
  readonly events: DirectoryEvents
  /** The revision after which it was to report changes. */
  readonly after: number
  /** The wait that was asked for. */
  readonly wait: number
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
  readonly #watches: PatientCalls<WatchedEvents>
  readonly #firstPages: PatientCalls<DirectoryPage>
  /** The revision up to which all changes are known; null when everything has to be listed. */
  #revision: number | null = null
  /** The newest revision that was ever known, and when it was learned. */
  #newest: { readonly revision: number; readonly learnedAt: Milliseconds } | null = null
  #isAskingOthers = false
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
  /** The last answer of the store was late. Until one is in time, the host asks often and does not batch. */
  #isStoreSlow = false
  /** Consecutive failed calls. */
  #failures = 0
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
    this.#watches = new PatientCalls(context.clock, WATCH_LIMITS)
    this.#firstPages = new PatientCalls(context.clock, LIST_LIMITS)
  }

  async run(): Promise<void> {
    // By then all hosts of the fleet have registered, so that one list shows through which host to watch.
    if (this.#context.settings.isFirstStart) await sleep(this.#budget.batch)
    while (!this.#isStopped) {
      try {
        await this.#followOnce()
      } catch (error) {
        await this.#pauseAfter(error)
      }
    }
  }

  async #followOnce(): Promise<void> {
    const failure =
      this.#revision === null ? await this.#start() : await this.#watch(this.#revision)
    if (failure === null) this.#succeeded()
    else await this.#failed(failure)
  }

  /** What one change throws must not end the following of all later ones. */
  async #pauseAfter(error: unknown): Promise<void> {
    const detail = stackOf(error)
    this.#context.log.write('following_failed', { revision: this.#revision, detail })
    await sleep(this.#budget.longestRetryDelay)
  }

  get #knownAt(): Milliseconds | null {
    return this.#context.knowledge.knownAt
  }

  #learn(revision: number, knownAt: Milliseconds, source: KnowledgeSource): void {
    const { knowledge, log, clock } = this.#context
    const before = knowledge.sourceName
    this.#revision = revision
    this.#newest = { revision, learnedAt: clock.now() }
    knowledge.learned(knownAt, revision, source)
    if (knowledge.sourceName !== before)
      log.write('source_changed', { before, ...knowledge.describe() })
  }

  stop(): void {
    this.#isStopped = true
    this.#changeFeed.server.suspend()
    this.#store.close()
  }

  async #start(): Promise<StoreFailure | null> {
    const received = this.#mayListThroughZone ? await this.#listThroughZone() : null
    return received === null ? this.#list() : this.#takeFromHost(received, 0)
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
    const first = await this.#firstPages.next(
      limit => this.#store.list(null, limit),
      LIST_LIMIT.begin,
    )
    if (first.isErr()) return first.error
    const { answer, askedAt, isLate } = first.value
    this.#isStoreSlow = isLate
    const changes = [...answer.changes]
    const revisions = [answer.revision]
    let { next } = answer
    while (next !== null) {
      const after: string = next
      const page = await this.#furtherPage(after)
      if (page.isErr()) return page.error
      changes.push(...page.value.changes)
      revisions.push(page.value.revision)
      ;({ next } = page.value)
      if (next === after) return PAGES_REPEAT
    }
    // Pages are not a snapshot: the watch reports again what changed since the first one.
    return this.#takeStoreList(changes, Math.min(...revisions), askedAt)
  }

  async #furtherPage(after: string): Promise<Result<DirectoryPage, StoreFailure>> {
    const pages = new PatientCalls<DirectoryPage>(this.#context.clock, LIST_LIMITS)
    for (let calls = 1; ; calls += 1) {
      const page = await pages.next(limit => this.#store.list(after, limit), LIST_LIMIT.begin)
      if (page.isOk()) return ok(page.value.answer)
      if (page.error.kind !== 'noAnswer' || calls === MAX_PAGE_CALLS) return err(page.error)
    }
  }

  #takeStoreList(
    changes: readonly RevisedChange[],
    revision: number,
    askedAt: Milliseconds,
  ): StoreFailure | null {
    if (eraOf(revision) < (this.#era ?? 0) || this.#isOutdated(revision, askedAt))
      return OLDER_STATE
    const since = this.#knownAt ?? askedAt
    this.#firstPages.forget()
    this.#watches.forget()
    this.#learn(revision, askedAt, FROM_STORE)
    this.#isContinuous = !this.#isStoreSlow
    this.#changeFeed.server.takeList({ changes, revision }, askedAt)
    this.#takeList(changes, revision, since)
    return null
  }

  /** Whether a newer revision was learned while the answer was under way. */
  #isOutdated(revision: number, askedAt: Milliseconds): boolean {
    if (this.#newest === null) return false
    return revision < this.#newest.revision && askedAt < this.#newest.learnedAt
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
    return wasContinuous && this.#failures === 0 ? now : (this.#knownAt ?? now)
  }

  async #watch(revision: number): Promise<StoreFailure | null> {
    if (this.#changeFeed.reader.hasSource) {
      const received = await this.#watchThroughZone(revision)
      if (received !== null) return this.#takeFromHost(received, revision)
      this.#isContinuous = false
    }
    const wait = this.#isContinuous ? this.#longestWatch : this.#budget.firstWatch
    const watched = await this.#watches.next(
      async limit =>
        (await this.#store.watch(revision, wait, limit)).map(events => ({
          events,
          wait,
          after: revision,
        })),
      wait + this.#budget.answer,
    )
    const wasContinuous = this.#isContinuous
    this.#isContinuous = watched.isOk() && !watched.value.isLate
    if (watched.isErr()) return watched.error
    const { answer, isLate } = watched.value
    this.#isStoreSlow = isLate
    const madeSince = this.#earliestChangeTime(wasContinuous && !isLate)
    return this.#takeWatched(answer, { knownAt: this.#knownAsOf(watched.value), madeSince })
  }

  async #takeWatched({ events, after }: WatchedEvents, age: ChangeAge): Promise<null> {
    // A response of an older revision must not revert what is known.
    if (this.#revision === null || events.revision < this.#revision) return null
    this.#changeFeed.server.takeFromStore(events, age)
    return this.#takeChanges(
      { ...events, changes: this.#unknownOf(events, after) },
      age,
      FROM_STORE,
    )
  }

  /** A question from an older revision than what is known by now reports changes again. */
  #unknownOf({ changes }: DirectoryEvents, after: number): readonly RevisedChange[] {
    const known = this.#revision
    if (known === null || known <= after) return changes
    return changes.filter(({ revision }) => revision > known)
  }

  get #longestWatch(): number {
    const { storeWatch, forwardingWatch, shortestWatch } = this.#budget
    const longest = this.#changeFeed.server.hasReaders ? forwardingWatch : storeWatch
    const { recentLatenessMilliseconds } = this.#context.ownStall
    return Math.max(longest - TURNS_TO_RECOVER * recentLatenessMilliseconds, shortestWatch)
  }

  /** A late answer was given some time after the question, and nothing tells how long its way back took. */
  #knownAsOf({ answer, askedAt, isLate }: PatientAnswer<WatchedEvents>): Milliseconds {
    const now = this.#context.clock.now()
    if (answer.events.changes.length > 0) return isLate ? askedAt : now
    return isLate ? addMilliseconds(askedAt, answer.wait) : now
  }

  #watchThroughZone(after: number): Promise<ReceivedChanges | null> {
    const { isAwaited } = this.#listener
    return this.#changeFeed.reader.watch({ after, wait: this.#budget.zoneWatch, isAwaited })
  }

  /**
   * Asks the hosts that the store serves, for as long as it does not serve this one. The calls to the store go on beside
   * it. This host forwards nothing meanwhile, so that no two hosts rely on each other.
   */
  async #followOthers(): Promise<void> {
    if (this.#isAskingOthers) return
    this.#isAskingOthers = true
    try {
      while (!this.#isStopped && this.#failures > 0 && this.#newest !== null)
        await this.#askOthers(this.#newest.revision)
    } catch (error) {
      await this.#pauseAfter(error)
    } finally {
      this.#isAskingOthers = false
    }
  }

  async #askOthers(after: number): Promise<void> {
    const { isAwaited } = this.#listener
    // The first answer is to bring what is known at once.
    const isFirst = this.#context.knowledge.sourceName === FROM_STORE.kind
    const request = { after, wait: isFirst ? 0 : this.#budget.zoneWatch, isAwaited }
    const received = await this.#changeFeed.reader.watchElsewhere(request)
    if (received === null) await sleep(OTHERS_RETRY_MILLISECONDS)
    else if (this.#failures > 0 && received.events.revision >= (this.#newest?.revision ?? 0))
      await this.#takeFromHost(received, after)
  }

  /** The next watch at the store counts as a first one, since none was pending there meanwhile. */
  async #takeFromHost(
    { events, isWhole, from, ...age }: ReceivedChanges,
    after: number,
  ): Promise<null> {
    this.#isContinuous = false
    const source: KnowledgeSource = { kind: 'host', host: from }
    // A change that this host does not have was made after its last known state.
    const madeSince = milliseconds(Math.max(age.madeSince, this.#knownAt ?? age.madeSince))
    if (isWhole) this.#changeFeed.server.takeList(events, madeSince)
    this.#changeFeed.server.takeFromHost(events, { ...age, madeSince })
    if (!isWhole) {
      const changes = this.#unknownOf(events, after)
      return this.#takeChanges({ ...events, changes }, { ...age, madeSince }, source)
    }
    this.#learn(events.revision, age.knownAt, source)
    this.#takeList(events.changes, events.revision, madeSince)
    return null
  }

  async #takeChanges(
    { changes, revision }: DirectoryEvents,
    age: ChangeAge,
    source: KnowledgeSource,
  ): Promise<null> {
    this.#learn(revision, age.knownAt, source)
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
    if (changes.length === 0 || this.#listener.isAwaited || this.#isStoreSlow) return false
    return !changes.some(change => this.#listener.isUrgent(change))
  }

  #succeeded(): void {
    if (this.#failures > 0) this.#context.log.write('store_back', { revision: this.#revision })
    this.#failures = 0
    this.#retryDelay = this.#budget.shortestRetryDelay
  }

  async #failed(failure: StoreFailure): Promise<void> {
    if (failure.kind === 'historyGone') {
      this.#context.log.write('store_history_gone', { revision: this.#revision })
      this.#revision = null
      return
    }
    this.#logFailure(failure)
    this.#failures += 1
    if (this.#failures >= FAILURES_TO_DECLINE) this.#changeFeed.server.suspend()
    if (this.#needsOthers) void this.#followOthers()
    await this.#watches.pause(jittered(this.#retryDelay, this.#context.random))
    this.#retryDelay = Math.min(this.#retryDelay * 2, this.#longestRetryDelay)
  }

  /** A store that compacts its history cuts every watch once; that alone is no reason to ask. */
  get #needsOthers(): boolean {
    const { ageMilliseconds } = this.#context.knowledge
    return this.#failures > 1 || ageMilliseconds > this.#longestWatch
  }

  /** The first failure of a kind, and each one that leaves this host without a confirmed configuration. */
  #logFailure(failure: StoreFailure): void {
    const { knowledge, log } = this.#context
    if (this.#failures === 0) log.write('store_lost', { ...failure, ...knowledge.describe() })
    else if (!knowledge.isConfirmed)
      log.write('store_still_lost', { ...failure, ...knowledge.describe() })
  }

  /** A host cannot serve callers before its first list, so it retries more often until then. */
  get #longestRetryDelay(): number {
    const { longestRetryDelay, longestInitialRetryDelay } = this.#budget
    return this.#knownAt === null ? longestInitialRetryDelay : longestRetryDelay
  }
}
