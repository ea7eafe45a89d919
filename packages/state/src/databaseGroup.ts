/**
 * The backend servers of one database and which of them is the leader, as known to this proxy.
 *
 * @internal
 */
import { addMilliseconds, type BackendServerId, type DatabaseId } from '@nutmegcourse/shared'
import type { Milliseconds, RandomSource } from '@nutmegcourse/shared'
import type {
  GroupRecord,
  GroupSnapshot,
  ListedBackendServer,
  PositionReport,
} from '@nutmegcourse/protocol'
import { BackendServer, OTHER_REGION } from './backendServer.js'
import { GroupMembers } from './groupMembers.js'
import { PositionTracker } from './positionTracker.js'
import type { ProxyOptions } from './proxyOptions.js'

/**
 * A change of primary whose record has not changed for this long counts as stalled: its
 * coordinators or the store are gone.
 */
const STALLED_CHANGE_MILLISECONDS = 4000

/** A server whose position question is open for longer than this counts as unresponsive. */
export const UNRESPONSIVE_AFTER_MILLISECONDS = 250

export class DatabaseGroup {
  readonly database: DatabaseId
  readonly tracker = new PositionTracker()
  readonly #options: ProxyOptions
  readonly #random: RandomSource
  readonly #servers = new Map<BackendServerId, BackendServer>()
  readonly #members = new GroupMembers()
  #list: BackendServer[] = []
  #record: GroupRecord
  #recordChangedAt: Milliseconds
  #leader: BackendServer | null = null

  constructor(record: GroupRecord, options: ProxyOptions, random: RandomSource, now: Milliseconds) {
    this.#recordChangedAt = now
    this.database = record.database
    this.#record = record
    this.#options = options
    this.#random = random
  }

  get record(): GroupRecord {
    return this.#record
  }

  get servers(): readonly BackendServer[] {
    return this.#list
  }

  /** The server that takes writes; null while none is known to lead. */
  get leader(): BackendServer | null {
    return this.#leader
  }

  /** The leader, or else the last recorded one: reads there count as reads of the primary. */
  get primary(): BackendServer | null {
    if (this.#leader !== null) return this.#leader
    const { primary } = this.#record
    return primary === null ? null : (this.#servers.get(primary) ?? null)
  }

  server(id: BackendServerId): BackendServer | undefined {
    return this.#servers.get(id)
  }

  /** Applies the agent's newest snapshot. Ignores a record of an older term than the known one. */
  update(snapshot: GroupSnapshot, now: Milliseconds): void {
    if (snapshot.record.term >= this.#record.term) this.#acceptRecord(snapshot.record, now)
    this.#updateServers(snapshot.backendServers, now)
    this.#members.update(snapshot.backendServers)
    const ids = snapshot.backendServers.map(listed => listed.id)
    this.tracker.setServers(ids, this.#members.size)
    this.findLeader(now)
  }

  /** Applies only a newer record, from a snapshot that is otherwise out of date. */
  updateRecord(record: GroupRecord, now: Milliseconds): void {
    if (record.term <= this.#record.term) return
    this.#acceptRecord(record, now)
    this.findLeader(now)
  }

  /**
   * A server that reports itself leader at the newest term is accepted before the agent confirms
   * it: writes there are safe, since none is acknowledged without a majority at its term. This
   * removes the agent's propagation delay from the failover time, and finds the primary when the
   * agent is gone. For the same reason an old primary that was never fenced is used again when a
   * change has stalled, which happens when the store fails right after a coordinator took the next
   * term.
   */
  findLeader(now: Milliseconds): void {
    let best: BackendServer | null = null
    let bestTerm = this.#isStalled(now) ? -1 : this.#record.term - 1
    for (const server of this.#list) {
      const report = this.tracker.reportOf(server.id)
      if (report === null || !isLeading(report) || server.hasRefusedWrite) continue
      if (report.position.term <= bestTerm) continue
      best = server
      bestTerm = report.position.term
    }
    this.#leader = best ?? this.#recordedLeader()
  }

  isWritable(now: Milliseconds): boolean {
    const leader = this.#leader
    if (leader === null || !leader.breaker.isClosed || this.isMoving(now)) return false
    if (!this.canConfirm) return false
    if (leader.leavingSince === null) return true
    const grace = this.#options.leavingPrimaryGraceMilliseconds
    return now < addMilliseconds(leader.leavingSince, grace)
  }

  /**
   * Whether enough other servers can be asked to confirm a write. Without this check a proxy that
   * is cut off from both replicas would run a write whose outcome stays unknown; the write waits
   * without running instead.
   */
  get canConfirm(): boolean {
    let reachable = 0
    for (const server of this.#list) {
      if (server === this.#leader || !this.tracker.knows(server.id)) continue
      if (server.breaker.isClosed) reachable += 1
    }
    return reachable >= this.tracker.majority - 1
  }

  /** Whether the primary is unusable or unresponsive, so that waiting for a change may help. */
  isPrimaryInDoubt(now: Milliseconds): boolean {
    const leader = this.#leader
    return (
      leader === null ||
      !this.isWritable(now) ||
      leader.isUnresponsive(now, UNRESPONSIVE_AFTER_MILLISECONDS) ||
      leader.pool.size === 0
    )
  }

  /** Whether a planned move has stopped writes at the old primary. */
  isMoving(now: Milliseconds): boolean {
    if (this.#record.phase.kind !== 'moving' || this.#isStalled(now)) return false
    const report = this.#leader === null ? null : this.tracker.reportOf(this.#leader.id)
    return report === null || report.position.term <= this.#record.term
  }

  /** Whether `count` servers of this region can be asked, not counting `except`. */
  hasEnoughNearby(count: number, except: BackendServer | null): boolean {
    let nearby = 0
    for (const server of this.#list) {
      if (server === except || server.distance === OTHER_REGION) continue
      if (!this.tracker.knows(server.id)) continue
      if (server.breaker.isClosed) nearby += 1
    }
    return nearby >= count
  }

  #acceptRecord(record: GroupRecord, now: Milliseconds): void {
    const known = this.#record
    const hasChanged = record.term !== known.term || record.phase.kind !== known.phase.kind
    if (hasChanged) this.#recordChangedAt = now
    this.#record = record
  }

  #isStalled(now: Milliseconds): boolean {
    if (this.#record.phase.kind === 'stable') return false
    return now >= addMilliseconds(this.#recordChangedAt, STALLED_CHANGE_MILLISECONDS)
  }

  #recordedLeader(): BackendServer | null {
    const { primary, phase, term } = this.#record
    if (primary === null || (phase.kind !== 'stable' && phase.kind !== 'moving')) return null
    const server = this.#servers.get(primary)
    if (server === undefined || server.hasRefusedWrite) return null
    const report = this.tracker.reportOf(primary)
    // Fenced past its own term: it was replaced, even if the record still names it.
    if (report !== null && report.fencedTerm > term) return null
    return server
  }

  /** An unlisted server counts as leaving, and is removed once it has no connection left. */
  #updateServers(listed: readonly ListedBackendServer[], now: Milliseconds): void {
    const ids = new Set(listed.map(each => each.id))
    for (const server of this.#list) {
      if (ids.has(server.id)) continue
      server.leave(now)
      if (server.pool.size === 0) this.#servers.delete(server.id)
    }
    for (const each of listed) {
      const known = this.#servers.get(each.id)
      const server = known ?? new BackendServer(each, this.#options, this.#random)
      server.update(each, now)
      this.#servers.set(each.id, server)
    }
    this.#list = [...this.#servers.values()]
  }
}

function isLeading(report: PositionReport): boolean {
  return report.role === 'primary' && report.fencedTerm <= report.position.term
}
