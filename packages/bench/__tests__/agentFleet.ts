/**
 * Runs agents as processes with stand-ins of the platform and one database, and subscribes to each.
 */
import {
  GROUP_KEY_PREFIX,
  TARGETS_KEY,
  type ListedBackendServer,
  type ListedHost,
  type RoutingSnapshot,
  type StoredValue,
  type VersionedTargets,
} from '@nutmegcourse/protocol'
import {
  availabilityZoneId,
  backendServerId,
  className,
  databaseId,
  entryHostId,
  regionId,
} from '@nutmegcourse/shared'
import {
  BackendServer,
  HostListServer,
  StoreServer,
  backendServerSettingsSchema,
  hostListSettingsSchema,
  storeSettingsSchema,
} from '@nutmegcourse/stand-ins'
import { openJsonRpc, type JsonRpcConnection } from '@nutmegcourse/transport'
import { AgentProcess } from '../src/fleet/agentProcess.js'

const LOOPBACK = '127.0.0.1'
const TIMEOUT_MILLISECONDS = 5000
const ZONES = ['tanger-nord', 'tanger-sud', 'casa-est']
const DATABASE = databaseId('quai')

const locationOf = (index: number) => ({
  zone: availabilityZoneId(ZONES[index % ZONES.length] ?? ''),
  region: regionId(index % ZONES.length === 2 ? 'casa' : 'tanger'),
})

export const targetsDocument = (
  version: number,
  changeId: string,
  freshnessMilliseconds = 1000,
): VersionedTargets => ({
  version,
  changeId,
  changedBy: 'operator',
  recentChangeIds: [],
  targets: {
    service: 'quai-sched',
    classes: [
      {
        name: className('lookup'),
        access: 'read',
        idempotent: true,
        freshnessMilliseconds,
        latencyMilliseconds: 500,
        replicaReadShare: 0.5,
      },
    ],
    defaults: [],
  },
})

/** An agent with a stand-in for its proxy, which sends no writes and says so, as proxies do. */
export class SubscribedAgent {
  readonly process: AgentProcess
  readonly #proxy: StandInProxy

  constructor(process: AgentProcess, proxy: StandInProxy) {
    this.process = process
    this.#proxy = proxy
  }

  /** The last snapshot that the proxy received. */
  get snapshot(): RoutingSnapshot | null {
    return this.#proxy.snapshot
  }

  /** Whether the proxy reports that it holds its writes for a planned move. */
  set reportsMoves(reports: boolean) {
    this.#proxy.reportsMoves = reports
    reportHeldWrites(this.#proxy)
  }

  get phase(): string | null {
    return this.snapshot?.groups[0]?.record.phase.kind ?? null
  }

  get changeId(): string | null {
    return this.snapshot?.targets?.changeId ?? null
  }

  get primary(): string | null {
    const record = this.snapshot?.groups[0]?.record
    return record?.phase.kind === 'stable' ? record.primary : null
  }

  /** Backend servers that are leaving according to the snapshot. */
  get leaving(): readonly string[] {
    const servers = this.snapshot?.groups[0]?.backendServers ?? []
    return servers.filter(server => server.state === 'leaving').map(server => server.id)
  }
}

interface StandInProxy {
  snapshot: RoutingSnapshot | null
  connection: JsonRpcConnection | null
  reportsMoves: boolean
}

function reportHeldWrites({ snapshot, connection, reportsMoves }: StandInProxy): void {
  if (!reportsMoves) return
  for (const { record } of snapshot?.groups ?? []) {
    const { database, attempt } = record
    if (record.phase.kind === 'moving')
      connection?.notify('agent.writesHeld', { database, attempt })
  }
}

export class AgentFleet {
  readonly agents: SubscribedAgent[] = []
  readonly #servers: BackendServer[] = []
  #store = new StoreServer(storeSettingsSchema.parse({}))
  readonly #hostList = new HostListServer(hostListSettingsSchema.parse({}))
  readonly #connections: JsonRpcConnection[] = []
  #storePort = 0
  #hostListPort = 0

  static async start(agents: number): Promise<AgentFleet> {
    const fleet = new AgentFleet()
    await fleet.#startPlatform()
    for (let index = 0; index < agents; index += 1) await fleet.addAgent()
    return fleet
  }

  async addAgent(): Promise<SubscribedAgent> {
    const index = this.agents.length
    const id = entryHostId(`host-${index}`)
    const location = { entryHost: id, ...locationOf(index) }
    const process = await AgentProcess.start(location, this.#storePort, this.#hostListPort)
    const { listen, proxyListen } = process.ports
    const host = { address: LOOPBACK, port: listen, ...locationOf(index), state: 'live' } as const
    await this.#listHosts([{ kind: 'entryHost', id, ...host }])
    const proxy: StandInProxy = { snapshot: null, connection: null, reportsMoves: true }
    const connection = await this.#connect(proxyListen, {
      'proxy.snapshot': params => {
        proxy.snapshot = params as RoutingSnapshot
        reportHeldWrites(proxy)
      },
    })
    proxy.connection = connection
    await connection.request('agent.subscribe', null, TIMEOUT_MILLISECONDS)
    const agent = new SubscribedAgent(process, proxy)
    this.agents.push(agent)
    return agent
  }

  agent(index: number): SubscribedAgent {
    const found = this.agents[index]
    if (found === undefined) throw new Error(`no agent ${index}`)
    return found
  }

  killServer(index: number): void {
    this.#servers[index]?.stop()
  }

  /** Stores a value as an operator would, replacing any current value. */
  async put(key: string, value: unknown): Promise<void> {
    const store = await this.#connect(this.#storePort)
    const current = await this.#request<StoredValue | null>(store, 'store.get', { key })
    const expectedRevision = current?.revision ?? 0
    await this.#request(store, 'store.compareAndSwap', { key, expectedRevision, value })
  }

  async get(key: string): Promise<unknown> {
    const store = await this.#connect(this.#storePort)
    return (await this.#request<StoredValue | null>(store, 'store.get', { key }))?.value
  }

  async setStoreOutage(outage: boolean): Promise<void> {
    await this.#request(await this.#connect(this.#storePort), 'fault.set', { outage })
  }

  /** Restarts the store at the same port from an older copy, which contains only these targets. */
  async restoreStore(document: VersionedTargets): Promise<void> {
    this.#store.stop()
    this.#store = new StoreServer(storeSettingsSchema.parse({ port: this.#storePort }))
    await this.#store.start()
    await this.put(TARGETS_KEY, document)
  }

  async stop(): Promise<void> {
    for (const connection of this.#connections) connection.close()
    await Promise.all(this.agents.map(agent => agent.process.stop().catch(() => undefined)))
    this.#store.stop()
    this.#hostList.stop()
    for (const server of this.#servers) server.stop()
  }

  async #startPlatform(): Promise<void> {
    this.#storePort = await this.#store.start()
    this.#hostListPort = (await this.#hostList.start()).port
    const listed: ListedBackendServer[] = []
    for (const index of ZONES.keys()) listed.push(await this.#startServer(index))
    await this.#listHosts(listed)
    const primary = backendServerId('quai-0')
    await this.put(`${GROUP_KEY_PREFIX}${DATABASE}`, {
      database: DATABASE,
      term: 1,
      primary,
      phase: { kind: 'stable' },
      coordinator: null,
      attempt: null,
      termStarts: [{ term: 1, primary, startsAfter: { term: 0, offset: 0 } }],
    })
  }

  async #startServer(index: number): Promise<ListedBackendServer> {
    const initialRole = index === 0 ? 'primary' : 'replica'
    const settings = backendServerSettingsSchema.parse({ initialRole, initialTerm: 1 })
    const server = new BackendServer(settings)
    this.#servers.push(server)
    return {
      kind: 'backendServer',
      id: backendServerId(`quai-${index}`),
      database: DATABASE,
      address: LOOPBACK,
      port: await server.start(),
      ...locationOf(index),
      state: 'live',
      slots: 3,
      connectionLimit: 25,
    }
  }

  async #listHosts(hosts: readonly ListedHost[]): Promise<void> {
    await this.#request(await this.#connect(this.#hostListPort), 'hosts.set', { hosts })
  }

  async #connect(
    port: number,
    handlers: Readonly<Record<string, (params: unknown) => unknown>> = {},
  ): Promise<JsonRpcConnection> {
    const opened = await openJsonRpc(LOOPBACK, port, handlers, TIMEOUT_MILLISECONDS)
    const connection = opened._unsafeUnwrap()
    this.#connections.push(connection)
    return connection
  }

  async #request<Answer>(
    connection: JsonRpcConnection,
    method: string,
    params: unknown,
  ): Promise<Answer> {
    const answer = await connection.request<Answer>(method, params, TIMEOUT_MILLISECONDS)
    return answer._unsafeUnwrap()
  }
}
