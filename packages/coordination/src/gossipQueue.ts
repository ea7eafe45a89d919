/**
 * What still has to be sent to one peer. Bounded, so that a slow or frozen receiver costs its
 * sender no memory and nobody else any time.
 */
import { newsKey, type NewsItem } from '@nutmegcourse/protocol'

export interface NewsQueueOptions {
  /** Most items that wait. */
  readonly limit: number
  /** A newer item takes the place of the unsent older one of its key. */
  readonly replaceOlder: boolean
}

export const DEFAULT_GOSSIP_QUEUE: NewsQueueOptions = { limit: 4096, replaceOlder: true }

export class NewsQueue {
  readonly #options: NewsQueueOptions
  readonly #pending = new Map<string, NewsItem>()
  #arrivals = 0
  #replaced = 0
  #dropped = 0

  constructor(options: NewsQueueOptions = DEFAULT_GOSSIP_QUEUE) {
    this.#options = options
  }

  get length(): number {
    return this.#pending.size
  }

  /** Items that never had to be sent because a newer one came before their turn. */
  get replaced(): number {
    return this.#replaced
  }

  /** Items given up because the queue was full; comparing digests makes up for them. */
  get dropped(): number {
    return this.#dropped
  }

  push(item: NewsItem): void {
    this.#arrivals += 1
    const key = this.#options.replaceOlder ? newsKey(item) : `${this.#arrivals}`
    if (this.#pending.has(key)) {
      this.#replaced += 1
    } else if (this.#pending.size >= this.#options.limit) {
      this.#dropped += 1
      return
    }
    // A replaced item keeps its turn, so that a key that changes all the time is still sent.
    this.#pending.set(key, item)
  }

  /** Takes the oldest items, `most` at most. */
  take(limit: number): readonly NewsItem[] {
    const taken: NewsItem[] = []
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
