/** One entry host: takes callers, follows the store, and keeps the services it needs in order. */
import { createServer, type Server, type Socket } from 'node:net'
import { changeKey, hostKey, readHostRecord, readRecordName } from '@nutmegcourse/coordination'
import type { Clock, Milliseconds, RandomSource } from '@nutmegcourse/shared'
import type {
  BackendDialer,
  CallerLink,
  DirectoryChange,
  FleetConfiguration,
  HostSettings,
  PromotionPort,
  StoreLink,
} from '@nutmegcourse/protocol'
import { ServerDirectory, type DirectoryNews } from '@nutmegcourse/state'
import { CallerSession, type RouteLookup } from './callerSession.js'
import { ConfigurationBook } from './configurationBook.js'
import { isUrgent, type ServiceInterest } from './changeUrgency.js'
import type { DecisionLog } from './decisionLog.js'
import type { HostContext } from './hostContext.js'
import { HostFleet } from './hostFleet.js'
import type { HostMetrics } from './hostMetrics.js'
import { HostRegistration } from './hostRegistration.js'
import { PrimaryKeeper } from './primaryKeeper.js'
import { PrimaryProbe } from './primaryProbe.js'
import { RelayServer, type RelayDesks } from './relayServer.js'
import { RelayingRunner } from './relayingRunner.js'
import { ServiceDesk } from './serviceDesk.js'
import { StatementRunner } from './statementRunner.js'
import { StoreFollower } from './storeFollower.js'
import { rest } from './waiting.js'

/** What an entry host reaches the world through. */
export interface EntryHostPorts {
  readonly dialer: BackendDialer
  readonly store: StoreLink
  readonly promotion: PromotionPort
  callerLink(socket: Socket): CallerLink
}

/** Everything that is due by time is looked at this often while some server or host owes an answer. */
const TICK_MILLISECONDS = 25

/**
 * While none does. At rest a tick is most of what a host spends: 100 instead of 25 halves its
 * processor time (18 to 9 ms a second, one run). The shortest limit that only a tick notices, the silence
 * of a server, begins with an answer owed, and then the tick is short within this span.
 */
const REST_TICK_MILLISECONDS = 100

/** A gap between two ticks that only a standstill of the process explains. */
const STANDSTILL_MILLISECONDS = 250

/** Idle callers are sent away over this long after the signal to stop, so that they do not all reconnect at once. */
const CLOSING_SPAN_SHARE = 0.25

/** Open transactions get this part of the grace to end. */
const TRANSACTION_GRACE_SHARE = 0.5

/** The process ends before it is killed. */
const EXIT_RESERVE_MILLISECONDS = 400

/** Connections that may wait to be accepted. */
const BACKLOG = 1024

interface ServiceParts {
  readonly desk: ServiceDesk
  readonly probe: PrimaryProbe
  readonly keeper: PrimaryKeeper
}

export class EntryHost implements RouteLookup, RelayDesks {
  readonly #context: HostContext
  readonly #ports: EntryHostPorts
  readonly #directory: ServerDirectory
  readonly #configuration = new ConfigurationBook()
  readonly #services = new Map<string, ServiceParts>()
  readonly #fleet: HostFleet
  readonly #sessions = new Set<CallerSession>()
  readonly #runner: RelayingRunner
  readonly #relay: RelayServer
  readonly #follower: StoreFollower
  readonly #registration: HostRegistration
  #server: Server | null = null
  #timer: NodeJS.Timeout | null = null
  #lastTick = Number.NEGATIVE_INFINITY
  #isStopping = false
  #isClosed = false

  constructor(
    settings: HostSettings,
    ports: EntryHostPorts,
    log: DecisionLog,
    metrics: HostMetrics,
    clock: Clock,
    random: RandomSource,
  ) {
    this.#context = { settings, clock, random, dialer: ports.dialer, log, metrics }
    this.#ports = ports
    this.#directory = new ServerDirectory(settings.drainMilliseconds)
    this.#fleet = new HostFleet(this.#context)
    const runner = new StatementRunner(this.#context)
    this.#runner = new RelayingRunner(this.#context, runner, this.#fleet)
    this.#relay = new RelayServer(this.#context, runner, this)
    this.#follower = new StoreFollower(this.#context, ports.store, {
      changed: change => {
        this.#changed(change)
      },
      listed: changes => {
        this.#listed(changes)
      },
      isUrgent: change => isUrgent(change, this.#interest),
    })
    this.#registration = new HostRegistration(this.#context, ports.store)
  }

  /** Whether new callers are welcome: it can tell where their work goes. */
  get isReady(): boolean {
    if (this.#isStopping || this.#configuration.current === null) return false
    return [...this.#services.values()].every(({ desk }) => desk.servers.length > 0)
  }

  get sessionCount(): number {
    return this.#sessions.size
  }

  get isKnown(): boolean {
    return this.#configuration.current !== null
  }

  get idleTransactionMilliseconds(): number {
    return this.#configuration.current?.idleTransactionMilliseconds ?? Number.POSITIVE_INFINITY
  }

  whenKnown(span: number): Promise<void> {
    return this.#configuration.whenKnown(span)
  }

  find(database: string): ReturnType<RouteLookup['find']> {
    const route = this.#configuration.route(database)
    const parts = route === null ? undefined : this.#services.get(route.service)
    return route === null || parts === undefined ? null : { route, desk: parts.desk }
  }

  serve(service: string): ServiceDesk | null {
    if (this.#isStopping) return null
    const desk = this.#services.get(service)?.desk ?? null
    if (desk !== null && !desk.isOwned) desk.standIn(this.#context.clock.now())
    return desk
  }

  /** Follows the store and its backend servers; callers come with `listen` or `admit`. */
  start(): void {
    const { relay } = this.#context.settings
    if (relay !== null) this.#relay.listen(relay.host, relay.port)
    this.#tickAfter(REST_TICK_MILLISECONDS)
    void this.#follower.run()
    void this.#registration.run()
  }

  /** Takes callers; `failed` hears why this host can not. */
  listen(failed: (error: Error) => void): void {
    const { host, port } = this.#context.settings.callers
    this.#server = createServer({ allowHalfOpen: true }, socket => {
      this.admit(this.#ports.callerLink(socket))
    })
    this.#server.on('error', failed)
    this.#server.listen({ host, port, backlog: BACKLOG })
  }

  /** Takes one caller. */
  admit(link: CallerLink): void {
    const session = new CallerSession(this.#context, link, this, this.#runner, ended => {
      this.#sessions.delete(ended)
    })
    this.#sessions.add(session)
  }

  /** Takes no new work, lets what runs end, and resolves when the process may exit. */
  async stop(): Promise<void> {
    if (this.#isStopping) return
    this.#isStopping = true
    const { clock, settings } = this.#context
    const startedAt = clock.now()
    const grace = settings.graceMilliseconds
    void this.#registration.withdraw()
    await this.#closeIdleSessions(grace * CLOSING_SPAN_SHARE)
    while (this.#isWorking && clock.now() - startedAt < grace * TRANSACTION_GRACE_SHARE) {
      await rest(TICK_MILLISECONDS)
    }
    for (const session of this.#sessions) session.abortTransaction()
    while (this.#isWorking && clock.now() - startedAt < grace - EXIT_RESERVE_MILLISECONDS) {
      await rest(TICK_MILLISECONDS)
    }
    this.close()
  }

  get #isWorking(): boolean {
    return (
      this.#relay.isWorking ||
      [...this.#sessions].some(session => session.isBusy) ||
      [...this.#services.values()].some(({ keeper }) => keeper.isChanging)
    )
  }

  /** The balancer still sends callers until it has seen twice that the host is not ready. */
  async #closeIdleSessions(span: number): Promise<void> {
    const { clock } = this.#context
    const startedAt = clock.now()
    for (;;) {
      const elapsed = clock.now() - startedAt
      const remaining = Math.max(0, span - elapsed)
      const sessions = [...this.#sessions]
      const steps = Math.max(1, Math.ceil(remaining / TICK_MILLISECONDS))
      const now = Math.ceil(sessions.length / steps)
      for (const session of sessions.slice(0, now)) session.closeWhenIdle()
      if (remaining === 0) break
      await rest(TICK_MILLISECONDS)
    }
    for (const session of this.#sessions) session.closeWhenIdle()
  }

  /** Drops everything at once, as the end of the process would. */
  close(): void {
    this.#isClosed = true
    if (this.#timer !== null) clearTimeout(this.#timer)
    this.#server?.close()
    this.#follower.stop()
    this.#relay.close()
    this.#fleet.close()
    for (const { desk } of this.#services.values()) desk.close()
  }

  #tickAfter(span: number): void {
    if (this.#isClosed) return
    this.#timer = setTimeout(() => {
      this.#tick()
      this.#tickAfter(this.#isOwedAnswers ? TICK_MILLISECONDS : REST_TICK_MILLISECONDS)
    }, span)
  }

  /** Whether something that a tick watches is under way: a statement, a question, a change. */
  get #isOwedAnswers(): boolean {
    if (this.#fleet.isOwedAnswers) return true
    return [...this.#services.values()].some(
      ({ desk, keeper }) =>
        keeper.isChanging ||
        desk.servers.some(server => server.owesAnswer || server.pool.refusals > 0),
    )
  }

  #tick(): void {
    const now = this.#context.clock.now()
    const wasStandingStill = now - this.#lastTick > STANDSTILL_MILLISECONDS
    this.#lastTick = now
    for (const news of this.#directory.expire(now)) this.#apply(news, now)
    this.#fleet.tick(now)
    for (const { desk, probe, keeper } of this.#services.values()) {
      const isActive = desk.isActive(now)
      for (const server of desk.servers) {
        // What was asked before a standstill was answered while nobody looked.
        if (wasStandingStill) server.forgetQuestions()
        server.watchLife(now)
        const keepWarm = isActive && this.#directory.mayTakeWork(server.entry.server, now)
        server.pool.tick(now, keepWarm)
      }
      if (!isActive) continue
      probe.tick(now)
      if (!this.#isStopping && desk.isOwned) keeper.tick(now)
    }
  }

  #listed(changes: readonly DirectoryChange[]): void {
    const now = this.#context.clock.now()
    const listed = new Set(
      changes.flatMap(change => (change.kind === 'server' ? [change.entry.server] : [])),
    )
    const records = new Set(
      changes.flatMap(change => (change.kind === 'record' ? [change.key] : [])),
    )
    for (const change of changes) this.#changed(change)
    for (const news of this.#directory.keepOnly(listed, now)) this.#apply(news, now)
    this.#fleet.keepOnly(host => records.has(hostKey(host)))
    this.#fleet.plan(this.#desks())
    for (const [service, { keeper }] of this.#services) {
      if (!records.has(changeKey(service))) keeper.heardChange(null, 0)
    }
  }

  #changed(change: DirectoryChange): void {
    const now = this.#context.clock.now()
    switch (change.kind) {
      case 'configuration':
        this.#configure(change.configuration)
        return
      case 'server': {
        const news = this.#directory.list(change.entry, now)
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
    this.#fleet.plan(this.#desks())
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
      this.#fleet.ownersOf(service.name),
    )
    const probe = new PrimaryProbe(this.#context, desk)
    this.#services.set(service.name, { desk, probe, keeper })
    const now = this.#context.clock.now()
    for (const { entry } of this.#directory.ofService(service.name)) desk.appeared(entry, now)
  }

  readonly #interest: ServiceInterest = {
    worksWith: service => {
      const desk = this.#services.get(service)?.desk
      return desk?.isActive(this.#context.clock.now()) ?? false
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
        this.#fleet.plan(this.#desks())
        return
      }
      case undefined:
    }
  }
}
