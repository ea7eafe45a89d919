/** Messages and effects of the gossip state machine, which spreads versioned items between agents. */
import type { GossipItem, GossipVersion } from '@nutmegcourse/protocol'
import type { EntryHostId } from '@nutmegcourse/shared'

/** A key and the version of it that a host holds. */
export type HeldVersion = readonly [string, GossipVersion]

export type GossipMessage =
  /** This host read the item from the store or created it. */
  | { readonly kind: 'learned'; readonly item: GossipItem }
  | { readonly kind: 'peerConnected'; readonly peer: EntryHostId }
  | { readonly kind: 'peerDisconnected'; readonly peer: EntryHostId }
  | {
      readonly kind: 'batchReceived'
      readonly peer: EntryHostId
      readonly items: readonly GossipItem[]
    }
  /** The peer acknowledged the last batch; the next one may be sent. */
  | { readonly kind: 'batchTaken'; readonly peer: EntryHostId }
  /** The digest root in a heartbeat of the peer. */
  | { readonly kind: 'rootHeard'; readonly peer: EntryHostId; readonly root: number }
  /** The peer's versions in the buckets that differ. */
  | {
      readonly kind: 'compared'
      readonly peer: EntryHostId
      readonly versions: readonly HeldVersion[]
    }
  | { readonly kind: 'compareFailed'; readonly peer: EntryHostId }
  /** The answer to a `fetch`. */
  | {
      readonly kind: 'fetched'
      readonly peer: EntryHostId
      readonly items: readonly GossipItem[]
    }
  /** The fetch was answered or failed. */
  | { readonly kind: 'fetchEnded'; readonly peer: EntryHostId }

export type GossipEffect =
  /** A newer version of the item is held; components that depend on it should apply it. */
  | { readonly kind: 'changed'; readonly item: GossipItem }
  /** Sends a batch; answered with `batchTaken` once the peer has received it. */
  | {
      readonly kind: 'sendBatch'
      readonly peer: EntryHostId
      readonly items: readonly GossipItem[]
    }
  /** Requests the peer's versions in the buckets that differ. */
  | {
      readonly kind: 'compare'
      readonly peer: EntryHostId
      readonly buckets: readonly number[]
    }
  /** Requests these items from the peer; answered with `fetched` on success, and always with `fetchEnded`. */
  | { readonly kind: 'fetch'; readonly peer: EntryHostId; readonly keys: readonly string[] }
