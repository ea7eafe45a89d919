/**
 * One service on this host: its servers, who leads, how fresh reads must be, and who may serve what.
 *
 * @internal
 */
import {
  addMilliseconds,
  isAtOrPast,
  milliseconds,
  type BackendServerId,
  type CustomerName,
  type LogPosition,
  type Milliseconds,
  type RegionId,
} from '@nutmegcourse/shared'
import type {
  BackendServerEntry,
  ReadGuarantee,
  ServiceConfiguration,
} from '@nutmegcourse/protocol'
import {
  FreshnessBounds,
  Leadership,
  SILENCE_LIMIT_MILLISECONDS,
  holdersOfServer,
  isReadyForRead,
  rankForRead,
  type ReadCandidate,
  type ReadNeed,
  type ServerDirectory,
} from '@nutmegcourse/state'
import { BackendServerState } from './backendServerState.js'
import type { HostContext } from './hostContext.js'
import { Signal } from './waiting.js'

/** How long a host keeps what it needs to serve in an owner's place after it last did. */
const STAND_IN_MILLISECONDS = 5000

/** A little longer than the longest time between two questions to a primary. */
const HEARD_LATELY_MILLISECONDS = 700

export class ServiceDesk {
  readonly name: string
  readonly bounds = new FreshnessBounds()
  /** Raised whenever a request that waits may find something new. */
  readonly changed = new Signal()
  readonly #context: HostContext
  readonly #directory: ServerDirectory
  #activeUntil = milliseconds(0)
  /** Hosts that hold connections to this service's servers. */
  holders = 1
  /** The same by region. */
  holdersByRegion: ReadonlyMap<RegionId, number> = new Map()
  /** When a replica was last seen to have received more. */
  logGrewAt: Milliseconds = milliseconds(Number.NEGATIVE_INFINITY)
  #newestSeen: LogPosition | null = null
  /** When another host last ran something at a primary that this one does not reach. */
  reachedThroughOthersAt: Milliseconds = milliseconds(Number.NEGATIVE_INFINITY)
  /** This host is one of them. */
  isOwned = true
  /** This host says whether the primary lives when another one finds it silent. */
  isObserved = true
  readonly #leadership = new Leadership()
  readonly #servers = new Map<BackendServerId, BackendServerState>()
  #configuration: ServiceConfiguration

  constructor(
    context: HostContext,
    directory: ServerDirectory,
    configuration: ServiceConfiguration,
  ) {
    this.#context = context
    this.#directory = directory
    this.#configuration = configuration
    this.name = configuration.name
  }

  /** Whether this host works with the service's servers: it owns it, or serves in an owner's place. */
  isActive(now: Milliseconds): boolean {
    return this.isOwned || now < this.#activeUntil
  }

  /** Another host, or this one's own callers, have work for it that no owner takes. */
  standIn(now: Milliseconds): void {
    this.#activeUntil = addMilliseconds(now, STAND_IN_MILLISECONDS)
  }

  get configuration(): ServiceConfiguration {
    return this.#configuration
  }

  set configuration(configuration: ServiceConfiguration) {
    this.#configuration = configuration
    for (const server of this.#servers.values()) {
      server.pool.connectionLimit = configuration.connectionLimit
    }
  }

  get servers(): readonly BackendServerState[] {
    return [...this.#servers.values()]
  }

  server(id: BackendServerId): BackendServerState | undefined {
    return this.#servers.get(id)
  }

  /** Who is taken for the primary, whether or not it may be given work. */
  get primary(): BackendServerState | null {
    const { primary } = this.#leadership
    return primary === null ? null : (this.#servers.get(primary) ?? null)
  }

  /** The primary, if writes may be sent there now. */
  writablePrimary(now: Milliseconds): BackendServerState | null {
    const { primary } = this
    if (primary === null || !this.#directory.mayTakeWork(primary.entry.server, now)) return null
    return primary
  }

  /** Whether the primary is known and has not been silent to this host. */
  reachesPrimary(now: Milliseconds): boolean {
    const primary = this.writablePrimary(now)
    if (primary === null || primary.pool.refusals > 0) return false
    return primary.silentFor(now) <= SILENCE_LIMIT_MILLISECONDS
  }

  /** Whether the primary gave this host a sign of life just now. Not to find it silent is not enough. */
  hasHeardPrimary(now: Milliseconds): boolean {
    const primary = this.writablePrimary(now)
    return primary !== null && now - primary.heardAt <= HEARD_LATELY_MILLISECONDS
  }

  /** Whether requests wait here because no primary is known, which the store's next change may name. */
  isAwaitingPrimary(now: Milliseconds): boolean {
    return this.changed.isAwaited && this.writablePrimary(now) === null
  }

  appeared(entry: BackendServerEntry, now: Milliseconds): void {
    this.#servers.get(entry.server)?.close()
    this.#leadership.forget(entry.server)
    const limit = this.#configuration.connectionLimit
    const holders = (): number => this.#holdersOf(entry.server)
    this.#servers.set(entry.server, new BackendServerState(this.#context, entry, limit, holders))
    if (entry.role === 'primary') this.#leads(entry.server, now, 'entry')
    this.changed.raise()
  }

  changedEntry(entry: BackendServerEntry, before: BackendServerEntry, now: Milliseconds): void {
    const server = this.#servers.get(entry.server)
    if (server === undefined) {
      this.appeared(entry, now)
      return
    }
    server.entry = entry
    if (entry.role !== before.role) {
      if (entry.role === 'primary') this.#leads(entry.server, now, 'entry')
      else this.refusedToLead(entry.server, now, 'entry')
    }
    this.changed.raise()
  }

  removed(id: BackendServerId): void {
    this.#servers.get(id)?.close()
    this.#servers.delete(id)
    this.#leadership.forget(id)
    this.changed.raise()
  }

  /** The server ran a statement, sent at `askedAt`, that only a primary runs. */
  provedToLead(id: BackendServerId, askedAt: Milliseconds, position: LogPosition | null): void {
    this.#leads(id, askedAt, 'answer')
    if (position === null) return
    this.bounds.note(askedAt, position)
    this.changed.raise()
  }

  /** A change of primary ended with this server. */
  toldToLead(id: BackendServerId, now: Milliseconds): void {
    this.#leads(id, now, 'change')
    this.changed.raise()
  }

  refusedToLead(id: BackendServerId, askedAt: Milliseconds, source: string): void {
    if (!this.#leadership.refused(id, askedAt)) return
    this.#logPrimary(source)
    this.#servers.get(id)?.pool.withdrawWaiting('withdrawn')
    this.changed.raise()
  }

  /**
   * A replica's log ended here. While it grows, its primary serves somebody, though this host may
   * have lost sight of it.
   */
  sawLog(id: BackendServerId, position: LogPosition | null, now: Milliseconds): void {
    if (position === null || id === this.#leadership.primary) return
    const newest = this.#newestSeen
    if (newest !== null && isAtOrPast(newest, position)) return
    this.#newestSeen = position
    if (newest !== null) this.logGrewAt = now
  }

  need(guarantee: ReadGuarantee, own: LogPosition | null, now: Milliseconds): ReadNeed {
    return this.bounds.need(guarantee, own, now)
  }

  /**
   * Among how many hosts a server's connections are divided. Where each customer has its own, they are too few to
   * leave parts of them to hosts that hardly use the server.
   */
  #holdersOf(id: BackendServerId): number {
    const server = this.#servers.get(id)
    const { settings } = this.#context
    if (server === undefined || !settings.requiresKeys || !this.isOwned) return this.holders
    const region = settings.regions.get(server.entry.zone)
    const nearServer = region === undefined ? 0 : (this.holdersByRegion.get(region) ?? 0)
    return holdersOfServer({
      nearServer,
      farFromServer: Math.max(0, this.holders - nearServer),
      isNear: region === settings.region,
      isPrimary: server === this.primary,
    })
  }

  /** The best server for a read that any may serve whose log is far enough; null when none is left. */
  chooseReader(
    need: LogPosition | null,
    excluded: ReadonlySet<BackendServerId>,
    now: Milliseconds,
    customer: CustomerName | null,
  ): BackendServerState | null {
    return this.#best(this.#candidates(need, excluded, now, customer))
  }

  /** The best server that could serve such a read now, by all that is known of it; null for none. */
  chooseReadyReader(
    need: LogPosition | null,
    excluded: ReadonlySet<BackendServerId>,
    now: Milliseconds,
    customer: CustomerName | null,
  ): BackendServerState | null {
    return this.#best(this.#candidates(need, excluded, now, customer).filter(isReadyForRead))
  }

  #best(candidates: readonly ReadCandidate[]): BackendServerState | null {
    const [best] = rankForRead(candidates)
    return best === undefined ? null : (this.#servers.get(best) ?? null)
  }

  #candidates(
    need: LogPosition | null,
    excluded: ReadonlySet<BackendServerId>,
    now: Milliseconds,
    customer: CustomerName | null,
  ): ReadCandidate[] {
    const candidates: ReadCandidate[] = []
    const { primary } = this
    for (const server of this.#servers.values()) {
      const { entry, pool } = server
      if (excluded.has(entry.server)) continue
      const known = this.#directory.get(entry.server)
      if (known === undefined || !this.#directory.mayTakeWork(entry.server, now)) continue
      candidates.push({
        server: entry.server,
        isPrimary: server === primary,
        stays: known.leavingSince === null && known.goneSince === null && pool.refusals === 0,
        isBehind: need !== null && server.progress.expectsBehind(need, now),
        silentMilliseconds: server.silentFor(now),
        expectedMilliseconds: server.expectedMilliseconds(customer, now),
        inFlight: pool.busy + pool.waiting,
        slots: entry.slots,
      })
    }
    return candidates
  }

  close(): void {
    for (const server of this.#servers.values()) server.close()
  }

  #leads(id: BackendServerId, asOf: Milliseconds, source: string): void {
    const before = this.#leadership.primary
    if (!this.#leadership.leads(id, asOf)) return
    this.#logPrimary(source)
    if (before !== null) this.#servers.get(before)?.pool.withdrawWaiting('withdrawn')
    this.changed.raise()
  }

  #logPrimary(source: string): void {
    this.#context.log.write('primary_believed', {
      service: this.name,
      primary: this.#leadership.primary,
      source,
    })
  }
}
