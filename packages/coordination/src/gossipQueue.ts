/**
 * Items that still have to be sent to one peer. The queue is bounded, so that a slow or stalled
 * receiver neither uses up the sender's memory nor delays other peers.
 */
import { gossipKey, type GossipItem } from '@nutmegcourse/protocol'

export interface GossipQueueOptions {
  /** Maximum number of queued items. */
  readonly limit: number
  /** Whether a newer item replaces the unsent older one of its key. */
  readonly replaceOlder: boolean
}

export const DEFAULT_GOSSIP_QUEUE: GossipQueueOptions = { limit: 4096, replaceOlder: true }

export class GossipQueue {
  readonly #options: GossipQueueOptions
  readonly #pending = new Map<string, GossipItem>()
  #arrivals = 0
  #replaced = 0
  #dropped = 0

  constructor(options: GossipQueueOptions = DEFAULT_GOSSIP_QUEUE) {
    this.#options = options
  }

  get length(): number {
    return this.#pending.size
  }

  /** Items that were not sent because a newer one replaced them in the queue. */
  get replaced(): number {
    return this.#replaced
  }

  /** Items dropped because the queue was full; a comparison of digests finds them later. */
  get dropped(): number {
    return this.#dropped
  }

  push(item: GossipItem): void {
    this.#arrivals += 1
    const key = this.#options.replaceOlder ? gossipKey(item) : `${this.#arrivals}`
    if (this.#pending.has(key)) {
      this.#replaced += 1
    } else if (this.#pending.size >= this.#options.limit) {
      this.#dropped += 1
      return
    }
    // A replacement keeps the position in the queue, so that a key that changes constantly is still sent.
    this.#pending.set(key, item)
  }

  /** Removes and returns the oldest items, up to `limit`. */
  take(limit: number): readonly GossipItem[] {
    const taken: GossipItem[] = []
    for (const [key, item] of this.#pending) {
      if (taken.length >= limit) break
      taken.push(item)
      this.#pending.delete(key)
    }
    return taken
  }

  clear(): void {
    this.#pending.clear()
  }
}
