/** Makes the other backend servers replicate from the primary, including those that return later. */
import {
  addMilliseconds,
  comparePositions,
  milliseconds,
  type BackendServerId,
  type LogPosition,
  type Milliseconds,
  type Term,
} from '@nutmegcourse/shared'
import type { PositionReport } from '@nutmegcourse/protocol'

import type { CallId } from './failoverMessages.js'
import { backOffMilliseconds, type FailoverOptions } from './failoverOptions.js'
import type { FailoverEffectQueue } from './failoverEffectQueue.js'

export interface Leadership {
  readonly primary: BackendServerId
  readonly term: Term
}

interface Follower {
  /** A `follow` call was sent and is not answered yet; it is repeated until it is answered. */
  isFollowPending: boolean
  /** Its process was restarted; the new one does not replicate until it receives a `follow` call. */
  hasRestarted: boolean
  position: LogPosition | null
  /** When its position last changed. */
  advancedAt: Milliseconds
  /** Since when it has needed a `follow` call; null while it needs none. */
  followNeededSince: Milliseconds | null
  attempts: number
  notBefore: Milliseconds
}

const MAX_RETRY_FACTOR = 16
/** Added to a watcher's delay for each watcher that should act before it. */
const RANK_DELAY_MILLISECONDS = 100

export class FailoverFollowers {
  readonly #options: FailoverOptions
  readonly #effects: FailoverEffectQueue
  readonly #calls = new Map<CallId, BackendServerId>()
  readonly #followers = new Map<BackendServerId, Follower>()
  #leadership: Leadership | null = null

  constructor(options: FailoverOptions, effects: FailoverEffectQueue) {
    this.#options = options
    this.#effects = effects
  }

  setLeadership(leadership: Leadership | null): void {
    const isSame =
      leadership?.term === this.#leadership?.term &&
      leadership?.primary === this.#leadership?.primary
    if (isSame) return
    this.#leadership = leadership
    this.#followers.clear()
    this.#calls.clear()
  }

  /** Sends `follow` to every other server at once; used by the watcher that recorded the leader. */
  followAll(servers: readonly BackendServerId[], now: Milliseconds): void {
    for (const server of servers) {
      if (server !== this.#leadership?.primary) this.#sendFollow(server, now)
    }
  }

  /**
   * Checks a server's report and sends `follow` if needed. `primary` is the leader's last report;
   * `rank` is the number of watchers that should act before this one.
   */
  observe(
    server: BackendServerId,
    report: PositionReport,
    primary: PositionReport | null,
    rank: number,
    now: Milliseconds,
  ): void {
    if (this.#leadership === null || server === this.#leadership.primary) return
    const follower = this.#followerOf(server, now)
    this.#noteProgress(follower, report, now)
    if (!this.#needsFollow(follower, report, primary, now)) {
      follower.followNeededSince = null
      return
    }
    follower.followNeededSince ??= now
    const rankDelay = rank * RANK_DELAY_MILLISECONDS
    if (now - follower.followNeededSince < rankDelay || now < follower.notBefore) return
    this.#sendFollow(server, now)
  }

  /** Called when a server that refused connections answers again. */
  restarted(server: BackendServerId, now: Milliseconds): void {
    if (this.#leadership === null || server === this.#leadership.primary) return
    const follower = this.#followerOf(server, now)
    follower.hasRestarted = true
    // Its next report is its starting position, not progress, even if it is past the last one seen.
    follower.position = null
    follower.notBefore = now
  }

  answered(call: CallId): void {
    const server = this.#calls.get(call)
    this.#calls.delete(call)
    const follower = server === undefined ? undefined : this.#followers.get(server)
    if (follower !== undefined) follower.isFollowPending = false
  }

  /** A failed `follow` is repeated after a short delay, once the server answers position requests. */
  failed(call: CallId, now: Milliseconds): void {
    const server = this.#calls.get(call)
    this.#calls.delete(call)
    const follower = server === undefined ? undefined : this.#followers.get(server)
    if (follower === undefined) return
    const first = this.#options.callRetryMilliseconds
    const wait = backOffMilliseconds(first, follower.attempts, MAX_RETRY_FACTOR)
    follower.notBefore = addMilliseconds(now, wait)
  }

  #followerOf(server: BackendServerId, now: Milliseconds): Follower {
    const known = this.#followers.get(server)
    if (known !== undefined) return known
    const follower: Follower = {
      isFollowPending: false,
      hasRestarted: false,
      position: null,
      advancedAt: now,
      followNeededSince: null,
      attempts: 0,
      notBefore: milliseconds(0),
    }
    this.#followers.set(server, follower)
    return follower
  }

  #noteProgress(follower: Follower, report: PositionReport, now: Milliseconds): void {
    const last = follower.position
    if (last !== null && comparePositions(report.position, last) === 0) return
    if (last !== null) follower.hasRestarted = false
    follower.position = report.position
    follower.advancedAt = now
    if (!follower.isFollowPending) follower.attempts = 0
  }

  /**
   * A replica without a source cannot be told from one that lags: the position of neither advances.
   * Another `follow` repairs the first and does not harm the second, so it is sent to both when they
   * make no progress. The back-off keeps a replica that is only slow from being disturbed.
   */
  #needsFollow(
    follower: Follower,
    report: PositionReport,
    primary: PositionReport | null,
    now: Milliseconds,
  ): boolean {
    const term = this.#leadership?.term ?? report.fencedTerm
    // It has promised a newer term than this one; only a leader of that term may make it follow.
    if (report.fencedTerm > term) return false
    if (follower.isFollowPending || follower.hasRestarted) return true
    if (report.role === 'primary' || report.fencedTerm < term) return true
    if (primary === null || comparePositions(report.position, primary.position) >= 0) return false
    const { stalledReplicaMilliseconds, stuckChangeMilliseconds } = this.#options
    // A log without a record of this term suggests that `follow` was never sent: the coordinator
    // may have been lost before it sent it.
    const hasRecordOfTerm = report.position.term === term
    const bound = hasRecordOfTerm ? stalledReplicaMilliseconds : stuckChangeMilliseconds
    return now - follower.advancedAt >= bound
  }

  #sendFollow(server: BackendServerId, now: Milliseconds): void {
    if (this.#leadership === null) return
    const follower = this.#followerOf(server, now)
    const first = this.#options.stalledReplicaMilliseconds
    follower.isFollowPending = true
    follower.hasRestarted = false
    follower.attempts += 1
    follower.notBefore = addMilliseconds(
      now,
      backOffMilliseconds(first, follower.attempts, MAX_RETRY_FACTOR),
    )
    const call = this.#effects.nextCallId()
    this.#calls.set(call, server)
    const { term, primary } = this.#leadership
    const timeoutMilliseconds = this.#options.callTimeoutMilliseconds
    this.#effects.emit({ kind: 'follow', call, server, term, primary, timeoutMilliseconds })
  }
}
