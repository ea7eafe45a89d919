/** The backend servers of a database as this watcher sees them. */
import {
  majorityOf,
  LOG_START,
  isAtOrPast,
  milliseconds,
  type BackendServerId,
  type Milliseconds,
  type Term,
} from '@nutmegcourse/shared'
import type { ListedBackendServer, PositionReport } from '@nutmegcourse/protocol'

import type { FailoverOptions } from './failoverOptions.js'
import type { FailoverEffectQueue } from './failoverEffectQueue.js'
import { FailoverServerWatch, type DatedReport } from './failoverServerWatch.js'
import { laterTerm } from './failoverTerm.js'

export interface FoundLeader {
  readonly server: BackendServerId
  readonly term: Term
}

/** The number of the primary's reports kept to determine how far a replica is behind. */
const MAX_SAMPLES = 256

export class FailoverGroup {
  readonly #options: FailoverOptions
  readonly #effects: FailoverEffectQueue
  readonly #watches = new Map<BackendServerId, FailoverServerWatch>()
  #servers: readonly ListedBackendServer[] = []
  #largestSize = 0
  #listedAt: Milliseconds | null = null
  #primary: BackendServerId | null = null
  /** Whether position requests to all servers but the primary are withheld. */
  #pollsPrimaryOnly = false
  #primarySamples: readonly DatedReport[] = []
  /** When this process last resumed after a stall. */
  #resumedAt: Milliseconds = milliseconds(0)

  constructor(options: FailoverOptions, effects: FailoverEffectQueue) {
    this.#options = options
    this.#effects = effects
  }

  get servers(): readonly ListedBackendServer[] {
    return this.#servers
  }

  /** When the first list was received; null before. */
  get listedAt(): Milliseconds | null {
    return this.#listedAt
  }

  listed(server: BackendServerId | null): ListedBackendServer | null {
    return this.#servers.find(listed => listed.id === server) ?? null
  }

  watch(server: BackendServerId): FailoverServerWatch | null {
    return this.#watches.get(server) ?? null
  }

  report(server: BackendServerId | null): PositionReport | null {
    return server === null ? null : (this.#watches.get(server)?.latest?.report ?? null)
  }

  /**
   * The number of servers that form a majority, computed from the longest list ever received. If a
   * host list that lost lines reduced it, two hosts with two such lists could promote two servers.
   */
  get majority(): number {
    return majorityOf(this.#largestSize)
  }

  setServers(servers: readonly ListedBackendServer[], now: Milliseconds): void {
    this.#servers = servers
    this.#largestSize = Math.max(this.#largestSize, servers.length)
    this.#listedAt ??= now
    for (const server of this.#watches.keys()) {
      if (!servers.some(listed => listed.id === server)) this.#watches.delete(server)
    }
    for (const { id } of servers) {
      if (this.#watches.has(id)) continue
      this.#watches.set(id, new FailoverServerWatch(id, this.#options, now))
    }
  }

  /** Sets the server to whose positions those of the replicas are compared. */
  setPrimary(primary: BackendServerId | null): void {
    if (primary === this.#primary) return
    this.#primary = primary
    this.#primarySamples = []
  }

  notePosition(
    server: BackendServerId,
    report: PositionReport,
    askedAt: Milliseconds,
    now: Milliseconds,
  ): void {
    this.#watches.get(server)?.answered(report, askedAt, now)
    if (server !== this.#primary || askedAt < this.#resumedAt) return
    this.#primarySamples = [...this.#primarySamples, { report, askedAt }].slice(-MAX_SAMPLES)
  }

  /**
   * Sends the position requests that are due. A connection carries one request at a time, so a fence
   * would wait behind a position request for a whole round trip between regions. While a change is
   * in progress or likely, only the primary is polled.
   */
  advance(isChanging: boolean, now: Milliseconds): void {
    const primary = this.#primary === null ? null : this.watch(this.#primary)
    this.#pollsPrimaryOnly = isChanging || primary?.isSuspicionLikely(now) === true
    for (const watch of this.#polledWatches()) watch.advance(now, this.#effects)
  }

  /** Called after a stall of this process; what the primary held before it is too old to compare with. */
  noteStall(now: Milliseconds): void {
    this.#primarySamples = []
    this.#resumedAt = now
    for (const watch of this.#watches.values()) watch.resetSilence(now)
  }

  /** The primary's reports on requests sent at `since` or later. */
  primarySamplesSince(since: Milliseconds): readonly DatedReport[] {
    return this.#primarySamples.filter(sample => sample.askedAt >= since)
  }

  canReachMajority(now: Milliseconds): boolean {
    const reachable = [...this.#watches.values()].filter(watch => watch.isReachable(now))
    return reachable.length >= this.majority
  }

  newestTerm(): Term {
    const reports = [...this.#watches.values()].flatMap(watch => watch.latest?.report ?? [])
    const terms = reports.flatMap(report => [report.fencedTerm, report.position.term])
    return terms.reduce(laterTerm, LOG_START.term)
  }

  /** Since when at least one server has been fenced above `term`; null when none is. */
  fencedAboveSince(term: Term): Milliseconds | null {
    const times = [...this.#watches.values()].flatMap(watch => {
      const isAbove = (watch.latest?.report.fencedTerm ?? term) > term
      return isAbove && watch.fencedSince !== null ? [watch.fencedSince] : []
    })
    return times.length === 0 ? null : milliseconds(Math.min(...times))
  }

  /**
   * The reachable server that by its own report leads the newest term. A server that is fenced above
   * the term that it leads does not count.
   */
  findLeader(now: Milliseconds): FoundLeader | null {
    let found: FoundLeader | null = null
    for (const [server, watch] of this.#watches) {
      const report = watch.isReachable(now) ? watch.latest?.report : undefined
      if (report?.role !== 'primary' || report.fencedTerm > report.position.term) continue
      const { term } = report.position
      if (found === null || term > found.term) found = { server, term }
    }
    return found
  }

  /**
   * The server to which to move the role of a leaving primary, preferably in its zone, else in its
   * region. It must not be leaving itself and must hold what the primary held at most
   * `moveLagMilliseconds` ago; otherwise writes would wait too long for it to catch up.
   */
  findMoveTarget(primary: ListedBackendServer, now: Milliseconds): BackendServerId | null {
    const eligible = this.#servers.filter(
      server =>
        server.id !== primary.id && server.state === 'live' && this.#isCloseBehind(server.id, now),
    )
    const byPreference = [
      eligible.find(server => server.zone === primary.zone),
      eligible.find(server => server.region === primary.region),
      eligible[0],
    ]
    return byPreference.find(server => server !== undefined)?.id ?? null
  }

  nextWake(now: Milliseconds): Milliseconds | null {
    const times = this.#polledWatches().map(watch => watch.nextWake(now))
    return times.length === 0 ? null : milliseconds(Math.min(...times))
  }

  #polledWatches(): readonly FailoverServerWatch[] {
    const polled = [...this.#watches].filter(
      ([id]) => !this.#pollsPrimaryOnly || id === this.#primary,
    )
    return polled.map(([, watch]) => watch)
  }

  #isCloseBehind(server: BackendServerId, now: Milliseconds): boolean {
    const watch = this.#watches.get(server)
    if (watch?.isReachable(now) !== true || watch.latest === null) return false
    const { report } = watch.latest
    return this.#primarySamples.some(
      sample =>
        now - sample.askedAt <= this.#options.moveLagMilliseconds &&
        sample.report.position.term === report.position.term &&
        isAtOrPast(report.position, sample.report.position),
    )
  }
}
