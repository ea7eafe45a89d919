/** Runs a whole deployment as local processes: platform, databases, agents and proxies. */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { followStatement } from '@nutmegcourse/protocol'
import type { AvailabilityZoneId } from '@nutmegcourse/shared'
import type { ZoneRoute } from '@nutmegcourse/stand-ins'
import { askBackendServer } from './adminCall.js'
import { readDatabaseContents, type DatabaseContents } from './databaseContents.js'
import { ManagedProcess, type ReadyLine } from './managedProcess.js'
import { Network } from './network.js'
import {
  PLATFORM_ZONE,
  planDeployment,
  type DeploymentPlan,
  type PlannedDatabase,
  type PlannedEntryHost,
  type PlannedServer,
} from './plan.js'
import { FIRST_TERM, LOOPBACK, Platform } from './platform.js'
import { SHAPES, type DeploymentShape } from './shapes.js'

export interface DeploymentOptions {
  readonly shape: DeploymentShape['name']
  readonly databases: number
  readonly entryHosts: number
  /** Routes traffic between zones through the relay, which adds delays, cuts and byte counts. */
  readonly network: boolean
  /** Also starts agents and proxies. */
  readonly fleet: boolean
  /** How long a statement occupies a slot of a backend server. */
  readonly serviceMilliseconds?: number
  readonly hostListLagMilliseconds?: number
  /** Additional settings of every agent or proxy, merged over those from the plan. */
  readonly agentSettings?: Readonly<Record<string, unknown>>
  readonly proxySettings?: Readonly<Record<string, unknown>>
}

const HOST_LIST = 'host-list'

/** Path of a built file of a workspace package, next to the package's entry point. */
function programPath(packageName: string, file: string): string {
  return fileURLToPath(new URL(file, import.meta.resolve(`@nutmegcourse/${packageName}`)))
}

export class Deployment {
  readonly plan: DeploymentPlan
  readonly #options: DeploymentOptions
  /** Holds settings, data and logs of the processes; removed by `stop`. */
  readonly directory = mkdtempSync(join(tmpdir(), 'nutmegcourse-'))
  readonly #processes = new Map<string, ManagedProcess>()
  #network = new Network(null)
  #platform: Platform | null = null

  private constructor(options: DeploymentOptions, plan: DeploymentPlan) {
    this.#options = options
    this.plan = plan
    process.once('exit', this.#killAll)
  }

  /** Starts everything and resolves once every process has reported that it is ready. */
  static async start(options: DeploymentOptions): Promise<Deployment> {
    const plan = await planDeployment(SHAPES[options.shape], options.databases, options.entryHosts)
    const deployment = new Deployment(options, plan)
    try {
      await deployment.#startAll()
      return deployment
    } catch (error) {
      await deployment.stop()
      throw error
    }
  }

  get zones(): readonly AvailabilityZoneId[] {
    return this.plan.shape.zones.map(entry => entry.zone)
  }

  get platform(): Platform {
    if (this.#platform === null) throw new Error('the platform has not been started yet')
    return this.#platform
  }

  process(id: string): ManagedProcess {
    const found = this.#processes.get(id)
    if (found === undefined) throw new Error(`no process ${id}`)
    return found
  }

  database(index: number): PlannedDatabase {
    const found = this.plan.databases[index]
    if (found === undefined) throw new Error(`no database ${index}`)
    return found
  }

  entryHost(index: number): PlannedEntryHost {
    const found = this.plan.entryHosts[index]
    if (found === undefined) throw new Error(`no entry host ${index}`)
    return found
  }

  async kill(id: string): Promise<void> {
    await this.process(id).end('SIGKILL')
  }

  /** Sends SIGTERM and resolves with the exit code. */
  async stopGracefully(id: string): Promise<number | null> {
    return this.process(id).end('SIGTERM')
  }

  freeze(id: string): void {
    this.process(id).signal('SIGSTOP')
  }

  thaw(id: string): void {
    this.process(id).signal('SIGCONT')
  }

  async restart(id: string): Promise<void> {
    await this.kill(id)
    await this.process(id).start()
  }

  async cut(from: readonly AvailabilityZoneId[], to: readonly AvailabilityZoneId[]): Promise<void> {
    await this.#network.setCut(from, to, true)
  }

  async heal(
    from: readonly AvailabilityZoneId[],
    to: readonly AvailabilityZoneId[],
  ): Promise<void> {
    await this.#network.setCut(from, to, false)
  }

  /** Resets connections between zones; requests and answers in transit are lost. */
  async resetConnections(
    from: readonly AvailabilityZoneId[],
    to: readonly AvailabilityZoneId[],
  ): Promise<void> {
    await this.#network.reset(from, to)
  }

  /** Isolates a zone from all other zones and from the platform. */
  async isolate(zone: AvailabilityZoneId): Promise<void> {
    await this.cut([zone], this.#zonesOtherThan(zone))
  }

  async rejoin(zone: AvailabilityZoneId): Promise<void> {
    await this.heal([zone], this.#zonesOtherThan(zone))
  }

  async interRegionBytes(): Promise<number> {
    const pairs = Object.entries(await this.#network.bytes())
    const between = pairs.filter(([pair]) => new Set(pair.split('>')).size > 1)
    return between.reduce((sum, [, bytes]) => sum + bytes, 0)
  }

  async contents(database: PlannedDatabase): Promise<DatabaseContents> {
    return readDatabaseContents(database.servers.map(server => server.port))
  }

  async stop(): Promise<void> {
    await Promise.all([...this.#processes.values()].map(each => each.end('SIGKILL')))
    process.off('exit', this.#killAll)
    rmSync(this.directory, { recursive: true, force: true })
  }

  readonly #killAll = (): void => {
    for (const each of this.#processes.values()) each.signal('SIGKILL')
  }

  async #startAll(): Promise<void> {
    const { shape } = this.plan
    const store = await this.#start('store', programPath('stand-ins', 'store/main.js'), {})
    const hostList = await this.#start(HOST_LIST, programPath('stand-ins', 'hostList/main.js'), {
      lagMilliseconds: this.#options.hostListLagMilliseconds ?? 0,
      zones: this.zones,
    })
    this.#platform = new Platform(this.plan, Number(store.port), Number(hostList.port))
    if (this.#options.network) this.#network = new Network(await this.#startRelay(shape))
    await this.#connectZones(hostList.zonePorts as Readonly<Record<string, number>>)
    await Promise.all(this.plan.databases.map(database => this.#startDatabase(database)))
    await this.platform.initialize(this.#routes())
    if (!this.#options.fleet) return
    await Promise.all(this.plan.entryHosts.map(host => this.#startEntryHost(host)))
  }

  async #start(
    id: string,
    program: string,
    settings: Readonly<Record<string, unknown>>,
  ): Promise<ReadyLine> {
    const started = new ManagedProcess({ id, program, settings }, this.directory)
    this.#processes.set(id, started)
    return started.start()
  }

  async #startRelay(shape: DeploymentShape): Promise<number> {
    const regions = Object.fromEntries(shape.zones.map(entry => [entry.zone, entry.region]))
    const ready = await this.#start('relay', programPath('stand-ins', 'relay/main.js'), {
      regions: { ...regions, [PLATFORM_ZONE]: shape.platformRegion },
      zoneDelayMilliseconds: shape.zoneDelayMilliseconds,
      regionDelayMilliseconds: shape.regionDelayMilliseconds,
      regionBitsPerSecond: shape.regionBitsPerSecond,
    })
    return Number(ready.port)
  }

  async #connectZones(hostListPorts: Readonly<Record<string, number>>): Promise<void> {
    for (const zone of this.zones) {
      const port = hostListPorts[zone] ?? 0
      await this.#network.connect([zone], { id: hostListTarget(zone), zone: PLATFORM_ZONE, port })
    }
    const store = { id: 'store', zone: PLATFORM_ZONE, port: this.platform.storePort }
    const destinations = [
      store,
      ...this.plan.databases.flatMap(database => database.servers),
      ...this.plan.entryHosts.map(host => ({ id: host.id, zone: host.zone, port: host.agentPort })),
    ]
    for (const destination of destinations) await this.#network.connect(this.zones, destination)
  }

  async #startDatabase(database: PlannedDatabase): Promise<void> {
    const [primary] = database.servers
    if (primary === undefined) return
    await Promise.all(database.servers.map(server => this.#startServer(server, server === primary)))
    for (const replica of database.servers.slice(1)) {
      const port = this.#network.portFrom(replica.zone, primary.id)
      await askBackendServer(replica.port, followStatement(FIRST_TERM, LOOPBACK, port))
    }
  }

  async #startServer(server: PlannedServer, isPrimary: boolean): Promise<void> {
    const { shape } = this.plan
    await this.#start(server.id, programPath('stand-ins', 'backendServer/main.js'), {
      port: server.port,
      dataFile: join(this.directory, `${server.id}.data`),
      initialRole: isPrimary ? 'primary' : 'replica',
      initialTerm: FIRST_TERM,
      slots: shape.slots,
      connectionLimit: shape.connectionLimit,
      connectMilliseconds: shape.connectMilliseconds,
      serviceMilliseconds: this.#options.serviceMilliseconds ?? 0,
      routes: this.#routesOf(server),
    })
  }

  /**
   * Maps the ports under which other zones know a peer to the one that works in this server's zone,
   * because a server may be given a peer's address as seen from another zone.
   */
  #routesOf(server: PlannedServer): readonly { fromPort: number; toPort: number }[] {
    const peers = this.plan.databases
      .filter(database => database.id === server.database)
      .flatMap(database => database.servers)
    return peers.flatMap(peer => {
      const toPort = this.#network.portFrom(server.zone, peer.id)
      const knownPorts = [
        peer.port,
        ...this.zones.map(zone => this.#network.portFrom(zone, peer.id)),
      ]
      return [...new Set(knownPorts)].map(fromPort => ({ fromPort, toPort }))
    })
  }

  /** The address of each listed host as seen from each zone. */
  #routes(): readonly ZoneRoute[] {
    const servers = this.plan.databases.flatMap(database => database.servers)
    const hostIds = [...servers, ...this.plan.entryHosts].map(host => host.id)
    return hostIds.flatMap(hostId =>
      this.zones.map(zone => ({
        zone,
        hostId,
        address: LOOPBACK,
        port: this.#network.portFrom(zone, hostId),
      })),
    )
  }

  async #startEntryHost(host: PlannedEntryHost): Promise<void> {
    const common = { entryHost: host.id, zone: host.zone, region: host.region }
    const endpoint = (port: number): { address: string; port: number } => ({
      address: LOOPBACK,
      port,
    })
    await this.#start(agentProcessId(host), programPath('agent', 'main.js'), {
      ...common,
      listen: endpoint(host.agentPort),
      proxyListen: endpoint(host.proxyListenPort),
      store: endpoint(this.#network.portFrom(host.zone, 'store')),
      hostList: endpoint(this.#network.portFrom(host.zone, hostListTarget(host.zone))),
      ...this.#options.agentSettings,
    })
    await this.#start(proxyProcessId(host), programPath('proxy', 'main.js'), {
      ...common,
      listen: endpoint(host.proxyPort),
      agent: endpoint(host.proxyListenPort),
      ...this.#options.proxySettings,
    })
  }

  #zonesOtherThan(zone: AvailabilityZoneId): readonly AvailabilityZoneId[] {
    return [PLATFORM_ZONE, ...this.zones.filter(other => other !== zone)]
  }
}

export const agentProcessId = (host: PlannedEntryHost): string => `agent-of-${host.id}`
export const proxyProcessId = (host: PlannedEntryHost): string => `proxy-of-${host.id}`
const hostListTarget = (zone: AvailabilityZoneId): string => `${HOST_LIST}-for-${zone}`
