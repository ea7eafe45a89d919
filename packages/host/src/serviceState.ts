/**
 * One service as this host knows it: its servers, the believed primary, and the freshness bounds of reads.
 *
 * @internal
 */
import { ReceivedBound } from '@nutmegcourse/coordination'
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
  connectionDivisor,
  type ConnectionPart,
  type ReadRequirement,
  type ServerDirectory,
} from '@nutmegcourse/state'
import { BackendServerState } from './backendServerState.js'
import { describeGroup, type LoggedServer, type PrimaryEvidence } from './groupKnowledge.js'
import type { HostContext } from './hostContext.js'
import { PrimaryPositions } from './primaryPositions.js'
import { describeAhead } from './promotionWatch.js'
import { ReaderChoice } from './readerChoice.js'
import { ServerListing } from './serverListing.js'
import { ServiceOutliers } from './serviceOutliers.js'
import { regionOf } from './serviceRegions.js'
import { Signal } from './waiting.js'

/** How long a host stays active for a service that it does not own after it last served it in place of an owner. */
const STAND_IN_PERIOD_MILLISECONDS = 5000

/** Slightly longer than the longest interval between two probes of a primary. */
const RECENTLY_HEARD_MILLISECONDS = 700

export class ServiceState {
  readonly name: string
  readonly bounds = new FreshnessBounds()
  readonly outliers: ServiceOutliers
  readonly readers: ReaderChoice
  /** Raised on every change that a waiting request may depend on. */
  readonly changed = new Signal()
  readonly #context: HostContext
  readonly #directory: ServerDirectory
  #standInUntil = milliseconds(0)
  /** Number of hosts among which the connections to this service's servers are divided. */
  holderCount = 1
  /** Number of the service's owners by region. */
  holderCountByRegion: ReadonlyMap<RegionId, number> = new Map()
  /** This host's part of the connections to the servers of a region, where dispatchers are planned; otherwise null. */
  dispatchedPart: ((serverRegion: string) => ConnectionPart) | null = null
  /** When this host last accepted a statement from another one. */
  lastServedForOthersAt: Milliseconds = milliseconds(Number.NEGATIVE_INFINITY)
  /** When a replica was last seen to have received more of the log. */
  lastReplicaProgressAt: Milliseconds = milliseconds(Number.NEGATIVE_INFINITY)
  #newestReplicaPosition: LogPosition | null = null
  /** When another host last answered a statement relayed by this one. */
  lastRelayedAnswerAt: Milliseconds = milliseconds(Number.NEGATIVE_INFINITY)
  /** A customer's share of a contended server relative to other customers. */
  weightOf: (customer: CustomerName) => number = () => 1
  /** Whether this host is an owner of the service, or is not registered yet and therefore connects by itself. */
  isOwned = true
  /** Whether this host gives its opinion on the primary's liveness when another host suspects it. */
  isObserver = true
  /** How this host learned of its servers; shared by all services. */
  listing = new ServerListing()
  readonly #leadership = new Leadership()
  #primaryEvidence: PrimaryEvidence | null = null
  readonly #positions = new PrimaryPositions()
  /** What any replica was seen to have received. */
  readonly received = new ReceivedBound()
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
    this.outliers = new ServiceOutliers(
      context,
      this.name,
      now => [...this.#servers.keys()].filter(server => directory.mayTakeWork(server, now)),
      server => {
        this.#withdrawReads(server)
      },
    )
    this.readers = new ReaderChoice(this, directory, this.outliers)
  }

  /** Whether this host uses the service's servers: it owns the service, or serves in place of an owner. */
  isActive(now: Milliseconds): boolean {
    return this.isOwned || now < this.#standInUntil
  }

  /** Makes this host serve requests of other hosts or of its own callers that no owner accepts. */
  standIn(now: Milliseconds): void {
    this.#standInUntil = addMilliseconds(now, STAND_IN_PERIOD_MILLISECONDS)
  }

  /** Whether the slots of its servers are scheduled by class and customer. */
  get schedulesSlots(): boolean {
    return this.#context.settings.schedulesSlots
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

  /** The believed primary, whether or not it may be given work. */
  get primary(): BackendServerState | null {
    const { primary } = this.#leadership
    return primary === null ? null : (this.#servers.get(primary) ?? null)
  }

  /** Null without a believed primary. */
  get primaryEvidence(): PrimaryEvidence | null {
    return this.#leadership.primary === null ? null : this.#primaryEvidence
  }

  describeGroup(now: Milliseconds): LoggedServer[] {
    return describeGroup(this.name, this.#directory.ofService(this.name), this.listing, now)
  }

  /** The believed primary, if writes may be sent to it now. */
  writablePrimary(now: Milliseconds): BackendServerState | null {
    const { primary } = this
    if (primary === null || !this.#directory.mayTakeWork(primary.entry.server, now)) return null
    return primary
  }

  /** Whether the primary is known, accepts connections and answers this host within the silence limit. */
  reachesPrimary(now: Milliseconds): boolean {
    const primary = this.writablePrimary(now)
    return primary !== null && !primary.isOutOfReach(now)
  }

  /**
   * Whether this host received anything from the primary recently. It is not enough that the primary owes no answer:
   * it is then not silent, but may still be dead.
   */
  heardPrimaryRecently(now: Milliseconds): boolean {
    const primary = this.writablePrimary(now)
    return primary !== null && now - primary.lastHeardAt <= RECENTLY_HEARD_MILLISECONDS
  }

  /** Whether requests wait while there is no writable primary; the next change of the store may name it. */
  isAwaitingPrimary(now: Milliseconds): boolean {
    return this.changed.isAwaited && this.writablePrimary(now) === null
  }

  addServer(entry: BackendServerEntry, now: Milliseconds): void {
    this.#servers.get(entry.server)?.close()
    this.outliers.forget(entry.server)
    this.#leadership.forget(entry.server)
    const limit = this.#configuration.connectionLimit
    const part = (): ConnectionPart => this.#partOf(entry.server)
    this.#servers.set(entry.server, new BackendServerState(this.#context, entry, limit, part))
    if (entry.role === 'primary') this.#acceptPrimary(entry.server, now, 'entry')
    this.changed.raise()
  }

  updateServer(entry: BackendServerEntry, before: BackendServerEntry, now: Milliseconds): void {
    const server = this.#servers.get(entry.server)
    if (server === undefined) {
      this.addServer(entry, now)
      return
    }
    server.entry = entry
    if (entry.role !== before.role) {
      if (entry.role === 'primary') this.#acceptPrimary(entry.server, now, 'entry')
      else this.recordNotPrimary(entry.server, now, 'entry')
    }
    this.changed.raise()
  }

  removeServer(id: BackendServerId): void {
    this.#servers.get(id)?.close()
    this.#servers.delete(id)
    this.outliers.forget(id)
    this.#leadership.forget(id)
    this.changed.raise()
  }

  /** Records that the server ran a statement, sent at `askedAt`, that only a primary runs. */
  recordPrimary(id: BackendServerId, askedAt: Milliseconds, position: LogPosition | null): void {
    this.#acceptPrimary(id, askedAt, 'answer')
    if (position === null) return
    this.received.recordPrimary(id, position.term)
    this.#comparePositions(id, position)
    this.#directory.notePrimaryPosition(this.name, position, askedAt)
    this.bounds.add(askedAt, position)
    this.changed.raise()
  }

  /** Whether the server ran a statement, sent after `since`, that only a primary runs. */
  hasLedSince(id: BackendServerId, since: Milliseconds): boolean {
    return this.#leadership.primary === id && this.#leadership.leadsAsOf(id) > since
  }

  /** Records that a change of primary completed with this server as the new one. */
  recordPromotion(id: BackendServerId, now: Milliseconds): void {
    this.#directory.notePromotion(this.name)
    this.#acceptPrimary(id, now, 'change')
    this.changed.raise()
  }

  /** Records that the server, asked at `askedAt`, is not the primary; requests that wait for it are redirected. */
  recordNotPrimary(id: BackendServerId, askedAt: Milliseconds, source: string): void {
    if (!this.#leadership.noteNotLeading(id, askedAt)) return
    this.#logPrimary(source)
    this.#servers.get(id)?.withdrawWaiting()
    this.changed.raise()
  }

  /**
   * Records the end of a replica's log. While that grows, the primary serves writes, although this host may not reach
   * it.
   */
  recordReplicaPosition(
    id: BackendServerId,
    position: LogPosition | null,
    now: Milliseconds,
  ): void {
    if (position === null || id === this.#leadership.primary) return
    this.#positions.recordReplica(id, position)
    this.received.recordReplica(id, position)
    const newest = this.#newestReplicaPosition
    if (newest !== null && isAtOrPast(newest, position)) return
    this.#newestReplicaPosition = position
    if (newest !== null) this.lastReplicaProgressAt = now
  }

  need(guarantee: ReadGuarantee, own: LogPosition | null, now: Milliseconds): ReadRequirement {
    return this.bounds.requirementFor(guarantee, own, now)
  }

  /** What waits for a slot of a replica that is left out looks for another server; the primary keeps its work. */
  #withdrawReads(id: BackendServerId): void {
    if (id !== this.#leadership.primary) this.#servers.get(id)?.gate?.withdrawWaiting()
  }

  #partOf(id: BackendServerId): ConnectionPart {
    const server = this.#servers.get(id)
    const region = server === undefined ? null : regionOf(server, this.#context.settings)
    if (this.dispatchedPart !== null && this.isOwned && region !== null) {
      return this.dispatchedPart(region)
    }
    return { kind: 'holder', hosts: this.#holdersOf(id) }
  }

  /**
   * Number of hosts among which a server's connections are divided. Where each customer needs connections of its own,
   * there are too few of them to reserve shares for hosts that hardly use the server.
   */
  #holdersOf(id: BackendServerId): number {
    const server = this.#servers.get(id)
    const { settings } = this.#context
    if (server === undefined || !settings.requiresKeys || !this.isOwned) return this.holderCount
    const region = settings.regions.get(server.entry.zone)
    const nearServer = region === undefined ? 0 : (this.holderCountByRegion.get(region) ?? 0)
    return connectionDivisor({
      nearServer,
      farFromServer: Math.max(0, this.holderCount - nearServer),
      isNear: region === settings.region,
      isPrimary: server === this.primary,
    })
  }

  close(): void {
    for (const server of this.#servers.values()) server.close()
  }

  #acceptPrimary(id: BackendServerId, observedAt: Milliseconds, source: string): void {
    const before = this.#leadership.primary
    const isNew = this.#leadership.noteLeading(id, observedAt)
    if (id === this.#leadership.primary) this.#recordEvidence(source, observedAt, isNew)
    if (!isNew) return
    this.#logPrimary(source)
    if (before !== null) this.#servers.get(before)?.withdrawWaiting()
    this.changed.raise()
  }

  /** Answers of a server that no longer leads may arrive late; they are not those of a new primary. */
  #comparePositions(id: BackendServerId, position: LogPosition): void {
    if (id !== this.#leadership.primary) return
    const ahead = this.#positions.recordPrimary(id, position)
    if (ahead.length === 0) return
    this.#context.log.write('promoted_log_behind', {
      service: this.name,
      token: null,
      reason: ahead.some(({ mayHaveLed }) => !mayHaveLed) ? 'replicaAnswer' : 'primaryAnswer',
      server: id,
      term: position.term,
      position,
      ahead: describeAhead(ahead),
    })
  }

  #recordEvidence(source: string, at: Milliseconds, isNew: boolean): void {
    const last = this.#primaryEvidence
    if (isNew || last === null || at >= last.at) this.#primaryEvidence = { source, at }
  }

  #logPrimary(source: string): void {
    this.#context.log.write('primary_believed', {
      service: this.name,
      primary: this.#leadership.primary,
      source,
    })
  }
}
