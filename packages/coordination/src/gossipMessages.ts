/** The interface of the news machine: what one host knows, and how it reaches the others. */
import type { NewsItem, NewsVersion } from '@nutmegcourse/protocol'
import type { EntryHostId } from '@nutmegcourse/shared'

/** A key and the version that a host holds of it. */
export type HeldVersion = readonly [string, NewsVersion]

export type NewsMessage =
  /** This host learned it from the store or made it. */
  | { readonly kind: 'learned'; readonly item: NewsItem }
  | { readonly kind: 'peerConnected'; readonly peer: EntryHostId }
  | { readonly kind: 'peerDisconnected'; readonly peer: EntryHostId }
  | {
      readonly kind: 'batchReceived'
      readonly peer: EntryHostId
      readonly items: readonly NewsItem[]
    }
  /** The peer took the last batch; the next may leave. */
  | { readonly kind: 'batchTaken'; readonly peer: EntryHostId }
  /** The digest root that came with a heartbeat of the peer. */
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
      readonly items: readonly NewsItem[]
    }
  /** The fetch is answered, or failed. */
  | { readonly kind: 'fetchEnded'; readonly peer: EntryHostId }

export type NewsEffect =
  /** Something newer is known: whoever acts on it should. */
  | { readonly kind: 'changed'; readonly item: NewsItem }
  /** Answer with `batchTaken` once the peer has it. */
  | {
      readonly kind: 'sendBatch'
      readonly peer: EntryHostId
      readonly items: readonly NewsItem[]
    }
  /** Asks the peer for its versions where the digests differ. */
  | {
      readonly kind: 'compare'
      readonly peer: EntryHostId
      readonly buckets: readonly number[]
    }
  /** Asks the peer for these items; what comes is a `fetched`, and in any case a `fetchEnded`. */
  | { readonly kind: 'fetch'; readonly peer: EntryHostId; readonly keys: readonly string[] }
