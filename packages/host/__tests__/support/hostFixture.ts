/** Test fixture: entry hosts in one process, with in-process callers and in-memory stand-ins for the platform. */
import {
  SeededRandom,
  SystemClock,
  availabilityZoneId,
  backendServerId,
  entryHostId,
  regionId,
  type BackendServerId,
} from '@nutmegcourse/shared'
import type {
  Customer,
  FleetConfiguration,
  HostSettings,
  PromotionPort,
  Route,
} from '@nutmegcourse/protocol'
import {
  MemoryDialer,
  MemoryGroup,
  MemoryStore,
  StoreConnection,
  type MemoryDialerHooks,
} from '@nutmegcourse/stand-ins'
import { DecisionLog, type LogFields } from '../../src/decisionLog.js'
import { HostMetrics } from '../../src/hostMetrics.js'
import { EntryHost } from '../../src/index.js'
import { Caller } from './caller.js'
import { printEvidence } from './failureEvidence.js'

export const SERVICE = 'db-1'
/** The primary when the fixture starts. */
export const P = backendServerId('i-p')
/** The replicas when the fixture starts. */
export const A = backendServerId('i-a')
export const B = backendServerId('i-b')

const route = (database: string, guarantee: Route['guarantee']): Route => ({
  name: `r-${database}`,
  database,
  service: SERVICE,
  guarantee,
  statementTimeoutMilliseconds: 800,
  latencyTargetMilliseconds: 600,
  priority: 1,
  isPublic: false,
})

const ONLY_ZONE = 'zone-1'
const ONLY_REGION = 'region-1'

export const CONFIGURATION: FleetConfiguration = {
  version: 1,
  routes: [
    route('latest', { kind: 'latest' }),
    route('bounded', { kind: 'bounded', maximumAgeMilliseconds: 1500 }),
    route('own', { kind: 'ownWrites', maximumAgeMilliseconds: 2500 }),
  ],
  services: [{ name: SERVICE, connectionLimit: 25, synchronousReplicas: 1 }],
  customers: [],
  idleTransactionMilliseconds: 3000,
}

function settingsOf(
  host: string,
  grace: number,
  relayPort: number | null,
  zoneName: string,
  isFirstStart: boolean,
  limitTolerance: HostSettings['limitTolerance'],
  requiresKeys: boolean,
  revocation: HostSettings['revocation'],
  schedulesSlots: boolean,
  regionOfZone: Readonly<Record<string, string>>,
): HostSettings {
  const zone = availabilityZoneId(zoneName)
  const region = regionId(regionOfZone[zoneName] ?? ONLY_REGION)
  const otherZones = Object.entries(regionOfZone).map(
    ([name, each]) => [availabilityZoneId(name), regionId(each)] as const,
  )
  const unusedAddress = { host: '127.0.0.1', port: 0 }
  return {
    entryHost: entryHostId(host),
    zone,
    region,
    regions: new Map([[zone, region], ...otherZones]),
    callers: unusedAddress,
    readiness: unusedAddress,
    relay: relayPort === null ? null : { host: '127.0.0.1', port: relayPort },
    processorShare: 1,
    metrics: null,
    store: {
      ...unusedAddress,
      writesPerSecond: 400,
      readsPerSecond: 2000,
      shortestLeaseMilliseconds: 1000,
    },
    promotion: unusedAddress,
    serverHeartbeatMilliseconds: 1000,
    drainMilliseconds: 7000,
    configurationMilliseconds: 4000,
    requiresKeys,
    schedulesSlots,
    limitTolerance,
    revocation,
    graceMilliseconds: grace,
    isFirstStart,
  }
}

export interface FixtureHost {
  readonly host: EntryHost
  readonly store: StoreConnection
  readonly dialer: MemoryDialer
  readonly lines: {
    readonly event: string
    readonly fields: LogFields
    readonly at: number
  }[]
}

/**
 * How the promotion orders of a host fail. `noAnswer`: not carried out; `late`: carried out after the call failed;
 * `held`: carried out when the test says so; `lost`: carried out without an answer.
 */
export type PromotionFault = (
  host: string,
  server: BackendServerId,
) => 'none' | 'noAnswer' | 'late' | 'held' | 'lost'

/** Called before an order to promote is carried out, and before its answer reaches the host. */
export interface PromotionHooks {
  before?: (host: string, server: BackendServerId) => Promise<void>
  after?: (host: string, server: BackendServerId) => Promise<void>
}

const LATE_PROMOTION_MILLISECONDS = 400

export interface HostFixtureOptions {
  readonly promotionMilliseconds?: number
  /** Time after which a replica receives a write; 0 for those not named. */
  readonly replicationMilliseconds?: ReadonlyMap<BackendServerId, number>
  readonly connectionLimit?: number
  /** The relay port of each host, in order; by default the hosts have none. */
  readonly relayPorts?: readonly number[]
  /** The availability zone of each host, in order; by default all hosts are in one zone. */
  readonly zones?: readonly string[]
  /** The region of each zone; by default all zones are in one region. */
  readonly regionOfZone?: Readonly<Record<string, string>>
  /** The zone of each server, the primary first; by default all servers are in one zone. */
  readonly serverZones?: readonly string[]
  /** The whole fleet starts for the first time. */
  readonly isFirstStart?: boolean
  /** Callers need a key of one of these customers. */
  readonly customers?: readonly Customer[]
  /** Enables the enforcement of customers' limits. */
  readonly limitTolerance?: HostSettings['limitTolerance']
  /**
   * Enables strict revocation: hosts refuse keys whose revocation they may not have received within this many
   * milliseconds.
   */
  readonly strictRevocation?: number
  /** Enables the scheduling of server slots by class and customer. */
  readonly schedulesSlots?: boolean
}

export class HostFixture {
  readonly #relayPorts: number[]
  readonly #zones: string[]
  readonly #isFirstStart: boolean
  readonly #limitTolerance: HostSettings['limitTolerance']
  readonly #customers: readonly Customer[] | null
  readonly #connectionLimit: number
  readonly #revocation: HostSettings['revocation']
  readonly #schedulesSlots: boolean
  readonly #regionOfZone: Readonly<Record<string, string>>
  readonly #serverZones: readonly string[]
  readonly store = new MemoryStore()
  readonly group: MemoryGroup
  readonly dialer: MemoryDialer
  readonly hosts: FixtureHost[] = []
  promotionFault: PromotionFault = () => 'none'
  promotionHooks: PromotionHooks = {}
  readonly #heldPromotions: (() => boolean)[] = []
  readonly #ports = new Map<BackendServerId, number>()

  constructor(options: HostFixtureOptions = {}) {
    const { promotionMilliseconds = 50, connectionLimit = 25 } = options
    this.#relayPorts = [...(options.relayPorts ?? [])]
    this.#zones = [...(options.zones ?? [])]
    this.#isFirstStart = options.isFirstStart ?? false
    this.#limitTolerance = options.limitTolerance ?? null
    this.#customers = options.customers ?? null
    this.#connectionLimit = connectionLimit
    this.#revocation = {
      isStrict: options.strictRevocation !== undefined,
      withinMilliseconds: options.strictRevocation ?? 5000,
    }
    this.#schedulesSlots = options.schedulesSlots ?? false
    this.#regionOfZone = options.regionOfZone ?? {}
    this.#serverZones = options.serverZones ?? []
    this.group = new MemoryGroup({
      service: SERVICE,
      servers: [P, A, B],
      promotionMilliseconds,
      connectionLimit,
      ...(options.replicationMilliseconds && {
        replicationMilliseconds: options.replicationMilliseconds,
      }),
    })
    this.dialer = new MemoryDialer([this.group])
    this.configure({ customers: this.#customers ?? [] })
    for (const server of [P, A, B]) this.listServer(server)
  }

  /** Stores the default configuration with the given changes. */
  configure(given: Partial<FleetConfiguration>): void {
    const connectionLimit = this.#connectionLimit
    const services = CONFIGURATION.services.map(service => ({ ...service, connectionLimit }))
    this.store.configure({ ...CONFIGURATION, services, ...given })
  }

  listServer(
    server: BackendServerId,
    given: { isLeaving?: boolean; bornAt?: number; slots?: number } = {},
  ): void {
    this.store.listServer({
      server,
      service: SERVICE,
      host: '127.0.0.1',
      port: this.#portOf(server),
      zone: availabilityZoneId(this.#serverZones[[P, A, B].indexOf(server)] ?? ONLY_ZONE),
      slots: given.slots ?? 3,
      isLeaving: given.isLeaving ?? false,
      role: this.group.server(server).role,
      startedAtUnixMilliseconds: given.bornAt ?? 1,
    })
  }

  /** Each server has an address of its own. */
  #portOf(server: BackendServerId): number {
    const known = this.#ports.get(server)
    if (known !== undefined) return known
    this.#ports.set(server, this.#ports.size + 1)
    return this.#ports.size
  }

  add(name: string, grace = 1000, store = new StoreConnection(this.store)): FixtureHost {
    const lines: FixtureHost['lines'] = []
    const metrics = new HostMetrics()
    const log = new DecisionLog(
      {
        info: (event, fields) => {
          lines.push({ event, fields, at: performance.now() })
        },
      },
      metrics,
    )
    const dialer = new MemoryDialer([this.group])
    // The hooks of all hosts apply to each; those set on its own dialer apply to it alone.
    dialer.hooks = Object.create(this.dialer.hooks) as MemoryDialerHooks
    dialer.links = this.dialer.links
    const host = new EntryHost(
      settingsOf(
        name,
        grace,
        this.#relayPorts.shift() ?? null,
        this.#zones.shift() ?? ONLY_ZONE,
        this.#isFirstStart,
        this.#limitTolerance,
        this.#customers !== null,
        this.#revocation,
        this.#schedulesSlots,
        this.#regionOfZone,
      ),
      {
        dialer,
        store,
        promotion: this.#promotionFor(name),
        callerLink: () => {
          throw new Error('callers are connected through EntryHost.admit')
        },
      },
      log,
      metrics,
      new SystemClock(),
      new SeededRandom(name.length + this.hosts.length),
    )
    const added = { host, store, dialer, lines }
    this.hosts.push(added)
    host.start()
    return added
  }

  /** The port at which a host runs statements for others. */
  relayPortOf({ host }: FixtureHost): number {
    return Number(
      (
        JSON.parse(this.store.record(`host/${host.name}`)?.value ?? '{}') as { relay?: string }
      ).relay?.split(':')[1],
    )
  }

  /** Drops all packets between a host and a server. */
  partition(host: FixtureHost, server: BackendServerId): void {
    host.dialer.unreachable.add(server)
  }

  heal(host: FixtureHost, server: BackendServerId): void {
    host.dialer.unreachable.delete(server)
  }

  /** Nothing reaches or leaves the host, as while its process stands still. */
  freeze(host: FixtureHost): void {
    host.store.behaviour = 'silent'
    for (const server of this.group.servers.keys()) this.partition(host, server)
  }

  thaw(host: FixtureHost): void {
    host.store.behaviour = 'well'
    host.dialer.unreachable.clear()
  }

  /** Restarts a server's process with its log. */
  restart(server: BackendServerId): void {
    this.crash(server)
    this.group.recover(this.group.server(server))
  }

  /** Restarts a server's process without its log. */
  restartEmpty(server: BackendServerId): void {
    this.crash(server)
    this.group.restartEmpty(this.group.server(server))
    this.listServer(server, { bornAt: 2 })
  }

  /** Ends a leaving server, whose successor takes over its log. */
  replaceServer(server: BackendServerId, successor: BackendServerId): void {
    this.dialer.closeConnections(server)
    this.group.replaceServer(this.group.server(server), successor)
    this.store.unlistServer(server)
    this.listServer(successor)
  }

  /** Carries out the first of the held orders to promote; whether it is accepted. */
  carryOutHeldPromotion(): boolean {
    return this.#heldPromotions.shift()?.() ?? false
  }

  get heldPromotions(): number {
    return this.#heldPromotions.length
  }

  /** Stops a server's process and closes its connections. */
  crash(server: BackendServerId): void {
    this.group.crash(this.group.server(server))
    this.dialer.closeConnections(server)
  }

  async caller(host: FixtureHost, database: string, key?: string): Promise<Caller> {
    const caller = new Caller(host.host)
    const outcome = await caller.connect(database, key)
    if (outcome !== 'welcome') throw new Error(`the session was rejected: ${outcome}`)
    return caller
  }

  async ready(): Promise<void> {
    await this.until(() => this.hosts.every(({ host }) => host.isReady), 'hosts are ready')
  }

  async until(condition: () => boolean, what: string, span = 5000): Promise<void> {
    const limit = performance.now() + span
    while (!condition()) {
      if (performance.now() > limit) throw new Error(`timed out waiting until ${what}`)
      await new Promise(resolve => setTimeout(resolve, 5))
    }
  }

  async close(): Promise<void> {
    for (const each of [...this.hosts]) await each.host.stop()
  }

  #promotionFor(name: string): PromotionPort {
    return {
      promote: async (order, limit) => {
        const fault = this.promotionFault(name, order.server)
        const carryOut = (): boolean => this.group.promote(order.server, order.fencingToken)
        await this.promotionHooks.before?.(name, order.server)
        if (fault === 'none') {
          const isAccepted = carryOut()
          await this.promotionHooks.after?.(name, order.server)
          return { kind: isAccepted ? 'accepted' : 'rejected' }
        }
        if (fault === 'late') setTimeout(carryOut, LATE_PROMOTION_MILLISECONDS)
        if (fault === 'held') this.#heldPromotions.push(carryOut)
        if (fault === 'lost') carryOut()
        await this.promotionHooks.after?.(name, order.server)
        await new Promise(resolve => setTimeout(resolve, Math.min(limit, 50)))
        return { kind: 'noAnswer', detail: 'the stand-in does not answer' }
      },
    }
  }
}

/** Runs a scenario in a fixture of its own, and checks afterwards that no acknowledged write was lost. */
export async function withHostFixture(
  hosts: number,
  scenario: (fixture: HostFixture, hosts: readonly FixtureHost[]) => Promise<void>,
  options: HostFixtureOptions = {},
): Promise<void> {
  const startedAt = performance.now()
  const fixture = new HostFixture(options)
  try {
    for (let index = 1; index <= hosts; index += 1) fixture.add(`host-${String(index)}`)
    await fixture.ready()
    await scenario(fixture, fixture.hosts)
    if (fixture.group.violations.length > 0) throw new Error(fixture.group.violations.join('; '))
  } catch (error) {
    printEvidence(fixture.hosts, startedAt)
    throw error
  } finally {
    await fixture.close()
  }
}
