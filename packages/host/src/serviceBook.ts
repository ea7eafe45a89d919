/**
 * What this host knows of the fleet's services, as the store tells it: the configuration, the backend
 * servers, and for each service the desk, probe and keeper that work with it.
 *
 * @internal
 */
import { changeKey, hostKey, readHostRecord, readRecordName } from '@nutmegcourse/coordination'
import type { CustomerName, KeyDigest, Milliseconds } from '@nutmegcourse/shared'
import type {
  DirectoryChange,
  FleetConfiguration,
  OperationLimit,
  PromotionPort,
  Route,
  StoreLink,
} from '@nutmegcourse/protocol'
import { ServerDirectory, type DirectoryNews } from '@nutmegcourse/state'
import type { CallerIdentity, RouteLookup } from './routeLookup.js'
import { isUrgent, type ServiceInterest } from './changeUrgency.js'
import { ConfigurationBook } from './configurationBook.js'
import type { HostContext } from './hostContext.js'
import type { HostFleet } from './hostFleet.js'
import type { OwnRecordReader, StandingRecord } from './hostRegistration.js'
import type { NewsDesk } from './newsDesk.js'
import { PrimaryKeeper } from './primaryKeeper.js'
import { PrimaryProbe } from './primaryProbe.js'
import { ServiceDesk } from './serviceDesk.js'
import type { StoreListener } from './storeFollower.js'
import { Signal } from './waiting.js'

interface ServiceParts {
  readonly desk: ServiceDesk
  readonly probe: PrimaryProbe
  readonly keeper: PrimaryKeeper
}

export interface ServiceBookPorts {
  readonly store: StoreLink
  readonly promotion: PromotionPort
}

/** What a tick has to know of the host. */
export interface TickSituation {
  /** No tick came for so long that only a standstill of the process explains it. */
  readonly wasStandingStill: boolean
  readonly isStopping: boolean
}

const ANYONE: CallerIdentity = { kind: 'anyone' }
const UNKNOWN: CallerIdentity = { kind: 'unknown' }

export class ServiceBook implements StoreListener, OwnRecordReader {
  readonly #context: HostContext
  readonly #ports: ServiceBookPorts
  readonly #fleet: HostFleet
  readonly #news: NewsDesk
  readonly #directory: ServerDirectory
  readonly #configuration = new ConfigurationBook()
  readonly #services = new Map<string, ServiceParts>()
  readonly #listed = new Signal()
  /** Hears that the store has come back from an older copy. */
  readonly #restored: () => void
  #isListed = false
  #ownRecord: StandingRecord | null = null

  constructor(
    context: HostContext,
    ports: ServiceBookPorts,
    fleet: HostFleet,
    news: NewsDesk,
    restored: () => void,
  ) {
    this.#context = context
    this.#ports = ports
    this.#fleet = fleet
    this.#news = news
    this.#restored = restored
    this.#directory = new ServerDirectory(context.settings.drainMilliseconds)
  }

  /** Whether it can tell where callers' work goes. */
  get isServable(): boolean {
    if (this.#configuration.current === null) return false
    return [...this.#services.values()].every(({ desk }) => desk.servers.length > 0)
  }

  get isKnown(): boolean {
    return this.#configuration.current !== null
  }

  get idleTransactionMilliseconds(): number {
    return this.#configuration.current?.idleTransactionMilliseconds ?? Number.POSITIVE_INFINITY
  }

  /** What the slowest route gives one statement. */
  get longestStatementMilliseconds(): number {
    const routes = this.#configuration.current?.routes ?? []
    return Math.max(0, ...routes.map(route => route.statementTimeoutMilliseconds))
  }

  /** Whether this host changes the primary of some service. */
  get isChanging(): boolean {
    return [...this.#services.values()].some(({ keeper }) => keeper.isChanging)
  }

  /** Whether a server owes an answer, or a primary changes. */
  get isOwedAnswers(): boolean {
    if (this.isChanging) return true
    return this.#desks().some(({ servers }) =>
      servers.some(({ owesAnswer, pool }) => owesAnswer || pool.refusals > 0),
    )
  }

  get isListed(): boolean {
    return this.#isListed
  }

  get ownRecord(): StandingRecord | null {
    return this.#ownRecord
  }

  async whenListed(span: number): Promise<void> {
    if (!this.#isListed) await this.#listed.wait(span)
  }

  whenKnown(span: number): Promise<void> {
    return this.#configuration.whenKnown(span)
  }

  find(database: string): ReturnType<RouteLookup['find']> {
    const route = this.#configuration.route(database)
    const desk = route === null ? undefined : this.desk(route.service)
    return route === null || desk === undefined ? null : { route, desk }
  }

  identify(route: Route, key: KeyDigest): CallerIdentity {
    if (!this.#context.settings.requiresKeys || route.isPublic) return ANYONE
    const customer = this.#configuration.customers.holderOf(key)
    return customer === null ? UNKNOWN : { kind: 'customer', customer }
  }

  limitOf(customer: CustomerName): OperationLimit | null {
    return this.#configuration.customers.limitOf(customer)
  }

  desk(service: string): ServiceDesk | undefined {
    return this.#services.get(service)?.desk
  }

  get isAwaited(): boolean {
    if (this.#news.isAwaited) return true
    const now = this.#context.clock.now()
    return this.#desks().some(desk => desk.isAwaitingPrimary(now))
  }

  isUrgent(change: DirectoryChange): boolean {
    return isUrgent(change, this.#interest)
  }

  tick(now: Milliseconds, { wasStandingStill, isStopping }: TickSituation): void {
    for (const news of this.#directory.expire(now)) this.#apply(news, now)
    for (const { desk, probe, keeper } of this.#services.values()) {
      const isActive = desk.isActive(now)
      for (const server of desk.servers) {
        // What was asked before a standstill was answered while nobody looked.
        if (wasStandingStill) server.forgetQuestions()
        server.writes.noteTick(now)
        server.watchLife(now)
        const keepWarm = isActive && this.#directory.mayTakeWork(server.entry.server, now)
        server.pool.tick(now, keepWarm)
      }
      if (isActive) probe.tick(now)
      if (!isStopping && desk.isObserved) keeper.tick(now)
    }
  }

  close(): void {
    for (const desk of this.#desks()) desk.close()
  }

  listed(changes: readonly DirectoryChange[], since: Milliseconds, isRestored: boolean): void {
    const now = this.#context.clock.now()
    if (isRestored) this.#noteRestored(now)
    this.#ownRecord = this.#findOwnRecord(changes)
    this.#isListed = true
    this.#listed.raise()
    const listed = new Set(
      changes.flatMap(change => (change.kind === 'server' ? [change.entry.server] : [])),
    )
    const records = new Set(
      changes.flatMap(change => (change.kind === 'record' ? [change.key] : [])),
    )
    for (const change of changes) this.#changed(change, since, isRestored)
    for (const news of this.#directory.keepOnly(listed, now)) this.#apply(news, now)
    const isHostListed = (host: string): boolean => records.has(hostKey(host))
    if (isRestored) this.#fleet.keepForReturn(isHostListed, now)
    else this.#fleet.keepOnly(isHostListed)
    this.#fleet.plan(this.#desks())
    for (const [service, { keeper }] of this.#services) {
      if (!records.has(changeKey(service))) keeper.heardChange(null, 0)
    }
  }

  /** Claims made since the copy are gone from the store, while their holders may still act on them. */
  #noteRestored(now: Milliseconds): void {
    for (const { keeper } of this.#services.values()) keeper.storeRestored(now)
    this.#restored()
  }

  heard(changes: readonly DirectoryChange[], since: Milliseconds): void {
    for (const change of changes) this.#changed(change, since)
    this.planOwners()
  }

  planOwners(): void {
    this.#fleet.plan(this.#desks())
  }

  #findOwnRecord(changes: readonly DirectoryChange[]): StandingRecord | null {
    const key = hostKey(this.#context.settings.entryHost)
    for (const change of changes) {
      if (change.kind !== 'record' || change.key !== key || change.value === null) continue
      return { value: change.value, lease: change.lease }
    }
    return null
  }

  #changed(change: DirectoryChange, since: Milliseconds, isRestored = false): void {
    const now = this.#context.clock.now()
    switch (change.kind) {
      case 'configuration':
        this.#configure(change.configuration)
        return
      case 'server': {
        const news = isRestored
          ? this.#directory.listRestored(change.entry, since)
          : this.#directory.list(change.entry, since)
        if (news !== null) this.#apply(news, now)
        return
      }
      case 'serverGone': {
        const news = this.#directory.unlist(change.server, now)
        if (news !== null) this.#apply(news, now)
        return
      }
      case 'record':
        this.#recordChanged(change.key, change.value, change.revision)
        return
      case 'unreadable':
        this.#context.log.write('entry_unreadable', { key: change.key, detail: change.detail })
    }
  }

  #configure(configuration: FleetConfiguration): void {
    if (!this.#configuration.take(configuration)) return
    const { version, routes, services } = configuration
    this.#context.log.write('configuration_taken', { version, routes: routes.length })
    for (const service of services) this.#configureService(service)
    this.#fleet.servicesChanged()
    for (const [name, { probe }] of this.#services) {
      probe.guarantees = routes.filter(route => route.service === name).map(each => each.guarantee)
    }
  }

  #configureService(service: FleetConfiguration['services'][number]): void {
    const known = this.#services.get(service.name)
    if (known !== undefined) {
      known.desk.configuration = service
      return
    }
    const desk = new ServiceDesk(this.#context, this.#directory, service)
    const { store, promotion } = this.#ports
    const keeper = new PrimaryKeeper(this.#context, desk, this.#directory, store, promotion, () =>
      this.#fleet.observersOf(service.name),
    )
    const probe = new PrimaryProbe(this.#context, desk)
    this.#services.set(service.name, { desk, probe, keeper })
    const now = this.#context.clock.now()
    for (const { entry } of this.#directory.ofService(service.name)) desk.appeared(entry, now)
  }

  readonly #interest: ServiceInterest = {
    worksWith: service => {
      // Hosts that work with the service may get their changes through this one.
      if (this.#news.isAsked) return true
      const desk = this.#services.get(service)?.desk
      return desk !== undefined && (desk.isObserved || desk.isActive(this.#context.clock.now()))
    },
    serviceOf: server => this.#directory.get(server)?.entry.service ?? null,
  }

  #desks(): ServiceDesk[] {
    return [...this.#services.values()].map(({ desk }) => desk)
  }

  #apply(news: DirectoryNews, now: Milliseconds): void {
    const { entry } = news
    this.#context.log.write(`server_${news.kind}`, {
      server: entry.server,
      service: entry.service,
      role: entry.role,
      zone: entry.zone,
      isLeaving: entry.isLeaving,
    })
    const desk = this.#services.get(entry.service)?.desk
    switch (news.kind) {
      case 'appeared':
        desk?.appeared(entry, now)
        return
      case 'changed':
        desk?.changedEntry(entry, news.before, now)
        return
      case 'unlisted':
        desk?.changed.raise()
        return
      case 'removed':
        desk?.removed(entry.server)
    }
  }

  #recordChanged(key: string, value: string | null, revision: number): void {
    const name = readRecordName(key)
    switch (name?.kind) {
      case 'change':
        this.#services.get(name.service)?.keeper.heardChange(value, revision)
        return
      case 'suspicion':
        if (name.host === this.#context.settings.entryHost) return
        this.#services.get(name.service)?.keeper.heardSuspicion(name.host, value)
        return
      case 'host': {
        const record = value === null ? null : readHostRecord(value)
        this.#fleet.heard(name.host, record)
        return
      }
      case undefined:
    }
  }
}
