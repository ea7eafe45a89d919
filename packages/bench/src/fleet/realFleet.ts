/** Measures a small fleet of real agents over loopback, to validate the results with fakes. */
import { setTimeout as pause } from 'node:timers/promises'
import { WatcherPlan } from '@nutmegcourse/coordination'
import { databaseId } from '@nutmegcourse/shared'
import type { AgentUsageResult, ListedHost } from '@nutmegcourse/protocol'
import { BackendServer, backendServerSettingsSchema } from '@nutmegcourse/stand-ins'
import { AgentProcess } from './agentProcess.js'
import {
  groupRecordOf,
  hostLocations,
  listedHost,
  serversOf,
  type FleetSize,
} from './fleetShape.js'
import { FakeStore, fakeHostList, targetsOf } from './platformFakes.js'

const SETTLE_MILLISECONDS = 9000
const QUIET_MILLISECONDS = 6000
const POLL_MILLISECONDS = 250
const START_TIMEOUT_MILLISECONDS = 20_000

export interface RealFleetMeasurement extends FleetSize {
  /** Figures of the first host, which is the one measured with fakes. Bytes are per second. */
  readonly firstPeerBytes: number
  readonly firstProcessorShare: number
  readonly firstLinks: number
  /** Means over all agents. */
  readonly meanPeerBytes: number
  readonly meanProcessorShare: number
  readonly meanResidentMegabytes: number
  /** Calls per second of all agents together. */
  readonly storeCalls: number
  /** Time from a change in the store until all agents have applied it, over several changes. */
  readonly changeMilliseconds: { readonly median: number; readonly worst: number }
  /** Number of hosts that watch any database, and the most databases watched by one host. */
  readonly watchingHosts: number
  readonly mostWatched: number
}

const CHANGES = 20
const CHANGE_POLL_MILLISECONDS = 5
const MEGABYTE = 1024 * 1024
const MICROSECONDS_PER_SECOND = 1_000_000

export async function measureRealFleet(size: FleetSize): Promise<RealFleetMeasurement> {
  const locations = hostLocations(size)
  const records = Array.from({ length: size.databases }, (_, index) => groupRecordOf(index))
  const servers: BackendServer[] = []
  const hosts: ListedHost[] = []
  for (let index = 0; index < size.databases; index += 1) {
    for (const [position, listed] of serversOf(index, size, 0).entries()) {
      const initialRole = position === 0 ? 'primary' : 'replica'
      const settings = backendServerSettingsSchema.parse({ initialRole, initialTerm: 1 })
      const server = new BackendServer(settings)
      servers.push(server)
      hosts.push({ ...listed, port: await server.start() })
    }
  }
  const store = new FakeStore(records)
  // Hosts are added to the list while agents start, so an agent starts with those listed so far.
  // The version stays the same, so the list must not answer `unchanged`.
  const hostList = fakeHostList(hosts, false)
  const storePort = await store.start()
  const hostListPort = await hostList.start()
  const agents: AgentProcess[] = []
  try {
    for (const location of locations) {
      const agent = await AgentProcess.start(location, storePort, hostListPort)
      agents.push(agent)
      hosts.push(listedHost(location, agent.ports.listen))
    }
    await waitUntilFleetKnown(agents, size)
    await pause(SETTLE_MILLISECONDS)
    const before = await Promise.all(agents.map(agent => agent.usage()))
    const from = performance.now()
    await pause(QUIET_MILLISECONDS)
    const after = await Promise.all(agents.map(agent => agent.usage()))
    const summary = summarise(size, before, after, (performance.now() - from) / 1000)
    return { ...summary, changeMilliseconds: await timeChanges(agents, store) }
  } finally {
    for (const agent of agents) await agent.stop()
    for (const server of servers) server.stop()
    store.stop()
    hostList.stop()
  }
}

/**
 * Watched databases of each host according to the plan, for a fleet of any size. Starts no process.
 */
export function watchedDatabasesPerHost(size: FleetSize): readonly number[] {
  const locations = hostLocations(size)
  const plan = new WatcherPlan(locations)
  const counts = new Map(locations.map(location => [location.entryHost, 0]))
  for (let index = 0; index < size.databases; index += 1) {
    for (const { entryHost } of plan.watchersOf(
      databaseId(`db-${index}`),
      serversOf(index, size, 0),
    )) {
      counts.set(entryHost, (counts.get(entryHost) ?? 0) + 1)
    }
  }
  return [...counts.values()]
}

async function waitUntilFleetKnown(
  agents: readonly AgentProcess[],
  size: FleetSize,
): Promise<void> {
  const deadline = performance.now() + START_TIMEOUT_MILLISECONDS
  while (performance.now() < deadline) {
    const usages = await Promise.all(agents.map(agent => agent.usage()))
    const allKnown = usages.every(
      ({ hosts, groups }) => hosts === size.hosts && groups === size.databases,
    )
    if (allKnown) return
    await pause(POLL_MILLISECONDS)
  }
  throw new Error('the agents did not know all hosts and databases in time')
}

async function timeChanges(
  agents: readonly AgentProcess[],
  store: FakeStore,
): Promise<RealFleetMeasurement['changeMilliseconds']> {
  const spans: number[] = []
  for (let version = 2; version < CHANGES + 2; version += 1) {
    const from = performance.now()
    store.changeTargets(targetsOf(version))
    await Promise.all(agents.map(agent => waitForVersion(agent, version)))
    spans.push(Math.round(performance.now() - from))
  }
  spans.sort((left, right) => left - right)
  return { median: spans[Math.floor(spans.length / 2)] ?? 0, worst: spans.at(-1) ?? 0 }
}

async function waitForVersion(agent: AgentProcess, version: number): Promise<void> {
  while (((await agent.usage()).targetsVersion ?? 0) < version)
    await pause(CHANGE_POLL_MILLISECONDS)
}

function summarise(
  size: FleetSize,
  before: readonly AgentUsageResult[],
  after: readonly AgentUsageResult[],
  seconds: number,
): Omit<RealFleetMeasurement, 'changeMilliseconds'> {
  const rates = after.map((usage, index) => {
    const former = before[index] ?? usage
    const bytes = ({ traffic }: AgentUsageResult): number =>
      traffic.peers.sent + traffic.peers.received
    const calls = ({ counters }: AgentUsageResult): number =>
      Object.entries(counters)
        .filter(([name]) => name.startsWith('store.call'))
        .reduce((sum, [, count]) => sum + count, 0)
    const processor = usage.processorMicroseconds - former.processorMicroseconds
    return {
      peerBytes: (bytes(usage) - bytes(former)) / seconds,
      processorShare: processor / MICROSECONDS_PER_SECOND / seconds,
      storeCalls: (calls(usage) - calls(former)) / seconds,
      watched: usage.watched.length,
      links: usage.links,
    }
  })
  const mean = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length
  return {
    ...size,
    firstPeerBytes: rates[0]?.peerBytes ?? 0,
    firstProcessorShare: rates[0]?.processorShare ?? 0,
    firstLinks: rates[0]?.links ?? 0,
    meanPeerBytes: mean(rates.map(rate => rate.peerBytes)),
    meanProcessorShare: mean(rates.map(rate => rate.processorShare)),
    meanResidentMegabytes: mean(after.map(usage => usage.residentBytes / MEGABYTE)),
    storeCalls: rates.reduce((sum, rate) => sum + rate.storeCalls, 0),
    watchingHosts: rates.filter(rate => rate.watched > 0).length,
    mostWatched: Math.max(...rates.map(rate => rate.watched)),
  }
}
