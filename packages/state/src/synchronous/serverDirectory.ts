/** The backend servers of the fleet as listed in the store, and which of them may take new work. */
import {
  addMilliseconds,
  type BackendServerId,
  type LogPosition,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type { BackendServerEntry } from '@nutmegcourse/protocol'
import { GoneServers } from './goneServers.js'

/**
 * While the store is unavailable, entries of live servers may expire; they are listed again within about
 * two seconds of its return. For twice that time, a server without an entry stays in use, ranked behind
 * the others. This is safe: connections name the expected server, so another one at its address refuses them.
 */
const GONE_GRACE_MILLISECONDS = 4000

/** Within this time after the store's return, the entries of all servers that live and reach it are back: two seconds and a reserve. */
const REREGISTRATION_MILLISECONDS = 3000

/**
 * The fraction of a leaving server's drain time in which this host still sends it new work. The rest allows for the
 * delay of the change itself (a second in which changes are batched, seconds in which a partition held up the
 * answer) and for statements that wait here for a connection. A planned change of primary takes about a quarter of
 * the drain time.
 */
const DRAIN_FRACTION_IN_USE = 0.55

/** A server that was dropped may still live, cut off from the store only; for this long it counts if it answers. */
const DROPPED_MEMORY_MILLISECONDS = 60_000

/** A server that crashed starts again with its log; one that was dropped for longer is taken as gone for good. */
const RESTART_MILLISECONDS = 20_000

export interface KnownServer {
  readonly entry: BackendServerEntry
  /** The earliest time at which the server may have started to leave; null while it is not leaving. */
  readonly leavingSince: Milliseconds | null
  /** When this host learned that the entry was gone; null while it is listed. */
  readonly goneSince: Milliseconds | null
  /** Whether this host has seen it join, and not restart since; it then held nothing before. */
  readonly hasJoined: boolean
}

export type ServerChange =
  /** Unknown until now, restarted under the same id, or moved to another address or service. */
  | { readonly kind: 'appeared'; readonly entry: BackendServerEntry }
  | {
      readonly kind: 'changed'
      readonly entry: BackendServerEntry
      readonly before: BackendServerEntry
    }
  | { readonly kind: 'unlisted'; readonly entry: BackendServerEntry }
  /** The server must no longer be used. */
  | { readonly kind: 'removed'; readonly entry: BackendServerEntry }

export interface DroppedServer {
  readonly entry: BackendServerEntry
  readonly at: Milliseconds
  /** False if a primary was promoted since: that one holds what it acknowledged. */
  readonly mayHoldWrites: boolean
}

/** A server that may hold acknowledged writes, as hosts leave it for those that start. */
export interface KnownMember {
  readonly entry: BackendServerEntry
  /** Whether it has ended for good. */
  readonly hasEnded: boolean
  /** The position up to which it may hold acknowledged writes if it has ended; null if that is unknown. */
  readonly holdsUpTo: LogPosition | null
}

export class ServerDirectory {
  readonly #servers = new Map<BackendServerId, KnownServer>()
  readonly #dropped = new Map<BackendServerId, DroppedServer>()
  /** Servers that started again under the same id since the last promotion of their service. */
  readonly #restarted = new Set<BackendServerId>()
  readonly #gone = new GoneServers()
  readonly #drainMilliseconds: number
  readonly #isFirstStart: boolean
  #firstListedAt: Milliseconds | null = null

  /** `isFirstStart`: the whole fleet starts, so no entry has expired before. */
  constructor(drainMilliseconds: number, isFirstStart = false) {
    this.#drainMilliseconds = drainMilliseconds
    this.#isFirstStart = isFirstStart
  }

  get(server: BackendServerId): KnownServer | undefined {
    return this.#servers.get(server)
  }

  ofService(service: string): KnownServer[] {
    return [...this.#servers.values()].filter(known => known.entry.service === service)
  }

  /** Servers of the service that were dropped some time ago; they may still be running. */
  recentlyDropped(service: string): DroppedServer[] {
    return [...this.#dropped.values()].filter(({ entry }) => entry.service === service)
  }

  /** Whether the server started again under the same id since the last promotion of its service. */
  hasRestarted(server: BackendServerId): boolean {
    return this.#restarted.has(server)
  }

  /** Records that a server of the service was promoted. */
  notePromotion(service: string): void {
    for (const { entry } of this.ofService(service)) this.#restarted.delete(entry.server)
    for (const dropped of this.recentlyDropped(service)) {
      this.#dropped.set(dropped.entry.server, { ...dropped, mayHoldWrites: false })
    }
  }

  /** Records the end of the log of the service's primary, which was asked at `askedAt`. */
  notePrimaryPosition(service: string, position: LogPosition, askedAt: Milliseconds): void {
    this.#gone.recordPrimaryPosition(service, position, askedAt)
  }

  /** The position up to which a server that is gone may hold acknowledged writes; null if that is unknown. */
  heldUpTo(server: BackendServerId): LogPosition | null {
    return this.#gone.heldUpTo(server)
  }

  /** Whether the server has ended for good. One that crashed may return with its log for a while. */
  isGone(server: BackendServerId, now: Milliseconds): boolean {
    return this.#gone.isGone(server, now)
  }

  /** The servers of the service that may hold acknowledged writes. */
  membersOf(service: string, now: Milliseconds): KnownMember[] {
    const dropped = this.recentlyDropped(service).filter(({ mayHoldWrites }) => mayHoldWrites)
    return [...this.ofService(service), ...dropped].map(({ entry }) => ({
      entry,
      hasEnded: this.isGone(entry.server, now),
      holdsUpTo: this.heldUpTo(entry.server),
    }))
  }

  /**
   * Records a member that another host left, and returns false if that is known. A member that was unknown counts as one
   * that was dropped just now: it may live, cut off from the store only.
   */
  noteRecorded(member: KnownMember, now: Milliseconds): boolean {
    const { entry, hasEnded, holdsUpTo } = member
    const { server, service } = entry
    if (this.#servers.has(server) || this.#dropped.has(server)) {
      return hasEnded && this.#noteEnded(member, now)
    }
    this.#dropped.set(server, { entry, at: now, mayHoldWrites: true })
    this.#gone.add(server, service, hasEnded ? now : addMilliseconds(now, RESTART_MILLISECONDS))
    this.#gone.recordAppeared(entry, now)
    if (hasEnded && holdsUpTo !== null) this.#gone.recordHeldUpTo(server, holdsUpTo)
    return true
  }

  /** A host that has missed the server for longer, perhaps since before this one started, knows sooner that it has ended. */
  #noteEnded({ entry, holdsUpTo }: KnownMember, now: Milliseconds): boolean {
    const { server, service } = entry
    const own = this.lastEntry(server)
    const isListed = this.#servers.get(server)?.goneSince === null
    if (isListed || own === null || !isSameIncarnation(own, entry)) return false
    if (this.isGone(server, now)) return false
    this.#gone.add(server, service, now)
    if (holdsUpTo !== null) this.#gone.recordHeldUpTo(server, holdsUpTo)
    return true
  }

  /**
   * Whether the server may be back with its log. The entry of a live one that is gone is back within some seconds, also
   * that of a server that was leaving.
   */
  mayBringLog(server: BackendServerId, now: Milliseconds): boolean {
    return !this.isGone(server, addMilliseconds(now, -REREGISTRATION_MILLISECONDS))
  }

  /** Records that a server, or a new incarnation of one, was listed. */
  noteAppeared(entry: BackendServerEntry, now: Milliseconds): void {
    this.#gone.recordAppeared(entry, now)
  }

  /** The entry of a server that is listed or was dropped some time ago. */
  lastEntry(server: BackendServerId): BackendServerEntry | null {
    return (this.#servers.get(server) ?? this.#dropped.get(server))?.entry ?? null
  }

  /**
   * Whether every live server is known. The first list may lack servers whose entries expired while the store was
   * unavailable.
   */
  isComplete(now: Milliseconds): boolean {
    const since = this.#firstListedAt
    if (since === null) return false
    return this.#isFirstStart || now >= addMilliseconds(since, REREGISTRATION_MILLISECONDS)
  }

  /** Adds or updates a server from its store entry, which was written at `since` at the earliest. */
  upsert(entry: BackendServerEntry, since: Milliseconds): ServerChange | null {
    const wasDropped = this.#dropped.delete(entry.server)
    const known = this.#servers.get(entry.server)
    const isKnownIncarnation = known !== undefined && isSameIncarnation(known.entry, entry)
    if (!isKnownIncarnation || known.goneSince !== null) this.#gone.recordReturned(entry.server)
    const leavingSince = entry.isLeaving
      ? ((isKnownIncarnation ? known.leavingSince : null) ?? since)
      : null
    const isNew = known === undefined && !wasDropped && this.isComplete(since)
    const hasJoined = isKnownIncarnation ? known.hasJoined : isNew
    this.#servers.set(entry.server, { entry, leavingSince, goneSince: null, hasJoined })
    if (!isKnownIncarnation) {
      if (known !== undefined) this.#restarted.add(entry.server)
      return { kind: 'appeared', entry }
    }
    if (known.goneSince === null && isSameEntry(known.entry, entry)) return null
    return { kind: 'changed', entry, before: known.entry }
  }

  /**
   * Like `upsert`, for an entry of a store that was restored from an older copy. What this host already knows of the
   * same incarnation is newer, and the server will write it again: trusting an older entry that says that the server
   * is not leaving, or that it leads, would send it work that fails.
   */
  upsertRestored(entry: BackendServerEntry, since: Milliseconds): ServerChange | null {
    const known = this.#servers.get(entry.server)
    if (known === undefined || !isSameIncarnation(known.entry, entry))
      return this.upsert(entry, since)
    this.#servers.set(entry.server, { ...known, goneSince: null })
    if (known.goneSince !== null) this.#gone.recordReturned(entry.server)
    return null
  }

  /** The store no longer lists the server. */
  unlist(server: BackendServerId, now: Milliseconds): ServerChange | null {
    const known = this.#servers.get(server)
    if (known?.goneSince !== null) return null
    this.#servers.set(server, { ...known, goneSince: now })
    // A leaving server ends for good; the entry of another one may merely have expired.
    if (known.leavingSince !== null) this.#gone.add(server, known.entry.service, now)
    return { kind: 'unlisted', entry: known.entry }
  }

  /** A full list was read: servers that it does not name are gone. */
  keepOnly(listed: ReadonlySet<BackendServerId>, now: Milliseconds): ServerChange[] {
    this.#firstListedAt ??= now
    const changes: ServerChange[] = []
    for (const server of this.#servers.keys()) {
      if (listed.has(server)) continue
      const unlisted = this.unlist(server, now)
      if (unlisted !== null) changes.push(unlisted)
    }
    return changes
  }

  /** Removes servers whose entry has been missing for longer than the grace period. */
  expire(now: Milliseconds): ServerChange[] {
    for (const [server, { entry, at }] of this.#dropped) {
      if (now < addMilliseconds(at, DROPPED_MEMORY_MILLISECONDS)) continue
      this.#dropped.delete(server)
      this.#gone.forget(entry)
    }
    const changes: ServerChange[] = []
    for (const [server, { entry, goneSince }] of this.#servers) {
      if (goneSince === null || now < addMilliseconds(goneSince, GONE_GRACE_MILLISECONDS)) continue
      this.#servers.delete(server)
      this.#dropped.set(server, { entry, at: now, mayHoldWrites: true })
      this.#gone.add(server, entry.service, addMilliseconds(now, RESTART_MILLISECONDS))
      changes.push({ kind: 'removed', entry })
    }
    return changes
  }

  /** Whether new work may still start there. Servers that are not leaving are to be preferred. */
  mayTakeWork(server: BackendServerId, now: Milliseconds): boolean {
    const known = this.#servers.get(server)
    if (known === undefined) return false
    const { leavingSince } = known
    if (leavingSince === null) return true
    const usableMilliseconds = this.#drainMilliseconds * DRAIN_FRACTION_IN_USE
    return now < addMilliseconds(leavingSince, usableMilliseconds)
  }
}

/** What was known of a server no longer holds after it has restarted under the same id. */
function isSameIncarnation(left: BackendServerEntry, right: BackendServerEntry): boolean {
  return (
    left.startedAtUnixMilliseconds === right.startedAtUnixMilliseconds &&
    left.host === right.host &&
    left.port === right.port &&
    left.service === right.service
  )
}

function isSameEntry(left: BackendServerEntry, right: BackendServerEntry): boolean {
  return (
    left.role === right.role && left.isLeaving === right.isLeaving && left.slots === right.slots
  )
}
