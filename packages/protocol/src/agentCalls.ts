/** JSON-RPC methods for operators' tools, on an agent's `listen` port. */
import type {
  AvailabilityZoneId,
  ClassName,
  DatabaseId,
  EntryHostId,
  RegionId,
  SessionId,
} from '@nutmegcourse/shared'
import type { DrainList } from './drains.js'
import type { GroupRecord } from './databaseGroup.js'
import type { Member } from './member.js'
import type { VersionedTargets } from './snapshot.js'

/** `agent.status`, no parameters. */
export interface AgentStatusResult {
  readonly entryHost: EntryHostId
  readonly zone: AvailabilityZoneId
  readonly region: RegionId
  readonly members: readonly Member[]
  /** Databases that this host watches. */
  readonly watched: readonly DatabaseId[]
  readonly groups: readonly GroupRecord[]
  readonly targetsVersion: number | null
  readonly targetsConfirmed: boolean
  /** Since the targets were last known to be the newest; null if never since the agent started. */
  readonly confirmationAgeMilliseconds: number | null
  readonly storeReachable: boolean
  readonly drains: DrainList | null
  readonly proxies: number
  readonly peers: readonly EntryHostId[]
  readonly counters: Readonly<Record<string, number>>
  readonly traffic: ControlTraffic
}

/** `agent.usage`, no parameters: the agent's resource usage. Small, so that polling it is cheap. */
export interface AgentUsageResult {
  /** Entry hosts that it knows of; `groups` counts the databases. */
  readonly hosts: number
  readonly groups: number
  readonly watched: readonly DatabaseId[]
  readonly targetsVersion: number | null
  /** Open links to other agents. */
  readonly links: number
  /** Processor time since the agent started. */
  readonly processorMicroseconds: number
  readonly residentBytes: number
  readonly counters: Readonly<Record<string, number>>
  readonly traffic: ControlTraffic
}

/** Bytes that this agent sent and received since it started, by remote side. */
export interface ControlTraffic {
  readonly peers: TrafficTotal
  readonly store: TrafficTotal
  readonly hostList: TrafficTotal
}

export interface TrafficTotal {
  readonly sent: number
  readonly received: number
}

/** `agent.explain`: the last changes of a database's primary, as this agent and its peers saw them. */
export interface AgentExplainParams {
  readonly database: DatabaseId
}
export interface AgentExplainResult {
  readonly database: DatabaseId
  readonly record: GroupRecord | null
  /** Ordered by time; hosts' wall clocks may differ a little. */
  readonly events: readonly ExplainedEvent[]
  /** Live peers that did not answer, so that their events may be missing. */
  readonly silentPeers: readonly EntryHostId[]
}

/** `agent.events` takes the same parameters and answers the agent's own `ExplainedEvent[]`. */
export interface ExplainedEvent {
  readonly entryHost: EntryHostId
  /** Wall clock, milliseconds since 1970. */
  readonly at: number
  readonly step: string
  readonly term: number
  readonly detail: string
}

/** `agent.getTargets`, no parameters: the newest targets this agent knows, regardless of what the store holds. */
export interface AgentGetTargetsResult {
  readonly targets: VersionedTargets | null
  readonly confirmed: boolean
}

/**
 * `agent.explainRouting`: why the proxies of this host route a class's or a session's requests as they
 * do, one explanation per proxy and database.
 */
export type AgentExplainRoutingParams =
  | { readonly kind: 'class'; readonly name: ClassName }
  | { readonly kind: 'session'; readonly name: SessionId }

export interface RoutingExplained {
  readonly database: DatabaseId
  readonly lines: readonly string[]
}

export interface AgentExplainRoutingResult {
  readonly entryHost: EntryHostId
  readonly explanations: readonly RoutingExplained[]
  /** Proxies of this host that did not answer. */
  readonly silentProxies: number
}
