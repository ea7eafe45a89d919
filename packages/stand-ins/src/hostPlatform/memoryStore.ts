/**
 * The platform's store for tests, as the product's port sees it: one revision counter, conditional
 * changes, leases, a watch, and the ways in which it fails.
 */
import { err, ok, type Result } from 'neverthrow'
import {
  eraOf,
  ownRevisionOf,
  storeRevision,
  type BackendServerEntry,
  type ChangeOutcome,
  type ConditionalChange,
  type DirectoryChange,
  type DirectoryEvents,
  type DirectoryPage,
  type FleetConfiguration,
  type LongAnswerLimit,
  type RevisedChange,
  type StoreFailure,
  type StoreLink,
  type StoredRecord,
} from '@nutmegcourse/protocol'
import type { BackendServerId } from '@nutmegcourse/shared'

/** How the store treats calls. */
export type StoreMood =
  | 'well'
  /** Refuses at once; nothing is done. */
  | 'refusing'
  /** Never answers; nothing is done. */
  | 'silent'
  /** Does what it is asked and does not answer. */
  | 'losingAnswers'

interface LoggedChange {
  readonly revision: number
  readonly change: DirectoryChange
}

interface Lease {
  readonly until: number
  readonly lifetime: number
}

const UNAVAILABLE: StoreFailure = { kind: 'unavailable', detail: 'the stand-in refuses' }
const NO_ANSWER: StoreFailure = { kind: 'noAnswer', detail: 'the stand-in does not answer' }

/** What the store held at one moment. */
export interface StoreCopy {
  readonly revision: number
  readonly lastLease: number
  readonly records: ReadonlyMap<string, { record: StoredRecord; lease: number }>
  readonly leases: ReadonlyMap<number, Lease>
  readonly servers: ReadonlyMap<BackendServerId, BackendServerEntry>
  readonly configuration: FleetConfiguration | null
}

/** What all hosts share; each reaches it through a `StoreConnection` of its own. */
export class MemoryStore {
  #revision = 1
  #lastLease = 0
  readonly #records = new Map<string, { record: StoredRecord; lease: number }>()
  readonly #leases = new Map<number, Lease>()
  readonly #servers = new Map<BackendServerId, BackendServerEntry>()
  #configuration: FleetConfiguration | null = null
  #log: LoggedChange[] = []
  #watchers = new Set<() => void>()
  /** Calls by name, for budgets. */
  readonly calls = new Map<string, number>()

  get revision(): number {
    return this.#revision
  }

  configure(configuration: FleetConfiguration): void {
    this.#configuration = configuration
    this.#note({ kind: 'configuration', configuration })
  }

  listServer(entry: BackendServerEntry): void {
    this.#servers.set(entry.server, entry)
    this.#note({ kind: 'server', entry })
  }

  unlistServer(server: BackendServerId): void {
    this.#servers.delete(server)
    this.#note({ kind: 'serverGone', server })
  }

  copy(): StoreCopy {
    return {
      revision: this.#revision,
      lastLease: this.#lastLease,
      records: new Map(this.#records),
      leases: new Map(this.#leases),
      servers: new Map(this.#servers),
      configuration: this.#configuration,
    }
  }

  /**
   * Comes back from a copy: what was written since is gone, and revisions and numbers of leases are given out again,
   * in a new era. The operator's configuration and the servers' entries are for their writers to write again.
   */
  restore(copy: StoreCopy): void {
    const era = eraOf(this.#revision) + 1
    const now = (number: number): number => storeRevision(era, ownRevisionOf(number))
    this.#revision = now(copy.revision)
    this.#lastLease = now(Math.max(1, copy.lastLease))
    this.#records.clear()
    this.#leases.clear()
    this.#servers.clear()
    for (const [key, { record, lease }] of copy.records) {
      const restored = { ...record, revision: now(record.revision) }
      this.#records.set(key, { record: restored, lease: now(lease) })
    }
    for (const [lease, held] of copy.leases) this.#leases.set(now(lease), held)
    for (const [server, entry] of copy.servers) this.#servers.set(server, entry)
    this.#configuration = copy.configuration
    this.#log = []
    for (const wake of [...this.#watchers]) wake()
  }

  record(key: string): StoredRecord | null {
    this.#expire()
    return this.#records.get(key)?.record ?? null
  }

  /** Every record whose key begins so, in order. */
  recordKeys(prefix: string): string[] {
    this.#expire()
    return [...this.#records.keys()].filter(key => key.startsWith(prefix)).sort()
  }

  /** Takes a key away, as a platform that revokes keys does. */
  revoke(key: string): void {
    if (this.#records.delete(key)) this.#noteRemoved(key)
  }

  /** Forgets the history: watches from before must list again. */
  compact(): void {
    this.#log = []
  }

  page(): DirectoryPage {
    this.#expire()
    const changes: RevisedChange[] = []
    const revision = this.#revision
    if (this.#configuration !== null) {
      changes.push({ kind: 'configuration', configuration: this.#configuration, revision })
    }
    for (const entry of this.#servers.values()) changes.push({ kind: 'server', entry, revision })
    for (const { record, lease } of this.#records.values()) {
      changes.push({ kind: 'record', ...record, lease })
    }
    return { changes, revision, next: null }
  }

  eventsAfter(revision: number): Result<DirectoryEvents, StoreFailure> {
    this.#expire()
    if (eraOf(revision) < eraOf(this.#revision)) return err({ kind: 'historyGone' })
    const oldest = this.#log[0]?.revision ?? this.#revision + 1
    if (revision + 1 < oldest) return err({ kind: 'historyGone' })
    const events = this.#log.filter(logged => logged.revision > revision)
    const changes = events.map(({ change, revision: made }) => ({ ...change, revision: made }))
    return ok({ changes, revision: this.#revision })
  }

  /** Resolves at the next change, or after `span` milliseconds. */
  nextChange(span: number): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer)
        this.#watchers.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, span)
      this.#watchers.add(wake)
    })
  }

  change(change: ConditionalChange): ChangeOutcome {
    this.#expire()
    const unmet = change.expected.filter(
      ({ key, revision }) => (this.#records.get(key)?.record.revision ?? 0) !== revision,
    )
    if (unmet.length > 0) {
      const records = unmet.flatMap(({ key }) => this.#records.get(key)?.record ?? [])
      return { kind: 'conflict', records }
    }
    if (change.puts.some(({ lease }) => lease !== 0 && !this.#leases.has(lease))) {
      return { kind: 'leaseGone' }
    }
    for (const { key, value, lease } of change.puts) {
      const record = { key, value, revision: this.#revision + 1 }
      this.#records.set(key, { record, lease })
      this.#note({ kind: 'record', ...record, lease })
    }
    for (const key of change.removes) if (this.#records.delete(key)) this.#noteRemoved(key)
    return { kind: 'made', revision: this.#revision }
  }

  grant(lifetime: number): number {
    this.#lastLease += 1
    this.#leases.set(this.#lastLease, { until: performance.now() + lifetime, lifetime })
    return this.#lastLease
  }

  renew(lease: number): boolean {
    this.#expire()
    const known = this.#leases.get(lease)
    if (known === undefined) return false
    this.#leases.set(lease, { ...known, until: performance.now() + known.lifetime })
    return true
  }

  end(lease: number): void {
    this.#leases.delete(lease)
    for (const [key, held] of this.#records) {
      if (held.lease !== lease || lease === 0) continue
      this.#records.delete(key)
      this.#noteRemoved(key)
    }
  }

  #expire(): void {
    const now = performance.now()
    for (const [lease, { until }] of this.#leases) if (until <= now) this.end(lease)
  }

  #noteRemoved(key: string): void {
    this.#note({ kind: 'record', key, value: null, revision: this.#revision + 1, lease: 0 })
  }

  #note(change: DirectoryChange): void {
    this.#revision += 1
    this.#log.push({ revision: this.#revision, change })
    for (const wake of [...this.#watchers]) wake()
  }
}

/** How often a watch looks for leases that ended, in milliseconds. */
const LEASE_CHECK_MILLISECONDS = 20

/** One host's way to the store. */
export class StoreConnection implements StoreLink {
  mood: StoreMood = 'well'
  readonly #store: MemoryStore
  #isClosed = false

  constructor(store: MemoryStore) {
    this.#store = store
  }

  list(
    _after: string | null,
    limit: LongAnswerLimit,
  ): Promise<Result<DirectoryPage, StoreFailure>> {
    return this.#call('list', limit.begin, () => ok(this.#store.page()))
  }

  async watch(
    revision: number,
    waitMilliseconds: number,
    limit: LongAnswerLimit,
  ): Promise<Result<DirectoryEvents, StoreFailure>> {
    const until = performance.now() + waitMilliseconds
    this.#count('watch')
    for (;;) {
      const events = await this.#act(limit.begin, () => this.#store.eventsAfter(revision))
      if (events.isErr() || events.value.changes.length > 0) return events
      if (this.#isClosed || performance.now() >= until) return events
      await this.#store.nextChange(LEASE_CHECK_MILLISECONDS)
    }
  }

  read(key: string, limit: number): Promise<Result<StoredRecord | null, StoreFailure>> {
    return this.#call('read', limit, () => ok(this.#store.record(key)))
  }

  change(change: ConditionalChange, limit: number): Promise<Result<ChangeOutcome, StoreFailure>> {
    return this.#call('change', limit, () => ok(this.#store.change(change)))
  }

  grantLease(lifetime: number, limit: number): Promise<Result<number, StoreFailure>> {
    return this.#call('grantLease', limit, () => ok(this.#store.grant(lifetime)))
  }

  renewLease(lease: number, limit: number): Promise<Result<boolean, StoreFailure>> {
    return this.#call('renewLease', limit, () => ok(this.#store.renew(lease)))
  }

  endLease(lease: number, limit: number): Promise<Result<void, StoreFailure>> {
    return this.#call('endLease', limit, () => {
      this.#store.end(lease)
      return ok(undefined)
    })
  }

  close(): void {
    this.#isClosed = true
  }

  #call<Value>(
    name: string,
    limit: number,
    act: () => Result<Value, StoreFailure>,
  ): Promise<Result<Value, StoreFailure>> {
    this.#count(name)
    return this.#act(limit, act)
  }

  #count(name: string): void {
    const { calls } = this.#store
    calls.set(name, (calls.get(name) ?? 0) + 1)
  }

  async #act<Value>(
    limit: number,
    act: () => Result<Value, StoreFailure>,
  ): Promise<Result<Value, StoreFailure>> {
    switch (this.mood) {
      case 'well':
        return Promise.resolve().then(act)
      case 'refusing':
        return err(UNAVAILABLE)
      case 'losingAnswers':
        act()
        return this.#timeOut(limit)
      case 'silent':
        return this.#timeOut(limit)
    }
  }

  async #timeOut<Value>(limit: number): Promise<Result<Value, StoreFailure>> {
    await new Promise(resolve => setTimeout(resolve, limit))
    return err(NO_ANSWER)
  }
}
