/**
 * Remembers how and when this host learned of each backend server from the store, so that the log can tell how far
 * the list of a group was to be trusted.
 *
 * @internal
 */
import type { BackendServerId, Milliseconds } from '@nutmegcourse/shared'

/** Removed servers are remembered for this long: they may still run and acknowledge writes. */
const REMOVED_MEMORY_MILLISECONDS = 60_000

/** list: a full list of the store; restoredList: one of a store restored from a copy; change: a single change. */
export type ListingSource = 'list' | 'restoredList' | 'change'

export interface ServerListingEntry {
  readonly source: ListingSource
  /** When the store last named the server. */
  readonly heardAt: Milliseconds
}

export interface RemovedServer {
  readonly server: BackendServerId
  readonly service: string
  readonly removedAt: Milliseconds
}

export class ServerListing {
  readonly #entries = new Map<BackendServerId, ServerListingEntry>()
  #removed: readonly RemovedServer[] = []
  #firstListAt: Milliseconds | null = null
  #lastListAt: Milliseconds | null = null

  /** When this host received its first and its last full list; null before. */
  get firstListAt(): Milliseconds | null {
    return this.#firstListAt
  }

  get lastListAt(): Milliseconds | null {
    return this.#lastListAt
  }

  recordList(now: Milliseconds): void {
    this.#firstListAt ??= now
    this.#lastListAt = now
  }

  recordEntry(server: BackendServerId, source: ListingSource, now: Milliseconds): void {
    this.#entries.set(server, { source, heardAt: now })
    this.#removed = this.#removed.filter(removed => removed.server !== server)
  }

  recordRemoval(server: BackendServerId, service: string, now: Milliseconds): void {
    this.#entries.delete(server)
    this.#removed = [...this.#recentlyRemoved(now), { server, service, removedAt: now }]
  }

  get(server: BackendServerId): ServerListingEntry | null {
    return this.#entries.get(server) ?? null
  }

  removedOf(service: string, now: Milliseconds): readonly RemovedServer[] {
    return this.#recentlyRemoved(now).filter(removed => removed.service === service)
  }

  #recentlyRemoved(now: Milliseconds): readonly RemovedServer[] {
    return this.#removed.filter(({ removedAt }) => now - removedAt < REMOVED_MEMORY_MILLISECONDS)
  }
}
