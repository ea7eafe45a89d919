/** The status and resource usage that an agent reports to operators and benchmarks. */
import type { AgentStatusResult, AgentUsageResult, ControlTraffic } from '@nutmegcourse/protocol'
import type { AgentSettings } from '@nutmegcourse/settings'
import type { Milliseconds } from '@nutmegcourse/shared'
import type { HostListClient, StoreClient } from '@nutmegcourse/transport'
import type { FleetTask } from './fleetTask.js'

export interface ReportSources {
  readonly settings: AgentSettings
  /** Null until the agent has started. */
  readonly fleet: FleetTask | null
  readonly watched: AgentStatusResult['watched']
  readonly groups: AgentStatusResult['groups']
  readonly store: StoreClient
  readonly hostList: HostListClient
  readonly storeReachable: boolean
  readonly proxies: number
  readonly counters: Readonly<Record<string, number>>
}

const NO_TRAFFIC = { sent: 0, received: 0 }

export function describeUsage(sources: ReportSources): AgentUsageResult {
  const { fleet, groups, watched, counters } = sources
  const { user, system } = process.cpuUsage()
  return {
    hosts: fleet?.membership.members().length ?? 0,
    groups: groups.length,
    watched,
    targetsVersion: fleet?.configuration.newest?.version ?? null,
    links: fleet?.network.linkedPeers.length ?? 0,
    processorMicroseconds: user + system,
    residentBytes: process.memoryUsage.rss(),
    counters,
    traffic: describeTraffic(sources),
  }
}

export function describeStatus(sources: ReportSources, now: Milliseconds): AgentStatusResult {
  const { fleet, groups, watched, counters, proxies, storeReachable } = sources
  const { entryHost, zone, region } = sources.settings
  const drains = fleet?.gossip.get('drains')
  return {
    entryHost,
    zone,
    region,
    members: fleet?.membership.members() ?? [],
    watched,
    groups,
    targetsVersion: fleet?.configuration.newest?.version ?? null,
    targetsConfirmed: fleet?.configuration.confirmed(now) ?? false,
    confirmationAgeMilliseconds: fleet?.configuration.confirmationAge(now) ?? null,
    storeReachable,
    drains: drains?.kind === 'drains' ? drains.drains : null,
    proxies,
    peers: fleet?.network.linkedPeers ?? [],
    counters,
    traffic: describeTraffic(sources),
  }
}

function describeTraffic({ fleet, store, hostList }: ReportSources): ControlTraffic {
  return {
    peers: fleet?.network.traffic ?? NO_TRAFFIC,
    store: store.traffic,
    hostList: hostList.traffic,
  }
}
