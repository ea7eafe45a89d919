/** JSON-RPC between agents, on the agents' `listen` port; either side of a link may call. */
import type { AvailabilityZoneId, EntryHostId, Incarnation, RegionId } from '@nutmegcourse/shared'
import type { GossipItem, GossipVersion } from './gossip.js'
import type { HeldWrites } from './snapshot.js'

/** `peer.hello`: the first call on a link; the answer identifies the agent that was reached. */
export interface PeerHello {
  readonly entryHost: EntryHostId
  readonly zone: AvailabilityZoneId
  readonly region: RegionId
  readonly incarnation: Incarnation
}

/** A targets document and how long ago it was known to be the store's newest. */
export interface ConfirmationAge {
  readonly version: number
  readonly changeId: string
  readonly ageMilliseconds: number
}

/** `peer.ping`: a heartbeat, and the root of the sender's gossip digest. */
export interface PeerPingParams {
  readonly root: number
}
export interface PeerPingResult extends PeerPingParams {
  readonly confirmation: ConfirmationAge | null
}

/** `peer.news`: items newer than those that the sender believes the receiver to hold. Returns null. */
export interface PeerGossipParams {
  readonly items: readonly GossipItem[]
}

/** `peer.compare`: the sender's digest buckets; returns the receiver's versions in those that differ. */
export interface PeerCompareParams {
  readonly buckets: readonly number[]
}
export interface PeerCompareResult {
  readonly versions: readonly (readonly [string, GossipVersion])[]
}

/** `peer.fetch`: items by key. */
export interface PeerFetchParams {
  readonly keys: readonly string[]
}
export interface PeerFetchResult {
  readonly items: readonly GossipItem[]
}

/** `peer.probe`: whether the receiver can reach `subject`. */
export interface PeerProbeParams {
  readonly subject: EntryHostId
}
export interface PeerProbeResult {
  readonly reached: boolean
}

/** `peer.writesHeld`: sent to the coordinator of a planned move once all proxies of a host hold. Returns null. */
export interface PeerHeldWrites extends HeldWrites {
  readonly host: EntryHostId
}

// `peer.opinion` is a notification that carries a watcher's opinion; see packages/coordination.
