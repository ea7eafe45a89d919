/**
 * Chooses the backend server that serves a read.
 *
 * @internal
 */
import { addMilliseconds, type Milliseconds } from '@nutmegcourse/shared'
import type { LogPosition } from '@nutmegcourse/shared'
import type { BackendServer } from './backendServer.js'
import { UNRESPONSIVE_AFTER_MILLISECONDS, type DatabaseGroup } from './databaseGroup.js'
import type { ProxyRequest } from './proxyRequest.js'
import { err, ok, type Result } from './results.js'

/** Longest a read waits for a replica to catch up before the primary serves it. */
const LONGEST_CATCH_UP_WAIT_MILLISECONDS = 100
/** Fraction of a class's latency that such a wait may take. */
const CATCH_UP_WAIT_SHARE = 0.4

export type RoutingFailure =
  /** No server is known to hold the required position at an age that the class accepts. */
  | { readonly kind: 'noneFresh' }
  /** The primary will serve the read unless a replica catches up before `until`. */
  | { readonly kind: 'replicaBehind'; readonly until: Milliseconds }
  /** Some server qualifies, but none is predicted to serve the read before its deadline. */
  | { readonly kind: 'allLate'; readonly lateBy: number }

export class ReadRouter {
  readonly #group: DatabaseGroup

  constructor(group: DatabaseGroup) {
    this.#group = group
  }

  /** The read must have a `required` position. Fixes the read's turn under the class's share. */
  choose(request: ProxyRequest, now: Milliseconds): Result<BackendServer, RoutingFailure> {
    const { classState, required } = request
    if (required === null) return err({ kind: 'noneFresh' })
    const primary = this.#group.primary
    const permitted = classState.targets.replicaReadShare
    const candidates = this.#findCandidates(request, required, primary, now)
    const primaryUp =
      primary !== null &&
      primary.isUsable &&
      !primary.isUnresponsive(now, UNRESPONSIVE_AFTER_MILLISECONDS)
    if (
      request.turn === 'undecided' &&
      (candidates.replica ?? candidates.primary ?? null) !== null
    ) {
      request.turn = classState.share.takeTurn(permitted)
    }
    if (request.turn === 'primary' && primaryUp) {
      if (candidates.primary !== null) return ok(candidates.primary)
      return err(candidates.failure())
    }
    if (candidates.replica !== null) {
      const mayUse = request.turn === 'replica' || permitted > 0
      if (request.turn === 'primary' && mayUse) classState.share.overdraw()
      if (mayUse) {
        if (request.isWaitingForReplica) classState.replicaWaits.recordSuccess()
        return ok(candidates.replica)
      }
    }
    if (candidates.primary === null) return err(candidates.failure())
    if (request.turn !== 'replica') return ok(candidates.primary)
    return this.#waitForReplica(request, candidates.primary, candidates.replicaBehind, now)
  }

  /** For a read that the primary could serve now but its class's share assigns to a replica. */
  #waitForReplica(
    request: ProxyRequest,
    primary: BackendServer,
    mayCatchUp: boolean,
    now: Milliseconds,
  ): Result<BackendServer, RoutingFailure> {
    const { share, replicaWaits } = request.classState
    const until = addMilliseconds(request.arrivedAt, longestCatchUpWait(request))
    const mayWait = mayCatchUp && now < until
    if (mayWait && (request.isWaitingForReplica || replicaWaits.mayStart(now))) {
      request.isWaitingForReplica = true
      return err({ kind: 'replicaBehind', until })
    }
    if (request.isWaitingForReplica) replicaWaits.recordFailure(now)
    share.refund()
    request.turn = 'replicaUnfit'
    return ok(primary)
  }

  /** Whether the server, leading or not, holds `required` at an age that the class accepts. */
  qualifies(
    server: BackendServer,
    request: ProxyRequest,
    required: LogPosition,
    now: Milliseconds,
  ): boolean {
    const { tracker } = this.#group
    if (!server.isUsable || !tracker.isAtOrPast(server.id, required)) return false
    const freshness = request.classState.targets.freshnessMilliseconds
    // With freshness 0, `required` covers a bound asked after the arrival instead of an age.
    return freshness === 0 || tracker.freshAsOf(server.id) >= now - freshness
  }

  #findCandidates(
    request: ProxyRequest,
    required: LogPosition,
    primary: BackendServer | null,
    now: Milliseconds,
  ): ServerCandidates {
    const candidates = new ServerCandidates()
    const remaining = request.deadline - now
    for (const server of this.#group.servers) {
      if (!this.qualifies(server, request, required, now)) {
        if (server !== primary && server.isUsable) candidates.replicaBehind = true
        continue
      }
      const wait = server.predictedWait(server.reads.size, now)
      if (wait > remaining) candidates.recordLate(wait - remaining)
      else if (server === primary) candidates.primary = server
      else if (isBetter(server, candidates.replica, request)) candidates.replica = server
    }
    return candidates
  }
}

class ServerCandidates {
  primary: BackendServer | null = null
  replica: BackendServer | null = null
  replicaBehind = false
  #leastLateBy: number | null = null

  recordLate(lateBy: number): void {
    this.#leastLateBy = Math.min(this.#leastLateBy ?? lateBy, lateBy)
  }

  failure(): RoutingFailure {
    if (this.#leastLateBy === null) return { kind: 'noneFresh' }
    return { kind: 'allLate', lateBy: this.#leastLateBy }
  }
}

function longestCatchUpWait(request: ProxyRequest): number {
  const { latencyMilliseconds } = request.classState.targets
  return Math.min(latencyMilliseconds * CATCH_UP_WAIT_SHARE, LONGEST_CATCH_UP_WAIT_MILLISECONDS)
}

/** Prefers the nearer server, then the lower load; avoids the server of the failed attempt. */
function isBetter(
  server: BackendServer,
  than: BackendServer | null,
  request: ProxyRequest,
): boolean {
  if (than === null) return true
  if (than === request.avoid) return true
  if (server === request.avoid) return false
  if (server.distance !== than.distance) return server.distance < than.distance
  return server.load < than.load
}
