/**
 * Gossips versioned items to the fleet. A new item is flooded: it is pushed at once to every neighbour,
 * which relays it in turn. Anti-entropy, a comparison of digests with a neighbour, finds what a push
 * missed. Sans-I/O: takes one message, returns effects.
 */
import {
  compareGossipVersions,
  gossipKey,
  gossipVersion,
  type GossipItem,
  type GossipVersion,
} from '@nutmegcourse/protocol'
import { assertNever, type EntryHostId } from '@nutmegcourse/shared'
import { GossipDigest, bucketOf } from './gossipDigest.js'
import type { HeldVersion, GossipEffect, GossipMessage } from './gossipMessages.js'
import { DEFAULT_GOSSIP_QUEUE, GossipQueue, type GossipQueueOptions } from './gossipQueue.js'

/** Items in one message: enough to drain a burst, few enough not to delay a heartbeat. */
const BATCH_ITEMS = 64
const FETCH_BATCH_KEYS = 256
/** Fetched items are relayed to the other neighbours if there are at most this many. */
const RELAYED_ITEMS_LIMIT = 16
/** A push in progress makes digests differ briefly; only a lasting difference justifies a comparison. */
const DIFFERENCES_BEFORE_COMPARING = 2

interface Peer {
  readonly queue: GossipQueue
  sending: boolean
  /** Consecutive heartbeats in which the peer's digest differed. */
  differences: number
}

/** A comparison in progress: from the request for versions until the last missing item is fetched. */
interface Comparison {
  readonly peer: EntryHostId
  fetchesLeft: number
}

export class GossipCore {
  readonly #queueOptions: GossipQueueOptions
  readonly #items = new Map<string, GossipItem>()
  readonly #digest = new GossipDigest()
  readonly #peers = new Map<EntryHostId, Peer>()
  #comparison: Comparison | null = null

  constructor(queueOptions: GossipQueueOptions = DEFAULT_GOSSIP_QUEUE) {
    this.#queueOptions = queueOptions
  }

  get root(): number {
    return this.#digest.root()
  }

  get(key: string): GossipItem | undefined {
    return this.#items.get(key)
  }

  items(): IterableIterator<GossipItem> {
    return this.#items.values()
  }

  /** The answer to a peer's `fetch`. */
  itemsOf(keys: readonly string[]): readonly GossipItem[] {
    return keys.flatMap(key => this.#items.get(key) ?? [])
  }

  /** The answer to a peer's `compare`: what this host holds in the buckets that differ. */
  differingVersions(buckets: readonly number[]): readonly HeldVersion[] {
    return this.#versionsIn(new Set(this.#digest.differingBuckets(buckets)))
  }

  /** Drops an item that is no longer needed; it must not be learned again afterwards. */
  forget(key: string): void {
    const item = this.#items.get(key)
    if (item === undefined) return
    this.#digest.toggle(key, gossipVersion(item))
    this.#items.delete(key)
  }

  handle(message: GossipMessage): readonly GossipEffect[] {
    switch (message.kind) {
      case 'learned':
        return this.#learn([message.item], null)
      case 'batchReceived':
        return this.#learn(message.items, message.peer)
      case 'fetched':
        return this.#receiveFetched(message.items, message.peer)
      case 'peerConnected':
        this.#peers.set(message.peer, this.#newPeer())
        return []
      case 'peerDisconnected':
        this.#peers.delete(message.peer)
        this.#endComparison(message.peer)
        return []
      case 'batchTaken':
        return this.#batchAcknowledged(message.peer)
      case 'rootHeard':
        return this.#receiveRoot(message.peer, message.root)
      case 'compared':
        return this.#receiveVersions(message.peer, message.versions)
      case 'fetchEnded':
        this.#fetchEnded(message.peer)
        return []
      case 'compareFailed':
        this.#endComparison(message.peer)
        return []
      default:
        return assertNever(message)
    }
  }

  #newPeer(): Peer {
    return {
      queue: new GossipQueue(this.#queueOptions),
      sending: false,
      // A new link is compared at its first heartbeat, as either side may have missed many items.
      differences: DIFFERENCES_BEFORE_COMPARING - 1,
    }
  }

  #learn(items: readonly GossipItem[], from: EntryHostId | null): readonly GossipEffect[] {
    const newer = items.filter(item => this.#adopt(item))
    return [...newer.map(changed), ...this.#relay(newer, from)]
  }

  /**
   * A few items are what an interrupted push did not deliver, for example because of a network
   * partition, and are relayed. Many items are a whole state that this host lacked; if they were
   * relayed, a host that joins would send the whole state to every neighbour.
   */
  #receiveFetched(items: readonly GossipItem[], from: EntryHostId): readonly GossipEffect[] {
    if (items.length <= RELAYED_ITEMS_LIMIT) return this.#learn(items, from)
    return items.filter(item => this.#adopt(item)).map(changed)
  }

  #adopt(item: GossipItem): boolean {
    const key = gossipKey(item)
    const version = gossipVersion(item)
    const held = this.#items.get(key)
    if (held !== undefined) {
      const heldVersion = gossipVersion(held)
      if (compareGossipVersions(version, heldVersion) <= 0) return false
      this.#digest.toggle(key, heldVersion)
    }
    this.#items.set(key, item)
    this.#digest.toggle(key, version)
    return true
  }

  #relay(items: readonly GossipItem[], from: EntryHostId | null): readonly GossipEffect[] {
    if (items.length === 0) return []
    const effects: GossipEffect[] = []
    for (const [id, peer] of this.#peers) {
      if (id === from) continue
      for (const item of items) peer.queue.push(item)
      effects.push(...this.#sendNext(id, peer))
    }
    return effects
  }

  /** One batch at a time is in flight to a peer; meanwhile newer items replace older ones in the queue. */
  #sendNext(id: EntryHostId, peer: Peer): readonly GossipEffect[] {
    if (peer.sending) return []
    const items = peer.queue.take(BATCH_ITEMS)
    if (items.length === 0) return []
    peer.sending = true
    return [{ kind: 'sendBatch', peer: id, items }]
  }

  #batchAcknowledged(id: EntryHostId): readonly GossipEffect[] {
    const peer = this.#peers.get(id)
    if (peer === undefined) return []
    peer.sending = false
    return this.#sendNext(id, peer)
  }

  /**
   * Runs one comparison at a time, and each side fetches what it lacks. A host that has just started
   * differs from all its neighbours and would otherwise fetch the whole state from each of them.
   */
  #receiveRoot(id: EntryHostId, root: number): readonly GossipEffect[] {
    const peer = this.#peers.get(id)
    if (peer === undefined) return []
    if (root === this.#digest.root()) {
      peer.differences = 0
      return []
    }
    peer.differences += 1
    if (this.#comparison !== null || peer.differences < DIFFERENCES_BEFORE_COMPARING) return []
    this.#comparison = { peer: id, fetchesLeft: 0 }
    return [{ kind: 'compare', peer: id, buckets: this.#digest.buckets() }]
  }

  #receiveVersions(id: EntryHostId, versions: readonly HeldVersion[]): readonly GossipEffect[] {
    if (this.#comparison?.peer !== id) return []
    const missing = versions.filter(([key, version]) => this.#isNewer(key, version))
    const effects = fetches(id, missing)
    this.#comparison.fetchesLeft = effects.length
    if (effects.length === 0) this.#endComparison(id)
    return effects
  }

  #isNewer(key: string, version: GossipVersion): boolean {
    const held = this.#items.get(key)
    return held === undefined || compareGossipVersions(version, gossipVersion(held)) > 0
  }

  #fetchEnded(id: EntryHostId): void {
    if (this.#comparison?.peer !== id) return
    this.#comparison.fetchesLeft -= 1
    if (this.#comparison.fetchesLeft <= 0) this.#endComparison(id)
  }

  #endComparison(id: EntryHostId): void {
    if (this.#comparison?.peer !== id) return
    this.#comparison = null
    const peer = this.#peers.get(id)
    if (peer !== undefined) peer.differences = 0
  }

  #versionsIn(buckets: ReadonlySet<number>): readonly HeldVersion[] {
    const versions: HeldVersion[] = []
    for (const [key, item] of this.#items) {
      if (buckets.has(bucketOf(key))) versions.push([key, gossipVersion(item)])
    }
    return versions
  }
}

const changed = (item: GossipItem): GossipEffect => ({ kind: 'changed', item })

function fetches(peer: EntryHostId, missing: readonly HeldVersion[]): readonly GossipEffect[] {
  const keys = missing.map(([key]) => key)
  const effects: GossipEffect[] = []
  for (let start = 0; start < keys.length; start += FETCH_BATCH_KEYS) {
    effects.push({ kind: 'fetch', peer, keys: keys.slice(start, start + FETCH_BATCH_KEYS) })
  }
  return effects
}
