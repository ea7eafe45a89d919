/**
 * The servers that are gone, with what they may have acknowledged. A gone server acknowledges nothing any more, so each
 * write that it acknowledged is at or before any position that the primary had later. A replica that reached such a
 * position holds all of them.
 *
 * @internal
 */
import type { BackendServerId, LogPosition, Milliseconds } from '@nutmegcourse/shared'
import type { BackendServerEntry } from '@nutmegcourse/protocol'

interface GoneServer {
  readonly service: string
  readonly since: Milliseconds
  readonly heldUpTo: LogPosition | null
}

export class GoneServers {
  readonly #gone = new Map<BackendServerId, GoneServer>()
  /** By address: the entry that was started last. */
  readonly #latestAt = new Map<string, BackendServerEntry>()
  readonly #addressOf = new Map<BackendServerId, string>()

  /** Records that a server ended, or will count as ended from `since` on if it does not return until then. */
  add(server: BackendServerId, service: string, since: Milliseconds): void {
    const known = this.#gone.get(server)
    if (known === undefined || since < known.since) {
      this.#gone.set(server, { service, since, heldUpTo: null })
    }
  }

  /** Two processes cannot listen on one address, so of two servers at an address the one started earlier has ended. */
  recordAppeared(entry: BackendServerEntry, now: Milliseconds): void {
    const address = describeAddress(entry)
    this.#leaveFormerAddress(entry.server, address)
    const other = this.#latestAt.get(address)
    const isLatest = other === undefined || startOf(other) <= startOf(entry)
    if (isLatest) this.#latestAt.set(address, entry)
    const ended = isLatest ? other : entry
    if (ended !== undefined && other?.server !== entry.server) {
      this.add(ended.server, ended.service, now)
    }
  }

  /** The server was listed again. */
  recordReturned(server: BackendServerId): void {
    this.#gone.delete(server)
  }

  /** Forgets what is known of a server. */
  forget(entry: BackendServerEntry): void {
    this.#gone.delete(entry.server)
    this.#leaveFormerAddress(entry.server, null)
  }

  #leaveFormerAddress(server: BackendServerId, next: string | null): void {
    const former = this.#addressOf.get(server)
    if (former !== undefined && former !== next && this.#latestAt.get(former)?.server === server) {
      this.#latestAt.delete(former)
    }
    if (next === null) this.#addressOf.delete(server)
    else this.#addressOf.set(server, next)
  }

  isGone(server: BackendServerId, now: Milliseconds): boolean {
    const known = this.#gone.get(server)
    return known !== undefined && now >= known.since
  }

  /** Records the end of the log of a primary that was asked at `askedAt`. */
  recordPrimaryPosition(service: string, position: LogPosition, askedAt: Milliseconds): void {
    for (const [server, known] of this.#gone) {
      if (known.heldUpTo !== null || known.service !== service || askedAt < known.since) continue
      this.#gone.set(server, { ...known, heldUpTo: position })
    }
  }

  /** Records the position that another host knew for a server that has ended. */
  recordHeldUpTo(server: BackendServerId, position: LogPosition): void {
    const known = this.#gone.get(server)
    if (known !== undefined) this.#gone.set(server, { ...known, heldUpTo: position })
  }

  /** The position up to which a server that is gone may hold acknowledged writes; null if that is unknown. */
  heldUpTo(server: BackendServerId): LogPosition | null {
    return this.#gone.get(server)?.heldUpTo ?? null
  }
}

/** Infinite if unknown: what was listed last counts as started last. */
const startOf = ({ startedAtUnixMilliseconds }: BackendServerEntry): number =>
  startedAtUnixMilliseconds ?? Number.POSITIVE_INFINITY

const describeAddress = ({ host, port }: BackendServerEntry): string => `${host}:${String(port)}`
