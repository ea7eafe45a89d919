/** Measures one production agent with the traffic that a fleet of a given size would send it. */
import { setTimeout as pause } from 'node:timers/promises'
import { WatcherPlan, type HostLocation, type Watcher } from '@nutmegcourse/coordination'
import type { ListedBackendServer, GossipItem } from '@nutmegcourse/protocol'
import { SeededRandom, databaseId, term } from '@nutmegcourse/shared'
import { BackendServer, backendServerSettingsSchema } from '@nutmegcourse/stand-ins'
import { openJsonRpc } from '@nutmegcourse/transport'
import { AgentProcess } from './agentProcess.js'
import { CountingPipe } from './countingPipe.js'
import { FakePeers } from './fakePeers.js'
import {
  groupRecordOf,
  hostLocations,
  listedHost,
  memberOf,
  serversOf,
  type FleetSize,
} from './fleetShape.js'
import { FakeStore, fakeHostList, targetsOf } from './platformFakes.js'

const LOOPBACK = '127.0.0.1'
/** Covers the agent's settling time and the just-in-time compilation of its code. */
const SETTLE_MILLISECONDS = 6000
const QUIET_MILLISECONDS = 5000
const START_TIMEOUT_MILLISECONDS = 20_000
const POLL_MILLISECONDS = 250
const EVENTS = 20
const EVENT_SPACING_MILLISECONDS = 75
/**
 * Port of backend servers that are never contacted, as the agent does not watch their databases.
 */
const UNUSED_PORT = 9
const SEED = 4
const MEGABYTE = 1024 * 1024
const MICROSECONDS_PER_SECOND = 1_000_000

/** Rates per second while there are no events. */
export interface QuietCost {
  readonly peerBytes: number
  readonly watchBytes: number
  readonly storeBytes: number
  readonly hostListBytes: number
  readonly messages: number
  /** As a share of one core. */
  readonly processorShare: number
  readonly storeCalls: number
}

/** Additional cost of one event. */
export interface EventCost {
  /** Traffic with other agents. */
  readonly bytes: number
  readonly processorMilliseconds: number
}

export type EventKind = 'configurationChange' | 'memberChange' | 'groupChange'

export interface Measurement {
  readonly hosts: number
  readonly databases: number
  readonly watchedDatabases: number
  readonly links: number
  /** From the start of the process until it knows every host and database. */
  readonly startMilliseconds: number
  readonly quiet: QuietCost
  readonly events: Readonly<Record<EventKind, EventCost>>
  readonly residentMegabytes: number
}

export interface MeasureOptions {
  readonly hostListKnowsVersions: boolean
}

interface Totals {
  readonly peerBytes: number
  readonly watchBytes: number
  readonly storeBytes: number
  readonly hostListBytes: number
  readonly messages: number
  readonly processorSeconds: number
  readonly storeCalls: number
  readonly at: number
}

/** The fakes and backend servers around the measured agent. */
class AgentEnvironment {
  readonly locations: readonly HostLocation[]
  readonly peers: FakePeers
  readonly #size: FleetSize
  readonly #options: MeasureOptions
  readonly #servers: BackendServer[] = []
  readonly #pipes: CountingPipe[] = []
  readonly #closers: (() => void)[] = []
  #startedAt = 0

  constructor(size: FleetSize, options: MeasureOptions) {
    this.#size = size
    this.#options = options
    this.locations = hostLocations(size)
    this.peers = new FakePeers(this.locations, this.measuredHost.entryHost, new SeededRandom(SEED))
  }

  /** When the agent's process was started. */
  get startedAt(): number {
    return this.#startedAt
  }

  get measuredHost(): HostLocation {
    const [first] = this.locations
    if (first === undefined) throw new Error('the fleet has no hosts')
    return first
  }

  /** Bytes between the agent and the backend servers that it watches. */
  get watchBytes(): number {
    return this.#pipes.reduce((sum, pipe) => sum + pipe.bytes, 0)
  }

  async startAgent(): Promise<AgentProcess> {
    const ports = await this.peers.listen()
    for (const location of this.locations) {
      const port = ports.get(location.entryHost)
      if (port !== undefined)
        this.#addToGossip({ kind: 'member', member: memberOf(location, port) })
    }
    const records = Array.from({ length: this.#size.databases }, (_, index) => groupRecordOf(index))
    for (const record of records) this.#addToGossip({ kind: 'group', record, revision: 1 })
    this.#addToGossip({ kind: 'targets', document: targetsOf(1) })
    const store = new FakeStore(records)
    const entryHosts = this.locations.map(location =>
      listedHost(location, ports.get(location.entryHost) ?? 0),
    )
    const hosts = [...entryHosts, ...(await this.#startServers())]
    const hostList = fakeHostList(hosts, this.#options.hostListKnowsVersions)
    this.#closers.push(
      () => {
        store.stop()
      },
      () => {
        hostList.stop()
      },
    )
    const dialers = this.peers.findDialers()
    this.#startedAt = performance.now()
    const agent = await AgentProcess.start(
      this.measuredHost,
      await store.start(),
      await hostList.start(),
    )
    await this.peers.dial(dialers, agent.ports.listen)
    await this.#subscribe(agent)
    return agent
  }

  stop(): void {
    this.peers.close()
    for (const pipe of this.#pipes) pipe.stop()
    for (const server of this.#servers) server.stop()
    for (const close of this.#closers) close()
  }

  #addToGossip(item: GossipItem): void {
    this.peers.gossip.handle({ kind: 'learned', item })
  }

  /** Runs the backend servers of databases that the agent watches; the others are only listed. */
  async #startServers(): Promise<readonly ListedBackendServer[]> {
    const plan = new WatcherPlan(this.locations)
    const listed: ListedBackendServer[] = []
    for (let index = 0; index < this.#size.databases; index += 1) {
      const servers = serversOf(index, this.#size, UNUSED_PORT)
      const watchers = plan.watchersOf(databaseId(`db-${index}`), servers)
      const isWatched = watchers.some(watcher => watcher.entryHost === this.measuredHost.entryHost)
      if (isWatched) this.#addOpinions(watchers, servers)
      listed.push(...(isWatched ? await this.#runServers(servers) : servers))
    }
    return listed
  }

  #addOpinions(watchers: readonly Watcher[], servers: readonly ListedBackendServer[]): void {
    const [primary] = servers
    if (primary === undefined) return
    for (const { entryHost, zone, region } of watchers) {
      if (entryHost === this.measuredHost.entryHost) continue
      const { database, id: about } = primary
      const view = { about, term: term(1), suspected: false, sequence: 1 }
      this.peers.addOpinion({ database, watcher: entryHost, zone, region, ...view })
    }
  }

  async #runServers(
    servers: readonly ListedBackendServer[],
  ): Promise<readonly ListedBackendServer[]> {
    const running: ListedBackendServer[] = []
    for (const [index, listed] of servers.entries()) {
      const initialRole = index === 0 ? 'primary' : 'replica'
      const settings = backendServerSettingsSchema.parse({ initialRole, initialTerm: 1 })
      const server = new BackendServer(settings)
      const pipe = new CountingPipe()
      this.#servers.push(server)
      this.#pipes.push(pipe)
      running.push({ ...listed, port: await pipe.start(await server.start()) })
    }
    return running
  }

  /** Subscribes one proxy, which receives every snapshot. */
  async #subscribe(agent: AgentProcess): Promise<void> {
    const port = agent.ports.proxyListen
    const opened = await openJsonRpc(LOOPBACK, port, {}, QUIET_MILLISECONDS)
    const connection = opened._unsafeUnwrap()
    await connection.request('agent.subscribe', null, QUIET_MILLISECONDS)
    this.#closers.push(() => {
      connection.close()
    })
  }
}

export async function measureAgent(size: FleetSize, options: MeasureOptions): Promise<Measurement> {
  const environment = new AgentEnvironment(size, options)
  const agent = await environment.startAgent()
  try {
    await waitUntilFleetKnown(agent, size)
    const startMilliseconds = performance.now() - environment.startedAt
    await pause(SETTLE_MILLISECONDS)
    const quiet = await measureQuietCost(agent, environment)
    const events = {
      configurationChange: await measureEventCost(agent, environment, quiet, change => ({
        kind: 'targets',
        document: targetsOf(change),
      })),
      memberChange: await measureEventCost(agent, environment, quiet, change => {
        const location = environment.locations[change % size.hosts] ?? environment.measuredHost
        const other =
          location === environment.measuredHost ? (environment.locations[1] ?? location) : location
        return { kind: 'member', member: memberOf(other, UNUSED_PORT, change) }
      }),
      groupChange: await measureEventCost(agent, environment, quiet, change => ({
        kind: 'group',
        record: groupRecordOf(change % size.databases),
        revision: change,
      })),
    }
    const { watched, residentBytes } = await agent.usage()
    return {
      ...size,
      watchedDatabases: watched.length,
      links: environment.peers.links,
      startMilliseconds,
      quiet,
      events,
      residentMegabytes: residentBytes / MEGABYTE,
    }
  } finally {
    await agent.stop()
    environment.stop()
  }
}

async function waitUntilFleetKnown(agent: AgentProcess, size: FleetSize): Promise<void> {
  const deadline = performance.now() + START_TIMEOUT_MILLISECONDS
  while (performance.now() < deadline) {
    const { hosts, groups } = await agent.usage()
    if (hosts >= size.hosts && groups >= size.databases) return
    await pause(POLL_MILLISECONDS)
  }
  throw new Error(
    `the agent did not know all hosts and databases within ${START_TIMEOUT_MILLISECONDS} ms`,
  )
}

async function measureQuietCost(
  agent: AgentProcess,
  environment: AgentEnvironment,
): Promise<QuietCost> {
  const before = await readTotals(agent, environment)
  await pause(QUIET_MILLISECONDS)
  const after = await readTotals(agent, environment)
  const seconds = (after.at - before.at) / 1000
  const rate = (key: keyof Totals): number => (after[key] - before[key]) / seconds
  return {
    peerBytes: rate('peerBytes'),
    watchBytes: rate('watchBytes'),
    storeBytes: rate('storeBytes'),
    hostListBytes: rate('hostListBytes'),
    messages: rate('messages'),
    processorShare: rate('processorSeconds'),
    storeCalls: rate('storeCalls'),
  }
}

async function measureEventCost(
  agent: AgentProcess,
  environment: AgentEnvironment,
  quiet: QuietCost,
  eventOf: (change: number) => GossipItem,
): Promise<EventCost> {
  const before = await readTotals(agent, environment)
  for (let change = 2; change < EVENTS + 2; change += 1) {
    environment.peers.inject(eventOf(change))
    await pause(EVENT_SPACING_MILLISECONDS)
  }
  const after = await readTotals(agent, environment)
  const seconds = (after.at - before.at) / 1000
  const peerBytes = after.peerBytes - before.peerBytes - quiet.peerBytes * seconds
  const spent = after.processorSeconds - before.processorSeconds - quiet.processorShare * seconds
  return {
    bytes: Math.max(0, peerBytes / EVENTS),
    processorMilliseconds: Math.max(0, (spent * 1000) / EVENTS),
  }
}

async function readTotals(agent: AgentProcess, environment: AgentEnvironment): Promise<Totals> {
  const { traffic, counters, processorMicroseconds } = await agent.usage()
  const bytes = (part: { sent: number; received: number }): number => part.sent + part.received
  const calls = Object.entries(counters).filter(([name]) => name.startsWith('store.call'))
  return {
    peerBytes: bytes(traffic.peers),
    watchBytes: environment.watchBytes,
    storeBytes: bytes(traffic.store),
    hostListBytes: bytes(traffic.hostList),
    messages: environment.peers.messages,
    processorSeconds: processorMicroseconds / MICROSECONDS_PER_SECOND,
    storeCalls: calls.reduce((sum, [, count]) => sum + count, 0),
    at: performance.now(),
  }
}
