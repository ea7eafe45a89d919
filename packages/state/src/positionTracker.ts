/**
 * Tracks the log positions that the backend servers of one database report, and derives bounds,
 * data ages and confirmations from them.
 *
 * The proxy's guarantees rest on three facts:
 * - an acknowledged write is held by a majority of the group, so among the answers of any majority
 *   that was asked after the acknowledgement at least one is at or past it;
 * - positions order logs: of two logs, the one at the greater position holds every acknowledged
 *   write that the other holds (terms are opened by a majority that holds them all);
 * - a server's position only grows, except for records that no majority ever held.
 *
 * @internal
 */
import {
  majorityOf,
  comparePositions,
  isAtOrPast,
  logOffset,
  type BackendServerId,
  type LogOffset,
  type LogPosition,
  type Milliseconds,
  type Term,
} from '@nutmegcourse/shared'
import type { PositionReport } from '@nutmegcourse/protocol'
import { BoundHistory, NEVER } from './boundHistory.js'
import { ProgressRate } from './progressRate.js'

/**
 * Logical time: the number of messages that a core has handled. Orders questions and arrivals that
 * have the same clock time.
 */
export type Moment = number

interface TrackedServer {
  readonly id: BackendServerId
  report: PositionReport | null
  askedAt: Milliseconds
  askedMoment: Moment
  freshAsOf: Milliseconds
  readonly progress: ProgressRate
}

/** A replica's log position and rate of progress. */
export interface ReplicaReport {
  readonly position: LogPosition
  readonly askedAt: Milliseconds
  /** Null until measured over a long enough span. */
  readonly recordsPerSecond: number | null
}

interface ConfirmedOffset {
  readonly term: Term
  readonly primary: BackendServerId
  readonly offset: LogOffset
}

/** Below every offset: nothing is confirmed while the other servers' positions are unknown. */
const NOTHING_CONFIRMED = -1
/** In a group of one server the primary is a majority by itself: all that it ran is confirmed. */
const ALL_CONFIRMED = Number.MAX_SAFE_INTEGER

export class PositionTracker {
  #servers: TrackedServer[] = []
  readonly #byId = new Map<BackendServerId, TrackedServer>()
  readonly #history = new BoundHistory()
  #groupSize = 0
  /** Cached between reports, because each write that runs looks it up. */
  #confirmed: ConfirmedOffset | null = null
  #majorityTerm: Term | null = null
  #version = 0

  /** Sets the servers that may be asked, and the total number of members of the group. */
  setServers(ids: readonly BackendServerId[], groupSize: number): void {
    const kept = new Set(ids)
    for (const id of this.#byId.keys()) if (!kept.has(id)) this.#byId.delete(id)
    for (const id of ids) {
      if (this.#byId.has(id)) continue
      this.#byId.set(id, newServer(id))
    }
    this.#servers = [...this.#byId.values()]
    this.#groupSize = groupSize
    this.#version += 1
    this.#confirmed = null
    this.#majorityTerm = this.#findMajorityTerm()
  }

  /** Incremented by each report and each change of members. */
  get version(): number {
    return this.#version
  }

  get majority(): number {
    return majorityOf(this.#groupSize)
  }

  /** Records a server's answer; ignores an answer to an older question than the newest answered. */
  record(
    server: BackendServerId,
    report: PositionReport,
    askedAt: Milliseconds,
    askedMoment: Moment,
  ): void {
    const tracked = this.#byId.get(server)
    if (tracked === undefined || askedMoment < tracked.askedMoment) return
    tracked.report = report
    tracked.askedAt = askedAt
    tracked.askedMoment = askedMoment
    tracked.progress.record(report.position, askedAt)
    this.#version += 1
    this.#confirmed = null
    this.#majorityTerm = this.#findMajorityTerm()
    this.#extendHistory()
    for (const each of this.#servers) {
      if (each.report !== null) each.freshAsOf = this.#history.asOf(each.report.position)
    }
  }

  /** Whether the server is listed, so that it can be asked. */
  knows(server: BackendServerId): boolean {
    return this.#byId.has(server)
  }

  reportOf(server: BackendServerId): PositionReport | null {
    return this.#byId.get(server)?.report ?? null
  }

  /** When the server's newest answered question was asked. */
  askedAtOf(server: BackendServerId): Milliseconds {
    return this.#byId.get(server)?.askedAt ?? NEVER
  }

  /** The replicas' progress; null while one of them has not answered yet. */
  replicasOf(primary: BackendServerId): ReplicaReport[] | null {
    const replicas: ReplicaReport[] = []
    for (const { id, report, askedAt, progress } of this.#servers) {
      if (id === primary) continue
      if (report === null) return null
      const { recordsPerSecond } = progress
      replicas.push({ position: report.position, askedAt, recordsPerSecond })
    }
    return replicas
  }

  askedMomentOf(server: BackendServerId): Moment {
    return this.#byId.get(server)?.askedMoment ?? -1
  }

  /**
   * The least position known to cover every write acknowledged before `moment`; null until a
   * majority has answered questions sent at or after it. Any majority gives a valid bound, so the
   * one with the lowest maximum position is used: once both replicas have answered, one of them
   * always qualifies.
   */
  boundAskedSince(moment: Moment): LogPosition | null {
    const positions: LogPosition[] = []
    for (const tracked of this.#servers) {
      if (tracked.report === null || tracked.askedMoment < moment) continue
      insertSorted(positions, tracked.report.position)
    }
    return positions[this.majority - 1] ?? null
  }

  /**
   * Every write acknowledged before this time is on the server, so the age of its data is at most
   * `now` minus this time. Depends only on position questions, so it stays known without traffic.
   */
  freshAsOf(server: BackendServerId): Milliseconds {
    return this.#byId.get(server)?.freshAsOf ?? NEVER
  }

  /** Whether the server is known to hold everything up to `required`. */
  isAtOrPast(server: BackendServerId, required: LogPosition): boolean {
    const report = this.#byId.get(server)?.report ?? null
    return report !== null && isAtOrPast(report.position, required)
  }

  /**
   * The offset up to which a majority holds the log of `term`, given that `primary` itself ran it.
   * Only servers whose log ends in that same term count: a log that ends in another term may hold
   * other records at the same offsets, like the log of a replaced primary. A server that is fenced
   * at a later term does not count either: it may be copying the term's records from a later
   * primary, and a third term may still be won by a log without them
   * (docs/design/05-admission.md).
   */
  confirmedOffset(term: Term, primary: BackendServerId): LogOffset {
    const known = this.#confirmed
    if (known?.term === term && known.primary === primary) return known.offset
    const offset = this.#findConfirmedOffset(term, primary)
    this.#confirmed = { term, primary, offset }
    return offset
  }

  /** The term at which the logs of a majority end and are fenced; null while there is none. */
  get majorityTerm(): Term | null {
    return this.#majorityTerm
  }

  #findConfirmedOffset(term: Term, primary: BackendServerId): LogOffset {
    if (this.majority === 1) return logOffset(ALL_CONFIRMED)
    const offsets: number[] = []
    for (const tracked of this.#servers) {
      const { id, report } = tracked
      if (id === primary || report === null) continue
      if (report.position.term !== term || report.fencedTerm > term) continue
      offsets.push(report.position.offset)
    }
    offsets.sort((left, right) => right - left)
    return logOffset(offsets[this.majority - 2] ?? NOTHING_CONFIRMED)
  }

  #findMajorityTerm(): Term | null {
    for (const { report } of this.#servers) {
      if (report === null || !isFencedAtOwnTerm(report)) continue
      const { term } = report.position
      const count = this.#servers.filter(
        each => each.report?.position.term === term && isFencedAtOwnTerm(each.report),
      ).length
      if (count >= this.majority) return term
    }
    return null
  }

  /** Adds one bound for each set of newest answers that is large enough for a majority. */
  #extendHistory(): void {
    const newestFirst = this.#servers
      .filter(tracked => tracked.report !== null)
      .sort((left, right) => right.askedAt - left.askedAt)
    const positions: LogPosition[] = []
    newestFirst.forEach((tracked, index) => {
      if (tracked.report === null) return
      insertSorted(positions, tracked.report.position)
      if (index + 1 < this.majority) return
      const bound = positions[this.majority - 1]
      if (bound !== undefined) this.#history.add(tracked.askedAt, bound)
    })
  }
}

/** Whether the server is fenced at the term its log ends in, so it copies no older term's log. */
const isFencedAtOwnTerm = (report: PositionReport): boolean =>
  report.fencedTerm === report.position.term

function newServer(id: BackendServerId): TrackedServer {
  return {
    id,
    report: null,
    askedAt: NEVER,
    askedMoment: -1,
    freshAsOf: NEVER,
    progress: new ProgressRate(),
  }
}

function insertSorted(positions: LogPosition[], position: LogPosition): void {
  let index = positions.length
  positions.push(position)
  while (index > 0) {
    const before = positions[index - 1]
    if (before === undefined || comparePositions(before, position) <= 0) break
    positions[index] = before
    index -= 1
  }
  positions[index] = position
}
