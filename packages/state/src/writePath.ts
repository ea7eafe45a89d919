/**
 * Handles the writes of one database: their queue, and their confirmation after they ran.
 *
 * @internal
 */
import { addMilliseconds, type LogPosition, type Milliseconds } from '@nutmegcourse/shared'
import type { BackendServer } from './backendServer.js'
import { forecastConfirmation } from './confirmationForecast.js'
import type { CoreContext } from './coreContext.js'
import type { DatabaseGroup } from './databaseGroup.js'
import {
  PendingConfirmations,
  confirmationOutcome,
  type SettledWrite,
} from './pendingConfirmations.js'
import type { Moment } from './positionTracker.js'
import type { ProxyRequest } from './proxyRequest.js'
import { RequestQueue } from './requestQueue.js'
import type { SessionPositions } from './sessionPositions.js'

export interface WritePositionDemand {
  /** When the newest waiting write ran, in logical time; -1 if no write waits. */
  readonly confirmMoment: Moment
  readonly confirmSince: Milliseconds
  readonly confirmAsksLeader: boolean
  /** Writes wait for a server that leads. */
  readonly seeksLeader: boolean
}

export class WritePath {
  readonly queue = new RequestQueue()
  readonly #group: DatabaseGroup
  readonly #context: CoreContext
  readonly #sessions: SessionPositions
  readonly #pending = new PendingConfirmations()
  #newestMoment: Moment = -1
  /** Cached for one version of the tracker's reports, because each write looks it up. */
  #forecast: number | null = null
  #forecastVersion = -1

  constructor(group: DatabaseGroup, context: CoreContext, sessions: SessionPositions) {
    this.#group = group
    this.#context = context
    this.#sessions = sessions
  }

  get confirmingCount(): number {
    return this.#pending.size
  }

  /** Refuses the write and returns false if it is predicted to be served too late. */
  admit(request: ProxyRequest, now: Milliseconds): boolean {
    return !this.#group.isWritable(now) || !this.#refusePredictedLate(request, now)
  }

  /** Registers a write that ran; its answer is held back until a majority holds the write. */
  ran(request: ProxyRequest, position: LogPosition, primary: BackendServer, now: Milliseconds) {
    const { latencyMilliseconds } = request.classState.targets
    const limit = Math.max(latencyMilliseconds, this.#context.options.confirmationFloorMilliseconds)
    request.phase = 'confirming'
    this.#newestMoment = this.#context.moment
    const write = {
      request,
      position,
      primary: primary.id,
      ranAt: now,
      expiresAt: addMilliseconds(now, limit),
    }
    const outcome = confirmationOutcome(write, this.#group.tracker, this.#group.record.termStarts)
    if (outcome === null) this.#pending.add(write)
    else this.#answer({ kind: outcome, write })
  }

  /** Answers every write whose outcome is now decided by position reports or expiry. */
  settle(now: Milliseconds): void {
    const { tracker, record } = this.#group
    for (const settled of this.#pending.settle(tracker, record.termStarts, now)) {
      this.#answer(settled)
    }
  }

  remove(request: ProxyRequest): void {
    this.queue.remove(request)
    this.#pending.remove(request)
  }

  nextWake(): Milliseconds | null {
    const queued = this.queue.peek()?.deadline ?? null
    const pending = this.#pending.nextExpiry()
    if (queued === null || pending === null) return queued ?? pending
    return queued < pending ? queued : pending
  }

  /** Whether queued writes wait for a writable primary. */
  seeksLeader(now: Milliseconds): boolean {
    return this.queue.size > 0 && !this.#group.isWritable(now)
  }

  positionDemand(now: Milliseconds): WritePositionDemand {
    const oldest = this.#pending.writes[0]
    return {
      confirmMoment: oldest === undefined ? -1 : this.#newestMoment,
      confirmSince: oldest?.ranAt ?? now,
      confirmAsksLeader: oldest !== undefined && this.#isOfEarlierTerm(oldest.position),
      seeksLeader: this.seeksLeader(now),
    }
  }

  #isOfEarlierTerm(position: LogPosition): boolean {
    const { leader, tracker, record } = this.#group
    if (leader === null) return true
    const term = tracker.reportOf(leader.id)?.position.term ?? record.term
    return term > position.term
  }

  #answer(settled: SettledWrite): void {
    const { request, position } = settled.write
    const { effects, requests } = this.#context
    switch (settled.kind) {
      case 'confirmed':
        this.#sessions.advance(request.session, position)
        effects.push({ kind: 'acknowledge', request: request.id })
        effects.count('request.served', request.classState.primaryTags)
        request.classState.budget.recordSuccess()
        requests.finish(request)
        return
      case 'rolledBack':
        requests.refuse(request, 'write_rolled_back', { retryAfterMilliseconds: 0 })
        return
      case 'expired':
        // It may still be confirmed later, and then the session must read it.
        this.#sessions.advance(request.session, position)
        requests.refuse(request, 'confirmation_timeout')
        return
    }
  }

  /** Returns true if the write was refused. */
  #refusePredictedLate(request: ProxyRequest, now: Milliseconds): boolean {
    const { leader } = this.#group
    if (leader === null) return false
    const { requests, options } = this.#context
    const { latencyMilliseconds } = request.classState.targets
    const limit = Math.max(latencyMilliseconds, options.confirmationFloorMilliseconds)
    const excess = this.#forecastExcess(limit, leader, now)
    if (excess > 0) {
      const retryAfterMilliseconds = Math.ceil(excess)
      requests.refuse(request, 'confirmation_predicted_late', { retryAfterMilliseconds })
      return true
    }
    const ahead = this.queue.size + leader.reads.size
    const lateBy = leader.predictedWait(ahead, now) - (request.deadline - now)
    if (lateBy <= 0 || this.#group.isPrimaryInDoubt(now)) return false
    const retryAfterMilliseconds = Math.ceil(lateBy)
    requests.refuse(request, 'admission_predicted_late', { retryAfterMilliseconds })
    return true
  }

  /** Milliseconds by which the forecast confirmation exceeds `limit`; 0 if it does not. */
  #forecastExcess(limit: number, leader: BackendServer, now: Milliseconds): number {
    const { tracker } = this.#group
    if (this.#forecastVersion !== tracker.version) {
      this.#forecastVersion = tracker.version
      this.#forecast = forecastConfirmation(tracker, leader.id, now)
    }
    if (this.#forecast === null || this.#forecast <= limit) return 0
    // The reports may have become stale since the forecast was cached; a refusal needs fresh ones.
    const fresh = forecastConfirmation(tracker, leader.id, now) ?? 0
    return Math.max(fresh - limit, 0)
  }
}
