/**
 * In-memory implementation of the platform's store for tests: one revision counter, conditional
 * changes, leases, watches and faults.
 */
import { err, ok, type Result } from 'neverthrow'
import {
  eraOf,
  revisionWithinEra,
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

/** How the store responds to calls. */
export type StoreBehaviour =
  | 'well'
  /** Fails each call immediately, without effect. */
  | 'refusing'
  /** Answers no call, without effect; the caller times out. */
  | 'silent'
  /** Carries out each call and does not answer. */
  | 'losingAnswers'

interface LoggedChange {
  readonly revision: number
  readonly change: DirectoryChange
}

interface Lease {
  readonly until: number
  readonly lifetimeMilliseconds: number
}

const UNAVAILABLE: StoreFailure = { kind: 'unavailable', detail: 'the stand-in refuses' }
const NO_ANSWER: StoreFailure = { kind: 'noAnswer', detail: 'the stand-in does not answer' }

/** The contents of the store at one moment. */
export interface StoreSnapshot {
  readonly revision: number
  readonly lastLease: number
  readonly records: ReadonlyMap<string, { record: StoredRecord; lease: number }>
  readonly leases: ReadonlyMap<number, Lease>
  readonly servers: ReadonlyMap<BackendServerId, BackendServerEntry>
  readonly configuration: FleetConfiguration | null
}

/** The contents that all hosts share; each host uses its own `StoreConnection`. */
export class MemoryStore {
  #revision = 1
  #lastLease = 0
  readonly #records = new Map<string, { record: StoredRecord; lease: number }>()
  readonly #leases = new Map<number, Lease>()
  readonly #servers = new Map<BackendServerId, BackendServerEntry>()
  #configuration: FleetConfiguration | null = null
  #log: LoggedChange[] = []
  #watchers = new Set<() => void>()
  /** Number of calls by name, for tests that limit them. */
  readonly callCounts = new Map<string, number>()

  get revision(): number {
    return this.#revision
  }

  configure(configuration: FleetConfiguration): void {
    this.#configuration = configuration
    this.#recordChange({ kind: 'configuration', configuration })
  }

  listServer(entry: BackendServerEntry): void {
    this.#servers.set(entry.server, entry)
    this.#recordChange({ kind: 'server', entry })
  }

  unlistServer(server: BackendServerId): void {
    this.#servers.delete(server)
    this.#recordChange({ kind: 'serverGone', server })
  }

  snapshot(): StoreSnapshot {
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
   * Restores a snapshot, including the operator's configuration and the server entries. Changes made since are lost
   * until their owners write them again, and revision and lease numbers are assigned again, in a new era.
   */
  restore(snapshot: StoreSnapshot): void {
    const era = eraOf(this.#revision) + 1
    const inNewEra = (number: number): number => storeRevision(era, revisionWithinEra(number))
    this.#revision = inNewEra(snapshot.revision)
    this.#lastLease = inNewEra(Math.max(1, snapshot.lastLease))
    this.#records.clear()
    this.#leases.clear()
    this.#servers.clear()
    for (const [key, { record, lease }] of snapshot.records) {
      const restored = { ...record, revision: inNewEra(record.revision) }
      this.#records.set(key, { record: restored, lease: inNewEra(lease) })
    }
    for (const [lease, held] of snapshot.leases) this.#leases.set(inNewEra(lease), held)
    for (const [server, entry] of snapshot.servers) this.#servers.set(server, entry)
    this.#configuration = snapshot.configuration
    this.#log = []
    for (const wake of [...this.#watchers]) wake()
  }

  record(key: string): StoredRecord | null {
    this.#expire()
    return this.#records.get(key)?.record ?? null
  }

  /** Keys of all records with the prefix, in order. */
  recordKeys(prefix: string): string[] {
    this.#expire()
    return [...this.#records.keys()].filter(key => key.startsWith(prefix)).sort()
  }

  /** Removes a record without a call of its owner, as a platform that revokes keys does. */
  revoke(key: string): void {
    if (this.#records.delete(key)) this.#recordRemoval(key)
  }

  /** Discards the change history; watches from earlier revisions must list again. */
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

  /** Only records whose keys begin with the prefix. */
  recordPage(prefix: string): DirectoryPage {
    const { changes, ...page } = this.page()
    const isWanted = (change: RevisedChange): boolean =>
      change.kind === 'record' && change.key.startsWith(prefix)
    return { ...page, changes: changes.filter(isWanted) }
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

  /** Resolves at the next change or after the timeout. */
  nextChange(timeoutMilliseconds: number): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer)
        this.#watchers.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, timeoutMilliseconds)
      this.#watchers.add(wake)
    })
  }

  change(change: ConditionalChange): ChangeOutcome {
    this.#expire()
    const isMet = change.expected.every(
      ({ key, revision }) => (this.#records.get(key)?.record.revision ?? 0) === revision,
    )
    if (!isMet) {
      const records = change.expected.flatMap(({ key }) => this.#records.get(key)?.record ?? [])
      return { kind: 'conflict', records }
    }
    if (change.puts.some(({ lease }) => lease !== 0 && !this.#leases.has(lease))) {
      return { kind: 'leaseGone' }
    }
    for (const { key, value, lease } of change.puts) {
      const record = { key, value, revision: this.#revision + 1 }
      this.#records.set(key, { record, lease })
      this.#recordChange({ kind: 'record', ...record, lease })
    }
    for (const key of change.removes) if (this.#records.delete(key)) this.#recordRemoval(key)
    return { kind: 'made', revision: this.#revision }
  }

  grantLease(lifetimeMilliseconds: number): number {
    this.#lastLease += 1
    this.#leases.set(this.#lastLease, {
      until: performance.now() + lifetimeMilliseconds,
      lifetimeMilliseconds,
    })
    return this.#lastLease
  }

  renewLease(lease: number): boolean {
    this.#expire()
    const known = this.#leases.get(lease)
    if (known === undefined) return false
    this.#leases.set(lease, { ...known, until: performance.now() + known.lifetimeMilliseconds })
    return true
  }

  endLease(lease: number): void {
    this.#leases.delete(lease)
    for (const [key, held] of this.#records) {
      if (held.lease !== lease || lease === 0) continue
      this.#records.delete(key)
      this.#recordRemoval(key)
    }
  }

  #expire(): void {
    const now = performance.now()
    for (const [lease, { until }] of this.#leases) if (until <= now) this.endLease(lease)
  }

  #recordRemoval(key: string): void {
    this.#recordChange({ kind: 'record', key, value: null, revision: this.#revision + 1, lease: 0 })
  }

  #recordChange(change: DirectoryChange): void {
    this.#revision += 1
    this.#log.push({ revision: this.#revision, change })
    for (const wake of [...this.#watchers]) wake()
  }
}

/** Interval at which a watch checks for expired leases. */
const LEASE_CHECK_MILLISECONDS = 20

/** One host's connection to the store. */
export class StoreConnection implements StoreLink {
  behaviour: StoreBehaviour = 'well'
  readonly #store: MemoryStore
  #isClosed = false

  constructor(store: MemoryStore) {
    this.#store = store
  }

  list(
    _after: string | null,
    limit: LongAnswerLimit,
    recordPrefix?: string,
  ): Promise<Result<DirectoryPage, StoreFailure>> {
    if (recordPrefix === undefined) {
      return this.#call('list', limit.begin, () => ok(this.#store.page()))
    }
    return this.#call('listRecords', limit.begin, () => ok(this.#store.recordPage(recordPrefix)))
  }

  async watch(
    revision: number,
    waitMilliseconds: number,
    limit: LongAnswerLimit,
  ): Promise<Result<DirectoryEvents, StoreFailure>> {
    const until = performance.now() + waitMilliseconds
    this.#count('watch')
    for (;;) {
      const events = await this.#perform(limit.begin, () => this.#store.eventsAfter(revision))
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

  grantLease(lifetimeMilliseconds: number, limit: number): Promise<Result<number, StoreFailure>> {
    return this.#call('grantLease', limit, () => ok(this.#store.grantLease(lifetimeMilliseconds)))
  }

  renewLease(lease: number, limit: number): Promise<Result<boolean, StoreFailure>> {
    return this.#call('renewLease', limit, () => ok(this.#store.renewLease(lease)))
  }

  endLease(lease: number, limit: number): Promise<Result<void, StoreFailure>> {
    return this.#call('endLease', limit, () => {
      this.#store.endLease(lease)
      return ok(undefined)
    })
  }

  close(): void {
    this.#isClosed = true
  }

  #call<Value>(
    name: string,
    timeoutMilliseconds: number,
    act: () => Result<Value, StoreFailure>,
  ): Promise<Result<Value, StoreFailure>> {
    this.#count(name)
    return this.#perform(timeoutMilliseconds, act)
  }

  #count(name: string): void {
    const { callCounts: calls } = this.#store
    calls.set(name, (calls.get(name) ?? 0) + 1)
  }

  async #perform<Value>(
    timeoutMilliseconds: number,
    act: () => Result<Value, StoreFailure>,
  ): Promise<Result<Value, StoreFailure>> {
    switch (this.behaviour) {
      case 'well':
        return Promise.resolve().then(act)
      case 'refusing':
        return err(UNAVAILABLE)
      case 'losingAnswers':
        act()
        return this.#failAfterTimeout(timeoutMilliseconds)
      case 'silent':
        return this.#failAfterTimeout(timeoutMilliseconds)
    }
  }

  async #failAfterTimeout<Value>(
    timeoutMilliseconds: number,
  ): Promise<Result<Value, StoreFailure>> {
    await new Promise(resolve => setTimeout(resolve, timeoutMilliseconds))
    return err(NO_ANSWER)
  }
}
