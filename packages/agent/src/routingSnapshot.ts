/** Builds the snapshot that this host's proxies need for routing from the state of the agent. */
import type { ConfigurationCore } from '@nutmegcourse/coordination'
import type { GroupRecord, RoutingSnapshot } from '@nutmegcourse/protocol'
import type { EntryHostId, Milliseconds } from '@nutmegcourse/shared'
import type { KnownHosts } from './knownHosts.js'

export interface SnapshotSources {
  readonly sequence: number
  readonly entryHost: EntryHostId
  readonly now: Milliseconds
  readonly configuration: ConfigurationCore
  readonly records: readonly GroupRecord[]
  readonly hosts: KnownHosts
  readonly entryHostCount: number
}

export function buildSnapshot(sources: SnapshotSources): RoutingSnapshot {
  const { sequence, entryHost, now, configuration, records, hosts, entryHostCount } = sources
  const groups = records.map(record => ({
    record,
    backendServers: hosts.serversOf(record.database),
  }))
  return {
    sequence,
    entryHost,
    targets: configuration.inForce(now),
    targetsConfirmed: configuration.confirmed(now),
    groups,
    entryHostCount: Math.max(1, entryHostCount),
  }
}
