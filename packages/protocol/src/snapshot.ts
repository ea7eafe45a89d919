/**
 * What an agent sends to its proxies (JSON-RPC over loopback TCP), and what they report to it.
 * A proxy keeps using its last snapshot when its agent is gone; a stale one may make requests slower, but never
 * inconsistent.
 */
import type { AttemptId, BackendServerId, DatabaseId, EntryHostId } from '@nutmegcourse/shared'
import type { GroupRecord } from './databaseGroup.js'
import type { ListedHost } from './platform.js'
import type { Targets } from './targets.js'

export type ListedBackendServer = Extract<ListedHost, { kind: 'backendServer' }>

export interface GroupSnapshot {
  readonly record: GroupRecord
  readonly backendServers: readonly ListedBackendServer[]
}

/** `agent.subscribe` makes the agent send `proxy.snapshot` notifications, the whole state each time. */
export interface RoutingSnapshot {
  /** Grows with each change, until the agent restarts. */
  readonly sequence: number
  readonly entryHost: EntryHostId
  /** The newest accepted targets that this host knows; null until it has received any. */
  readonly targets: VersionedTargets | null
  /** False while this host cannot confirm that `targets` is the newest version. */
  readonly targetsConfirmed: boolean
  readonly groups: readonly GroupSnapshot[]
  /** The number of entry hosts that share each backend server's connections. */
  readonly entryHostCount: number
}

export interface VersionedTargets {
  /** Grows by one with each accepted change. */
  readonly version: number
  /** Lets a writer whose answer was lost recognise its own change. */
  readonly changeId: string
  readonly changedBy: string
  /**
   * Ids of the changes before this one, newest last. A writer whose answer was lost recognises its own change here
   * when later changes have followed it.
   */
  readonly recentChangeIds: readonly string[]
  readonly targets: Targets
}

export const RECENT_CHANGES_KEPT = 32

export const TARGETS_KEY = 'configuration/targets'

/** `agent.report`: a proxy's view of backend servers, sent when it changes. */
export interface ProxyReport {
  readonly database: DatabaseId
  readonly backendServer: BackendServerId
  readonly health: 'reachable' | 'unreachable'
}

/**
 * `agent.writesHeld`: this proxy sends no write while the planned move `attempt` is announced, and has
 * none in flight. Sent once for each attempt, and again after a reconnect.
 */
export interface HeldWrites {
  readonly database: DatabaseId
  readonly attempt: AttemptId
}
