/** The databases that this host watches: starts and ends watches as hosts, servers and drains change. */
import {
  WatcherPlan,
  type Watcher,
  type WatcherOpinion,
  type HostLocation,
} from '@nutmegcourse/coordination'
import type { GroupRecord, ListedBackendServer } from '@nutmegcourse/protocol'
import type { DatabaseId, EntryHostId } from '@nutmegcourse/shared'
import type { DatabaseWatch } from './databaseWatch.js'
import type { WatchPace } from './watchPace.js'

export interface WatchBoardParts {
  readonly self: EntryHostId
  readonly startWatch: (database: DatabaseId, pace: WatchPace) => DatabaseWatch
  readonly paceFor: (watchedServers: number) => WatchPace
  readonly recordOf: (
    database: DatabaseId,
  ) => { readonly record: GroupRecord; readonly revision: number } | null
  /** Hosts that watch a database together with this one. */
  readonly onPartners: (partners: readonly EntryHostId[]) => void
}

interface Entry {
  readonly watch: DatabaseWatch
  readonly pace: WatchPace
  watchers: readonly Watcher[]
  servers: readonly ListedBackendServer[]
}

interface Assignment {
  readonly database: DatabaseId
  readonly watchers: readonly Watcher[]
  readonly servers: readonly ListedBackendServer[]
}

export class WatchBoard {
  readonly #parts: WatchBoardParts
  readonly #entries = new Map<DatabaseId, Entry>()

  constructor(parts: WatchBoardParts) {
    this.#parts = parts
  }

  get watched(): readonly DatabaseId[] {
    return [...this.#entries.keys()]
  }

  /** Backend servers that this host asks for their positions. */
  get serverCount(): number {
    return [...this.#entries.values()].reduce((sum, entry) => sum + entry.servers.length, 0)
  }

  watchOf(database: DatabaseId): DatabaseWatch | null {
    return this.#entries.get(database)?.watch ?? null
  }

  /** Works out anew who watches what. */
  plan(
    hosts: readonly HostLocation[],
    databases: ReadonlyMap<DatabaseId, readonly ListedBackendServer[]>,
  ): void {
    const assignments = this.#assignments(new WatcherPlan(hosts), databases)
    const servers = assignments.reduce((sum, { servers: { length } }) => sum + length, 0)
    const pace = this.#parts.paceFor(servers)
    this.#endOthers(new Set(assignments.map(({ database }) => database)))
    for (const assignment of assignments) this.#update(assignment, pace)
    const partners = new Set(
      assignments.flatMap(({ watchers }) => watchers.map(({ entryHost }) => entryHost)),
    )
    partners.delete(this.#parts.self)
    this.#parts.onPartners([...partners])
  }

  recordChanged(record: GroupRecord, revision: number): void {
    this.#entries.get(record.database)?.watch.receive({ kind: 'record', record, revision })
  }

  opinionHeard(opinion: WatcherOpinion): void {
    this.#entries.get(opinion.database)?.watch.receive({ kind: 'opinion', opinion })
  }

  /** The other watchers of a database. */
  partnersOf(database: DatabaseId): readonly EntryHostId[] {
    const watchers = this.#entries.get(database)?.watchers ?? []
    return watchers.map(({ entryHost }) => entryHost).filter(id => id !== this.#parts.self)
  }

  close(): void {
    this.#endOthers(new Set())
  }

  /** What this host has to watch. */
  #assignments(
    plan: WatcherPlan,
    databases: ReadonlyMap<DatabaseId, readonly ListedBackendServer[]>,
  ): readonly Assignment[] {
    const assignments: Assignment[] = []
    for (const [database, servers] of databases) {
      const watchers = plan.watchersOf(database, servers)
      const isOwn = watchers.some(watcher => watcher.entryHost === this.#parts.self)
      if (isOwn) assignments.push({ database, watchers, servers })
    }
    return assignments
  }

  #update({ database, watchers, servers }: Assignment, pace: WatchPace): void {
    const existing = this.#keepOrEnd(database, pace)
    const entry = existing ?? this.#start(database, pace)
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
   * A watch of another pace is begun anew, as by a host that was restarted, but never while its
   * database's primary is being changed: it may be the one that does it.
   */
  #keepOrEnd(database: DatabaseId, pace: WatchPace): Entry | null {
    const entry = this.#entries.get(database)
    if (entry === undefined) return null
    const isSettled = this.#parts.recordOf(database)?.record.phase.kind === 'stable'
    if (isSame(entry.pace, pace) || !isSettled) return entry
    entry.watch.close()
    return null
  }

  #start(database: DatabaseId, pace: WatchPace): Entry {
    const watch = this.#parts.startWatch(database, pace)
    const entry: Entry = { watch, pace, watchers: [], servers: [] }
    this.#entries.set(database, entry)
    this.#tellRecord(database, watch)
    return entry
  }

  #tellRecord(database: DatabaseId, watch: DatabaseWatch): void {
    const known = this.#parts.recordOf(database)
    if (known !== null) watch.receive({ kind: 'record', ...known })
  }

  #endOthers(kept: ReadonlySet<DatabaseId>): void {
    for (const [database, entry] of this.#entries) {
      if (kept.has(database)) continue
      entry.watch.close()
      this.#entries.delete(database)
    }
  }
}

/** Both lists hold plain data only. */
const isSame = (left: unknown, right: unknown): boolean =>
  JSON.stringify(left) === JSON.stringify(right)
