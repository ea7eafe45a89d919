/**
 * Handles the reads of one database from their arrival until a backend server is chosen.
 *
 * @internal
 */
import {
  isAtOrPast,
  laterPosition,
  type LogPosition,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type { BackendServer } from './backendServer.js'
import type { CoreContext } from './coreContext.js'
import type { DatabaseGroup } from './databaseGroup.js'
import type { Moment } from './positionTracker.js'
import type { ProxyRequest } from './proxyRequest.js'
import { ReadRouter } from './readRouter.js'
import type { SessionPositions } from './sessionPositions.js'

export interface ReadPositionDemand {
  /** The newest arrival that needs a bound; -1 for none. */
  readonly boundMoment: Moment
  readonly boundSince: Milliseconds
  readonly catchUpSince: Milliseconds | null
}

/** Runs a read on its chosen server, or queues it there. */
export type SubmitRead = (server: BackendServer, request: ProxyRequest, now: Milliseconds) => void

const NO_DEMAND: ReadPositionDemand = {
  boundMoment: -1,
  boundSince: 0 as Milliseconds,
  catchUpSince: null,
}

export class ReadPath {
  readonly #group: DatabaseGroup
  readonly #context: CoreContext
  readonly #sessions: SessionPositions
  readonly #router: ReadRouter
  readonly #submit: SubmitRead
  readonly #awaiting = new Set<ProxyRequest>()
  #wakeAt: Milliseconds | null = null

  constructor(
    group: DatabaseGroup,
    context: CoreContext,
    sessions: SessionPositions,
    submit: SubmitRead,
  ) {
    this.#group = group
    this.#context = context
    this.#sessions = sessions
    this.#submit = submit
    this.#router = new ReadRouter(group)
  }

  get awaitingCount(): number {
    return this.#awaiting.size
  }

  /** Submits the read to a server, or keeps it until positions allow that. */
  place(request: ProxyRequest, now: Milliseconds): void {
    request.required = this.#findRequiredPosition(request)
    if (request.required === null) {
      this.#keep(request)
      return
    }
    const choice = this.#router.choose(request, now)
    if (choice.isOk()) {
      if (request.phase === 'awaitingServer') this.#awaiting.delete(request)
      this.#submit(choice.value, request, now)
      return
    }
    const failure = choice.error
    switch (failure.kind) {
      case 'noneFresh':
        this.#keep(request)
        return
      case 'replicaBehind':
        this.#keep(request)
        this.#wakeBy(failure.until)
        return
      case 'allLate':
        this.#awaiting.delete(request)
        this.#context.requests.refuse(request, 'admission_predicted_late', {
          retryAfterMilliseconds: Math.ceil(failure.lateBy),
        })
        return
    }
  }

  /** Whether a queued read may still run on the server, whose data aged while the read waited. */
  mayRun(read: ProxyRequest, server: BackendServer, now: Milliseconds): boolean {
    return read.required !== null && this.#router.qualifies(server, read, read.required, now)
  }

  /** Places all waiting reads again; called when positions have changed. */
  reevaluate(now: Milliseconds): void {
    this.#wakeAt = null
    for (const request of [...this.#awaiting]) this.place(request, now)
  }

  remove(request: ProxyRequest): void {
    this.#awaiting.delete(request)
  }

  /** Removes and returns the waiting reads whose deadline has passed. */
  takeExpired(now: Milliseconds): ProxyRequest[] {
    const expired: ProxyRequest[] = []
    for (const request of this.#awaiting) if (request.deadline <= now) expired.push(request)
    for (const request of expired) this.#awaiting.delete(request)
    return expired
  }

  keep(request: ProxyRequest): void {
    this.#keep(request)
  }

  /** When a waiting read must be placed again or refused even if no position changes. */
  nextWake(): Milliseconds | null {
    let earliest = this.#wakeAt
    for (const { deadline } of this.#awaiting) {
      if (earliest === null || deadline < earliest) earliest = deadline
    }
    return earliest
  }

  /** What the waiting reads need from position questions. */
  positionDemand(): ReadPositionDemand {
    if (this.#awaiting.size === 0) return NO_DEMAND
    let boundMoment = -1
    let boundSince = Number.POSITIVE_INFINITY
    let catchUpSince = Number.POSITIVE_INFINITY
    for (const { required, arrivedMoment, arrivedAt } of this.#awaiting) {
      if (required === null) {
        boundMoment = Math.max(boundMoment, arrivedMoment)
        boundSince = Math.min(boundSince, arrivedAt)
      } else {
        catchUpSince = Math.min(catchUpSince, arrivedAt)
      }
    }
    return {
      boundMoment,
      boundSince: boundSince as Milliseconds,
      catchUpSince: Number.isFinite(catchUpSince) ? (catchUpSince as Milliseconds) : null,
    }
  }

  /**
   * The position that a server must have reached to serve the read. A session that other proxies
   * may share, or a class that requires everything acknowledged so far, needs a bound asked after
   * the arrival: a stored position does not cover what the session wrote through other proxies. A
   * session of one connection wrote only through this one. The bound may decrease as further
   * servers answer, so that more servers qualify.
   */
  #findRequiredPosition(request: ProxyRequest): LogPosition | null {
    const own = this.#sessions.requiredPosition(request.session)
    const belongsToConnection = !request.roams
    if (belongsToConnection && request.classState.targets.freshnessMilliseconds > 0) return own
    const bound = this.#group.tracker.boundAskedSince(request.arrivedMoment)
    if (bound === null) return request.required
    const required = laterPosition(bound, own)
    return request.required === null ? required : earlierPosition(request.required, required)
  }

  #keep(request: ProxyRequest): void {
    request.phase = 'awaitingServer'
    this.#awaiting.add(request)
  }

  #wakeBy(time: Milliseconds): void {
    if (this.#wakeAt === null || time < this.#wakeAt) this.#wakeAt = time
  }
}

const earlierPosition = (left: LogPosition, right: LogPosition): LogPosition =>
  isAtOrPast(left, right) ? right : left
