/** One entry host: accepts callers, follows the store, and manages the services that it works with. */
import { createServer, type Server, type Socket } from 'node:net'
import type {
  Clock,
  CustomerName,
  KeyDigest,
  Milliseconds,
  RandomSource,
} from '@nutmegcourse/shared'
import type {
  BackendDialer,
  CallerLink,
  HostSettings,
  PromotionPort,
  Route,
  SlotStatus,
  StoreLink,
} from '@nutmegcourse/protocol'
import { STALL_MILLISECONDS } from '@nutmegcourse/state'
import type { BackendServerState } from './backendServerState.js'
import { CallerSession } from './callerSession.js'
import { CustomerLimits, type Admission, type OperationStart } from './customerLimits.js'
import type { DecisionLog } from './decisionLog.js'
import type {
  ReceivedAnswer,
  ReceivedRequest,
  RelayedOrderAnswer,
  RelayedOrderRequest,
} from './groupPeers.js'
import type { HostContext } from './hostContext.js'
import { HostFleet } from './hostFleet.js'
import type { HostMetrics } from './hostMetrics.js'
import { HostRegistration } from './hostRegistration.js'
import { LimitGranter } from './limitGranter.js'
import { ChangeFeedServer } from './changeFeedServer.js'
import { OwnStall } from './ownStall.js'
import { PlannedStop, type SessionIntake, type StoppingHost } from './plannedStop.js'
import { RelayServer, type RelayServices } from './relayServer.js'
import { RelayingRunner } from './relayingRunner.js'
import type { CallerIdentity, RouteLookup, RoutedService } from './routeLookup.js'
import { ServiceRegistry } from './serviceRegistry.js'
import type { ServiceState } from './serviceState.js'
import { slotStatusOf } from './slotStatus.js'
import { StatementRunner } from './statementRunner.js'
import { StoreFollower } from './storeFollower.js'
import { StoreKnowledge } from './storeKnowledge.js'
import { ChangeFeedReader } from './changeFeedReader.js'

/** The outside systems that an entry host uses. */
export interface EntryHostPorts {
  readonly dialer: BackendDialer
  readonly store: StoreLink
  readonly promotion: PromotionPort
  callerLink(socket: Socket): CallerLink
}

/** Interval of the timer that checks deadlines while an answer of a server or host is outstanding. */
const TICK_MILLISECONDS = 25

/**
 * Interval while none is outstanding. Ticks are most of the processor time of an idle host: 100 instead of 25
 * halves it (18 to 9 ms a second, one run). The shortest limit that only a tick detects, the silence of a server,
 * starts with an outstanding answer, and the short interval applies at the latest after this time.
 */
const IDLE_TICK_MILLISECONDS = 100

/** Connections that may wait to be accepted. */
const BACKLOG = 1024

const UNCONFIRMED: CallerIdentity = { kind: 'unconfirmed' }

export class EntryHost implements RouteLookup, RelayServices, StoppingHost {
  readonly changeFeed: ChangeFeedServer
  readonly limits: LimitGranter
  readonly #context: HostContext
  readonly #ports: EntryHostPorts
  readonly #fleet: HostFleet
  readonly #services: ServiceRegistry
  readonly #customerLimits: CustomerLimits
  readonly #sessions = new Set<CallerSession>()
  readonly #localRunner: StatementRunner
  readonly #runner: RelayingRunner
  readonly #relay: RelayServer
  readonly #follower: StoreFollower
  readonly #registration: HostRegistration
  #server: Server | null = null
  #timer: NodeJS.Timeout | null = null
  #lastTick: Milliseconds
  #stopping: PlannedStop | null = null
  #stopResult: Promise<void> | null = null
  #isClosed = false
  #wasConfirmed = true

  constructor(
    settings: HostSettings,
    ports: EntryHostPorts,
    log: DecisionLog,
    metrics: HostMetrics,
    clock: Clock,
    random: RandomSource,
  ) {
    this.#context = {
      settings,
      clock,
      random,
      dialer: ports.dialer,
      log,
      metrics,
      ownStall: new OwnStall(clock),
      knowledge: new StoreKnowledge(clock, settings.configurationMilliseconds),
    }
    const { knowledge } = this.#context
    log.describeDecisions(() => knowledge.describe())
    this.#ports = ports
    this.#lastTick = clock.now()
    this.#fleet = new HostFleet(this.#context)
    this.changeFeed = new ChangeFeedServer(this.#context)
    this.#services = new ServiceRegistry(this.#context, ports, this.#fleet, this.changeFeed, () => {
      this.#registration.storeRestored()
    })
    const plan = {
      limitOf: (customer: CustomerName) => this.#services.limitOf(customer),
      limitHolders: (customer: CustomerName) => this.#fleet.limitHolders(customer),
      peer: (host: string) => this.#fleet.peer(host),
    }
    this.limits = new LimitGranter(this.#context, plan)
    this.#customerLimits = new CustomerLimits(this.#context, this.limits, plan)
    this.#localRunner = new StatementRunner(this.#context)
    this.#runner = new RelayingRunner(this.#context, this.#localRunner, this.#fleet)
    this.#relay = new RelayServer(this.#context, this.#localRunner, this)
    this.#follower = new StoreFollower(this.#context, ports.store, this.#services, {
      reader: new ChangeFeedReader(this.#context, this.#fleet),
      server: this.changeFeed,
    })
    this.#registration = new HostRegistration(this.#context, ports.store, this.#services, () => {
      this.limits.joined()
    })
  }

  orderServer(request: RelayedOrderRequest): Promise<RelayedOrderAnswer> {
    return this.#services.orderServer(request)
  }

  receivedOf({ service }: ReceivedRequest): ReceivedAnswer {
    return { furthest: this.#services.service(service)?.received.furthest ?? null }
  }

  /** Whether new callers should be sent here: the host is not stopping and can route their statements. */
  get isReady(): boolean {
    return this.#stopping === null && this.#services.isServable
  }

  get name(): string {
    return this.#context.settings.entryHost
  }

  get hasConfiguration(): boolean {
    return this.#services.hasConfiguration
  }

  get intake(): SessionIntake {
    return this.#stopping?.intake ?? 'lasting'
  }

  get sessions(): ReadonlySet<CallerSession> {
    return this.#sessions
  }

  get isRelaying(): boolean {
    return this.#relay.isWorking
  }

  get isChangingPrimary(): boolean {
    return this.#services.isChanging
  }

  /** Number of servers that this host leaves out because they fail. */
  get ejectedServers(): number {
    return this.#services.ejectedServers
  }

  get longestStatementMilliseconds(): number {
    return this.#services.longestStatementMilliseconds
  }

  endRelayedTransactions(): void {
    this.#relay.endTransactions()
  }

  get idleTransactionMilliseconds(): number {
    return this.#services.idleTransactionMilliseconds
  }

  whenConfigured(span: number): Promise<void> {
    return this.#services.whenConfigured(span)
  }

  find(database: string): RoutedService | null {
    return this.#services.find(database)
  }

  /** What this host knows of the store. */
  get knowledge(): StoreKnowledge {
    return this.#context.knowledge
  }

  identify(route: Route, key: KeyDigest): CallerIdentity {
    const identity = this.#services.identify(route, key)
    return identity.kind === 'customer' && this.#mayHaveMissedRevocation ? UNCONFIRMED : identity
  }

  /** With strict revocation, keys are not served once this host may have missed their revocation. */
  get #mayHaveMissedRevocation(): boolean {
    const { knowledge, settings } = this.#context
    const { isStrict, withinMilliseconds } = settings.revocation
    return isStrict && knowledge.ageMilliseconds > withinMilliseconds
  }

  admitOperation(customer: CustomerName, start: OperationStart): Promise<Admission> {
    return this.#customerLimits.admit(customer, start)
  }

  /** What operators see of slots; null where they are not scheduled. */
  get slotStatus(): SlotStatus | null {
    const { settings, clock } = this.#context
    if (!settings.schedulesSlots) return null
    const sources = {
      entryHost: this.name,
      services: this.#services.services,
      routesOf: (service: ServiceState) => this.#services.routesOf(service),
      dispatcherOf: (service: ServiceState, server: BackendServerState) =>
        this.#fleet.dispatcherOf(service, server),
      limits: this.#customerLimits,
      limitOf: (customer: CustomerName) => this.#services.limitOf(customer),
    }
    return slotStatusOf(sources, clock.now())
  }

  serve(name: string): ServiceState | null {
    if (this.#stopping !== null) return null
    const service = this.#services.service(name) ?? null
    if (service !== null && !service.isOwned) service.standIn(this.#context.clock.now())
    return service
  }

  /** Starts following the store and backend servers; callers are accepted by `listen` or `admit`. */
  start(): void {
    const { relay } = this.#context.settings
    if (relay !== null) this.#relay.listen(relay.host, relay.port)
    this.#tickAfter(IDLE_TICK_MILLISECONDS)
    void this.#follower.run()
    void this.#registration.run()
  }

  /** Accepts callers; calls `onError` if the port cannot be listened on. */
  listen(onError: (error: Error) => void): void {
    const { host, port } = this.#context.settings.callers
    this.#server = createServer({ allowHalfOpen: true }, socket => {
      this.admit(this.#ports.callerLink(socket))
    })
    this.#server.on('error', onError)
    this.#server.listen({ host, port, backlog: BACKLOG })
  }

  /** Starts a session for one caller. */
  admit(link: CallerLink): void {
    const session = new CallerSession(this.#context, link, this, this.#runner, ended => {
      this.#sessions.delete(ended)
    })
    this.#sessions.add(session)
  }

  /**
   * Accepts no new work, lets running work end, and resolves when the process may exit. A second call, made by a
   * second signal, waits for the same stop and must not cut the work that the first one waits for.
   */
  stop(): Promise<void> {
    this.#stopResult ??= this.#runStop()
    return this.#stopResult
  }

  async #runStop(): Promise<void> {
    this.#stopping = new PlannedStop(this.#context, this)
    void this.#registration.withdraw()
    this.#relay.leave()
    this.changeFeed.stop()
    this.limits.leave()
    await this.#stopping.run()
    this.close()
  }

  /** Closes everything at once, as the end of the process would. */
  close(): void {
    this.#isClosed = true
    if (this.#timer !== null) clearTimeout(this.#timer)
    this.#server?.close()
    this.#follower.stop()
    this.#relay.close()
    this.#fleet.close()
    this.#services.close()
  }

  #tickAfter(span: number): void {
    if (this.#isClosed) return
    this.#timer = setTimeout(() => {
      this.#tick(span)
      this.#tickAfter(this.#hasPendingWork ? TICK_MILLISECONDS : IDLE_TICK_MILLISECONDS)
    }, span)
  }

  /** Says when this host can no longer tell which configuration is in force, and when it can again. */
  #logConfirmation(): void {
    const { knowledge, log } = this.#context
    const { isConfirmed } = knowledge
    if (isConfirmed === this.#wasConfirmed || knowledge.knownAt === null) return
    this.#wasConfirmed = isConfirmed
    const event = isConfirmed ? 'configuration_confirmed' : 'configuration_unconfirmed'
    log.write(event, { ...knowledge.describe() })
  }

  /** Whether work that ticks supervise is under way: a statement, a probe or a change of primary. */
  get #hasPendingWork(): boolean {
    return this.#fleet.hasPendingWork || this.#services.hasPendingWork
  }

  #tick(intendedSpan: number): void {
    const now = this.#context.clock.now()
    const sinceTick = now - this.#lastTick
    this.#context.ownStall.noteLateness(sinceTick - intendedSpan)
    this.#logConfirmation()
    const wasStalled = sinceTick > STALL_MILLISECONDS
    if (wasStalled) {
      this.#context.log.write('stood_still', { milliseconds: Math.round(sinceTick) })
    }
    this.#lastTick = now
    if (this.#fleet.tick(now)) this.#services.planOwners()
    this.#services.tick(now, { wasStalled, isStopping: this.#stopping !== null })
    // After a stall, statements that arrived meanwhile have not been read yet.
    if (this.#context.settings.schedulesSlots && !wasStalled) {
      this.#localRunner.endIdleTransactionsForWaiters(this.idleTransactionMilliseconds)
    }
  }
}
