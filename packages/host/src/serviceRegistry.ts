/**
 * Registry of the fleet's services as read from the store: the configuration, the backend servers, and for each
 * service its state, its probe and its failover controller.
 *
 * @internal
 */
import {
  changeKey,
  hostKey,
  membersKey,
  readHostRecord,
  readRecordName,
  unfinishedKey,
} from '@nutmegcourse/coordination'
import type { CustomerName, KeyDigest, Milliseconds } from '@nutmegcourse/shared'
import {
  eraOf,
  type DirectoryChange,
  type FleetConfiguration,
  type OperationLimit,
  type PromotionPort,
  type Route,
  type StoreLink,
} from '@nutmegcourse/protocol'
import { SILENCE_LIMIT_MILLISECONDS, ServerDirectory, type ServerChange } from '@nutmegcourse/state'
import type { CallerIdentity, RouteLookup } from './routeLookup.js'
import { isUrgent, type ServiceInterest } from './changeUrgency.js'
import { ConfigurationHolder } from './configurationHolder.js'
import type { RelayedOrderAnswer, RelayedOrderRequest } from './groupPeers.js'
import type { HostContext } from './hostContext.js'
import type { HostFleet } from './hostFleet.js'
import type { OwnRecordReader, StoredRecord } from './hostRegistration.js'
import type { ChangeFeedServer } from './changeFeedServer.js'
import { FailoverController } from './failoverController.js'
import { MemberRecorder } from './memberRecorder.js'
import { LimitsInForce } from './limitsInForce.js'
import { PrimaryProbe } from './primaryProbe.js'
import { ServerListing, type ListingSource } from './serverListing.js'
import { ServiceState } from './serviceState.js'
import { stackOf } from './stackOf.js'
import type { StoreListener } from './storeFollower.js'
import { Signal } from './waiting.js'

interface ServiceComponents {
  readonly service: ServiceState
  readonly probe: PrimaryProbe
  readonly failover: FailoverController
  readonly members: MemberRecorder
}

export interface ServiceRegistryPorts {
  readonly store: StoreLink
  readonly promotion: PromotionPort
}

/** State of the host that a tick depends on. */
export interface TickConditions {
  /** The last tick was so long ago that the process must have been stalled. */
  readonly wasStalled: boolean
  readonly isStopping: boolean
}

const ANYONE: CallerIdentity = { kind: 'anyone' }
const UNKNOWN: CallerIdentity = { kind: 'unknown' }

export class ServiceRegistry implements StoreListener, OwnRecordReader {
  readonly #context: HostContext
  readonly #ports: ServiceRegistryPorts
  readonly #fleet: HostFleet
  readonly #changeFeed: ChangeFeedServer
  readonly #directory: ServerDirectory
  readonly #configuration = new ConfigurationHolder()
  readonly #limits: LimitsInForce
  readonly #components = new Map<string, ServiceComponents>()
  readonly #listReceived = new Signal()
  readonly #listing = new ServerListing()
  /** Called when the store was restored from an older copy. */
  readonly #onRestored: () => void
  /** The newest era of the store in which a record was received. */
  #era = 0
  #isListed = false
  #ownRecord: StoredRecord | null = null

  constructor(
    context: HostContext,
    ports: ServiceRegistryPorts,
    fleet: HostFleet,
    changeFeed: ChangeFeedServer,
    onRestored: () => void,
  ) {
    this.#context = context
    this.#limits = new LimitsInForce(context)
    this.#ports = ports
    this.#fleet = fleet
    this.#changeFeed = changeFeed
    this.#onRestored = onRestored
    const { drainMilliseconds, isFirstStart } = context.settings
    this.#directory = new ServerDirectory(drainMilliseconds, isFirstStart)
  }

  /** Whether statements can be routed: there is a configuration, and each service has a backend server. */
  get isServable(): boolean {
    if (this.#configuration.current === null) return false
    return [...this.#components.values()].every(({ service }) => service.servers.length > 0)
  }

  get hasConfiguration(): boolean {
    return this.#configuration.current !== null
  }

  get idleTransactionMilliseconds(): number {
    return this.#configuration.current?.idleTransactionMilliseconds ?? Number.POSITIVE_INFINITY
  }

  /** The longest statement timeout of all routes. */
  get longestStatementMilliseconds(): number {
    const routes = this.#configuration.current?.routes ?? []
    return Math.max(0, ...routes.map(route => route.statementTimeoutMilliseconds))
  }

  /** Whether this host is changing the primary of some service. */
  get isChanging(): boolean {
    return [...this.#components.values()].some(({ failover }) => failover.isChanging)
  }

  /** Whether an answer of a server is outstanding, its connections are refused, or a primary is being changed. */
  get hasPendingWork(): boolean {
    if (this.isChanging) return true
    return this.#services().some(({ servers }) =>
      servers.some(({ owesAnswer, pool }) => owesAnswer || pool.refusals > 0),
    )
  }

  /** Number of servers that this host leaves out because they fail. */
  get ejectedServers(): number {
    return this.#services().reduce((sum, { outliers }) => sum + outliers.ejectedCount, 0)
  }

  get isListed(): boolean {
    return this.#isListed
  }

  get ownRecord(): StoredRecord | null {
    return this.#ownRecord
  }

  async whenListed(span: number): Promise<void> {
    if (!this.#isListed) await this.#listReceived.wait(span)
  }

  whenConfigured(span: number): Promise<void> {
    return this.#configuration.whenConfigured(span)
  }

  find(database: string): ReturnType<RouteLookup['find']> {
    const route = this.#configuration.route(database)
    const service = route === null ? undefined : this.service(route.service)
    return route === null || service === undefined ? null : { route, service }
  }

  identify(route: Route, key: KeyDigest): CallerIdentity {
    if (!this.#context.settings.requiresKeys || route.isPublic) return ANYONE
    const customer = this.#configuration.customers.customerOf(key)
    return customer === null ? UNKNOWN : { kind: 'customer', customer }
  }

  limitOf(customer: CustomerName): OperationLimit | null {
    return this.#limits.of(this.#configuration.customers.limitOf(customer))
  }

  async orderServer({ service, server, order }: RelayedOrderRequest): Promise<RelayedOrderAnswer> {
    const failover = this.#components.get(service)?.failover
    return { report: (await failover?.orderForPeer(server, order)) ?? null }
  }

  get services(): readonly ServiceState[] {
    return this.#services()
  }

  routesOf({ name }: ServiceState): readonly Route[] {
    return this.#configuration.current?.routes.filter(({ service }) => service === name) ?? []
  }

  service(name: string): ServiceState | undefined {
    return this.#components.get(name)?.service
  }

  /** A server that joins during a change of primary has to be paused at once. */
  get isAwaited(): boolean {
    if (this.#changeFeed.isAwaited || this.isChanging) return true
    const now = this.#context.clock.now()
    return this.#services().some(service => service.isAwaitingPrimary(now))
  }

  isUrgent(change: DirectoryChange): boolean {
    return isUrgent(change, this.#interest)
  }

  tick(now: Milliseconds, { wasStalled, isStopping }: TickConditions): void {
    const expired = this.#directory.expire(now)
    for (const serverChange of expired) this.#applyServerChange(serverChange, now)
    if (expired.length > 0) this.planOwners()
    for (const { service, probe, failover, members } of this.#components.values()) {
      const isActive = service.isActive(now)
      service.outliers.tick(now, wasStalled)
      for (const server of service.servers) {
        // Answers to requests from before a stall arrived while the process could not read them.
        if (wasStalled) server.discardProbes()
        server.writes.noteTick(now)
        server.probeIfSilent(now)
        const keepWarm = isActive && this.#directory.mayTakeWork(server.entry.server, now)
        server.pool.tick(now, keepWarm)
        server.gate?.tick(server.silentMilliseconds(now) > SILENCE_LIMIT_MILLISECONDS)
      }
      if (isActive) probe.tick(now)
      if (isStopping || !service.isObserver) continue
      failover.tick(now)
      const isSynchronous = service.configuration.synchronousReplicas > 0
      if (isSynchronous && this.#directory.isComplete(now)) members.tick(now, this.#era)
    }
  }

  close(): void {
    for (const service of this.#services()) service.close()
  }

  takeList(changes: readonly DirectoryChange[], since: Milliseconds, isRestored: boolean): void {
    const now = this.#context.clock.now()
    if (isRestored) this.#storeRestored(now)
    this.#ownRecord = this.#findOwnRecord(changes)
    this.#isListed = true
    this.#listing.recordList(now)
    this.#listReceived.raise()
    const listed = new Set(
      changes.flatMap(change => (change.kind === 'server' ? [change.entry.server] : [])),
    )
    const records = new Set(
      changes.flatMap(change => (change.kind === 'record' ? [change.key] : [])),
    )
    const source = isRestored ? 'restoredList' : 'list'
    for (const change of configurationFirst(changes)) this.#tryChange(change, since, source)
    for (const serverChange of this.#directory.keepOnly(listed, now))
      this.#applyServerChange(serverChange, now)
    const isHostListed = (host: string): boolean => records.has(hostKey(host))
    if (isRestored) this.#fleet.awaitReRegistration(isHostListed, now)
    else this.#fleet.keepOnly(isHostListed)
    this.#fleet.plan(this.#services())
    for (const [name, { failover, members }] of this.#components) {
      if (!records.has(membersKey(name))) members.receive(null, 0)
      if (!records.has(changeKey(name))) failover.receiveChangeRecord(null, 0)
      if (!records.has(unfinishedKey(name))) failover.receiveUnfinishedRecord(null, 0)
    }
  }

  /** Claims made after the copy are missing from the store, while their holders may still act on them. */
  #storeRestored(now: Milliseconds): void {
    for (const { failover } of this.#components.values()) failover.storeRestored(now)
    this.#onRestored()
  }

  takeChanges(changes: readonly DirectoryChange[], since: Milliseconds): void {
    for (const change of changes) this.#tryChange(change, since, 'change')
    this.planOwners()
  }

  planOwners(): void {
    this.#fleet.plan(this.#services())
  }

  #findOwnRecord(changes: readonly DirectoryChange[]): StoredRecord | null {
    const key = hostKey(this.#context.settings.entryHost)
    for (const change of changes) {
      if (change.kind !== 'record' || change.key !== key || change.value === null) continue
      return { value: change.value, lease: change.lease }
    }
    return null
  }

  /** A change that cannot be applied must not keep the others from being applied, or the host from following on. */
  #tryChange(change: DirectoryChange, since: Milliseconds, source: ListingSource): void {
    try {
      this.#applyChange(change, since, source)
    } catch (error) {
      const detail = stackOf(error)
      this.#context.log.write('change_failed', { key: subjectOf(change), detail })
    }
  }

  #applyChange(change: DirectoryChange, since: Milliseconds, source: ListingSource): void {
    const now = this.#context.clock.now()
    switch (change.kind) {
      case 'configuration':
        this.#configure(change.configuration)
        for (const skipped of change.skippedRoutes ?? [])
          this.#context.log.write('route_unreadable', {
            version: change.configuration.version,
            ...skipped,
          })
        for (const detail of change.skippedEntries ?? [])
          this.#context.log.write('entry_unreadable', { key: subjectOf(change), detail })
        return
      case 'server': {
        this.#listing.recordEntry(change.entry.server, source, now)
        const serverChange =
          source === 'restoredList'
            ? this.#directory.upsertRestored(change.entry, since)
            : this.#directory.upsert(change.entry, since)
        if (serverChange !== null) this.#applyServerChange(serverChange, now)
        return
      }
      case 'serverGone': {
        const serverChange = this.#directory.unlist(change.server, now)
        if (serverChange !== null) this.#applyServerChange(serverChange, now)
        return
      }
      case 'record':
        this.#applyRecord(change.key, change.value, change.revision)
        return
      case 'unreadable':
        if (change.isConfiguration === true) this.#context.knowledge.configurationUnreadable()
        this.#context.log.write('entry_unreadable', { key: change.key, detail: change.detail })
    }
  }

  #configure(configuration: FleetConfiguration): void {
    const { knowledge, log } = this.#context
    const before = this.#configuration.current?.version ?? null
    const { version, routes, services, customers } = configuration
    if (!this.#configuration.replace(configuration)) {
      if (version !== before)
        log.write('configuration_passed_over', { ...knowledge.describe(), received: version })
      return
    }
    knowledge.configured(version)
    log.write('configuration_taken', { ...knowledge.describe(), before, routes: routes.length })
    this.#limits.check(customers)
    for (const service of services) this.#configureService(service)
    this.#fleet.servicesChanged()
    for (const [name, { probe }] of this.#components) {
      probe.guarantees = routes.filter(route => route.service === name).map(each => each.guarantee)
    }
  }

  #configureService(configuration: FleetConfiguration['services'][number]): void {
    const known = this.#components.get(configuration.name)
    if (known !== undefined) {
      known.service.configuration = configuration
      return
    }
    const service = new ServiceState(this.#context, this.#directory, configuration)
    service.listing = this.#listing
    service.weightOf = customer => this.#configuration.customers.weightOf(customer)
    const { store, promotion } = this.#ports
    const failover = new FailoverController(
      this.#context,
      service,
      this.#directory,
      store,
      promotion,
      {
        observers: () => this.#fleet.observersOf(configuration.name),
        peers: () => this.#fleet.observingPeers(configuration.name),
      },
    )
    const probe = new PrimaryProbe(this.#context, service)
    const members = new MemberRecorder({
      context: this.#context,
      service: configuration.name,
      directory: this.#directory,
      store,
      rank: () => failover.rank,
    })
    this.#components.set(configuration.name, { service, probe, failover, members })
    const now = this.#context.clock.now()
    for (const { entry } of this.#directory.ofService(configuration.name))
      service.addServer(entry, now)
  }

  readonly #interest: ServiceInterest = {
    worksWith: name => {
      // Hosts that work with the service may read the change feed of this one.
      if (this.#changeFeed.hasReaders) return true
      const known = this.#components.get(name)?.service
      return known !== undefined && (known.isObserver || known.isActive(this.#context.clock.now()))
    },
    serviceOf: server => this.#directory.get(server)?.entry.service ?? null,
  }

  #services(): ServiceState[] {
    return [...this.#components.values()].map(({ service }) => service)
  }

  #applyServerChange(serverChange: ServerChange, now: Milliseconds): void {
    const { entry } = serverChange
    this.#context.log.write(`server_${serverChange.kind}`, {
      server: entry.server,
      service: entry.service,
      role: entry.role,
      zone: entry.zone,
      isLeaving: entry.isLeaving,
      address: `${entry.host}:${String(entry.port)}`,
    })
    const service = this.#components.get(entry.service)?.service
    switch (serverChange.kind) {
      case 'appeared':
        this.#directory.noteAppeared(entry, now)
        service?.addServer(entry, now)
        this.#fleet.serversChanged()
        return
      case 'changed':
        service?.updateServer(entry, serverChange.before, now)
        return
      case 'unlisted':
        service?.changed.raise()
        return
      case 'removed':
        this.#listing.recordRemoval(entry.server, entry.service, now)
        service?.removeServer(entry.server)
        this.#fleet.serversChanged()
    }
  }

  #applyRecord(key: string, value: string | null, revision: number): void {
    this.#era = Math.max(this.#era, eraOf(revision))
    const name = readRecordName(key)
    switch (name?.kind) {
      case 'change':
        this.#components.get(name.service)?.failover.receiveChangeRecord(value, revision)
        return
      case 'unfinished': {
        const known = this.#components.get(name.service)?.failover
        known?.receiveUnfinishedRecord(value, value === null ? 0 : revision)
        return
      }
      case 'members':
        this.#components.get(name.service)?.members.receive(value, value === null ? 0 : revision)
        return
      case 'suspicion':
        if (name.host === this.#context.settings.entryHost) return
        this.#components.get(name.service)?.failover.receiveSuspicion(name.host, value)
        return
      case 'host': {
        const record = value === null ? null : readHostRecord(value)
        this.#fleet.receiveHostRecord(name.host, record)
        return
      }
      case undefined:
    }
  }
}

function subjectOf(change: DirectoryChange): string {
  switch (change.kind) {
    case 'configuration':
      return `version ${String(change.configuration.version)}`
    case 'server':
      return change.entry.server
    case 'serverGone':
      return change.server
    case 'record':
    case 'unreadable':
      return change.key
  }
}

/** Records of a service can only be taken once it is configured, and a list names them first. */
const configurationFirst = (changes: readonly DirectoryChange[]): readonly DirectoryChange[] => [
  ...changes.filter(({ kind }) => kind === 'configuration'),
  ...changes.filter(({ kind }) => kind !== 'configuration'),
]
