/** Starts and stops watches of the databases assigned to this host, as hosts, servers and drains change. */
import {
  WatcherPlan,
  type Watcher,
  type WatcherOpinion,
  type HostLocation,
} from '@nutmegcourse/coordination'
import type { GroupRecord, ListedBackendServer, PeerHeldWrites } from '@nutmegcourse/protocol'
import type { DatabaseId, EntryHostId } from '@nutmegcourse/shared'
import type { DatabaseWatch } from './databaseWatch.js'
import type { WatchTiming } from './watchTiming.js'

export interface WatchManagerOptions {
  readonly self: EntryHostId
  readonly startWatch: (database: DatabaseId, timing: WatchTiming) => DatabaseWatch
  readonly timingFor: (watchedServers: number) => WatchTiming
  readonly recordOf: (
    database: DatabaseId,
  ) => { readonly record: GroupRecord; readonly revision: number } | null
  /** Called with the hosts that watch a database together with this one. */
  readonly onPartnersChange: (partners: readonly EntryHostId[]) => void
}

interface ActiveWatch {
  readonly watch: DatabaseWatch
  readonly timing: WatchTiming
  watchers: readonly Watcher[]
  servers: readonly ListedBackendServer[]
}

interface Assignment {
  readonly database: DatabaseId
  readonly watchers: readonly Watcher[]
  readonly servers: readonly ListedBackendServer[]
}

export class WatchManager {
  readonly #options: WatchManagerOptions
  readonly #activeWatches = new Map<DatabaseId, ActiveWatch>()
  #writers: readonly EntryHostId[] = []

  constructor(options: WatchManagerOptions) {
    this.#options = options
  }

  get watched(): readonly DatabaseId[] {
    return [...this.#activeWatches.keys()]
  }

  /** Number of backend servers whose positions this host queries. */
  get serverCount(): number {
    return [...this.#activeWatches.values()].reduce((sum, entry) => sum + entry.servers.length, 0)
  }

  watchOf(database: DatabaseId): DatabaseWatch | null {
    return this.#activeWatches.get(database)?.watch ?? null
  }

  /** Recomputes the watchers of all databases, and starts, updates and stops watches accordingly. */
  plan(
    hosts: readonly HostLocation[],
    databases: ReadonlyMap<DatabaseId, readonly ListedBackendServer[]>,
  ): void {
    const assignments = this.#assignments(new WatcherPlan(hosts), databases)
    const servers = assignments.reduce((sum, { servers: { length } }) => sum + length, 0)
    const timing = this.#options.timingFor(servers)
    this.#stopOthers(new Set(assignments.map(({ database }) => database)))
    for (const assignment of assignments) this.#update(assignment, timing)
    const partners = new Set(
      assignments.flatMap(({ watchers }) => watchers.map(({ entryHost }) => entryHost)),
    )
    partners.delete(this.#options.self)
    this.#options.onPartnersChange([...partners])
  }

  recordChanged(record: GroupRecord, revision: number): void {
    this.#activeWatches.get(record.database)?.watch.receive({ kind: 'record', record, revision })
  }

  /** Sets the hosts whose proxies may send writes. */
  setWriters(hosts: readonly EntryHostId[]): void {
    if (isSame(hosts, this.#writers)) return
    this.#writers = hosts
    for (const { watch } of this.#activeWatches.values()) watch.receive({ kind: 'writers', hosts })
  }

  heldWritesReceived({ database, host, attempt }: PeerHeldWrites): void {
    this.#activeWatches.get(database)?.watch.receive({ kind: 'writesHeld', host, attempt })
  }

  opinionReceived(opinion: WatcherOpinion): void {
    this.#activeWatches.get(opinion.database)?.watch.receive({ kind: 'opinion', opinion })
  }

  /** The other watchers of a database. */
  partnersOf(database: DatabaseId): readonly EntryHostId[] {
    const watchers = this.#activeWatches.get(database)?.watchers ?? []
    return watchers.map(({ entryHost }) => entryHost).filter(id => id !== this.#options.self)
  }

  close(): void {
    this.#stopOthers(new Set())
  }

  /** The databases that this host is assigned to watch. */
  #assignments(
    plan: WatcherPlan,
    databases: ReadonlyMap<DatabaseId, readonly ListedBackendServer[]>,
  ): readonly Assignment[] {
    const assignments: Assignment[] = []
    for (const [database, servers] of databases) {
      const watchers = plan.watchersOf(database, servers)
      const isWatcher = watchers.some(watcher => watcher.entryHost === this.#options.self)
      if (isWatcher) assignments.push({ database, watchers, servers })
    }
    return assignments
  }

  #update({ database, watchers, servers }: Assignment, timing: WatchTiming): void {
    const existing = this.#reuseOrStop(database, timing)
    const entry = existing ?? this.#start(database, timing)
    if (!isSame(entry.servers, servers)) {
      entry.servers = servers
      entry.watch.receive({ kind: 'backendServers', servers })
    }
    if (!isSame(entry.watchers, watchers)) {
      entry.watchers = watchers
      entry.watch.receive({ kind: 'watchers', watchers })
    }
  }

  /**
   * A watch whose timing changed is replaced by a new one without state, as if the host had restarted.
   * It is kept unless the record is known to be stable, as it may be coordinating a change of primary.
   */
  #reuseOrStop(database: DatabaseId, timing: WatchTiming): ActiveWatch | null {
    const entry = this.#activeWatches.get(database)
    if (entry === undefined) return null
    const isSettled = this.#options.recordOf(database)?.record.phase.kind === 'stable'
    if (isSame(entry.timing, timing) || !isSettled) return entry
    entry.watch.close()
    return null
  }

  #start(database: DatabaseId, timing: WatchTiming): ActiveWatch {
    const watch = this.#options.startWatch(database, timing)
    const entry: ActiveWatch = { watch, timing, watchers: [], servers: [] }
    this.#activeWatches.set(database, entry)
    this.#sendRecord(database, watch)
    watch.receive({ kind: 'writers', hosts: this.#writers })
    return entry
  }

  #sendRecord(database: DatabaseId, watch: DatabaseWatch): void {
    const known = this.#options.recordOf(database)
    if (known !== null) watch.receive({ kind: 'record', ...known })
  }

  #stopOthers(kept: ReadonlySet<DatabaseId>): void {
    for (const [database, entry] of this.#activeWatches) {
      if (kept.has(database)) continue
      entry.watch.close()
      this.#activeWatches.delete(database)
    }
  }
}

/** Only for plain data with a fixed key order. */
const isSame = (left: unknown, right: unknown): boolean =>
  JSON.stringify(left) === JSON.stringify(right)
