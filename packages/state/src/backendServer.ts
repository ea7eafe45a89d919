/**
 * One backend server as this proxy sees it: its connections, queue, health and open position
 * question.
 *
 * @internal
 */
import {
  addMilliseconds,
  milliseconds,
  type BackendServerId,
  type Milliseconds,
  type RandomSource,
} from '@nutmegcourse/shared'
import type { ListedBackendServer } from '@nutmegcourse/protocol'
import { CircuitBreaker } from './circuitBreaker.js'
import { ConnectionPool } from './connectionPool.js'
import type { Moment } from './positionTracker.js'
import type { ProxyPlace } from './proxyOptions.js'
import { RequestQueue } from './requestQueue.js'
import { ServiceEstimate } from './serviceEstimate.js'
import { forecastWait } from './waitForecast.js'

/** Network distance: 0 same zone, 1 same region, 2 another region, reached over the paid link. */
export type Distance = 0 | 1 | 2
export const OTHER_REGION: Distance = 2

/** Bounds of the interval between questions while requests wait for a position to advance. */
const SHORTEST_POLL_INTERVAL_MILLISECONDS = 1
const LONGEST_POLL_INTERVAL_MILLISECONDS = 20
const POLL_INTERVAL_GROWTH = 1.5

/** A position question without an answer yet; at most one is open per server. */
interface OpenQuestion {
  readonly askedAt: Milliseconds
  readonly moment: Moment
}

export class BackendServer {
  readonly id: BackendServerId
  readonly pool: ConnectionPool
  readonly breaker: CircuitBreaker
  readonly reads = new RequestQueue()
  readonly serviceEstimate = new ServiceEstimate()
  readonly distance: Distance
  #listed: ListedBackendServer
  #leavingSince: Milliseconds | null = null
  #question: OpenQuestion | null = null
  #lastAskedAt: Milliseconds = milliseconds(Number.NEGATIVE_INFINITY)
  #lastAskedMoment: Moment = -1
  #pollInterval = SHORTEST_POLL_INTERVAL_MILLISECONDS
  /** Asks at once, since the answer may explain a refusal or a closed connection. */
  isQuestionUrgent = false
  #lastQuestionFailed = false
  reportedHealth: 'reachable' | 'unreachable' | null = null
  #refusedWriteMoment: Moment | null = null

  constructor(listed: ListedBackendServer, place: ProxyPlace, random: RandomSource) {
    this.id = listed.id
    this.#listed = listed
    this.pool = new ConnectionPool(random)
    this.breaker = new CircuitBreaker(random)
    this.distance = distanceOf(listed, place)
  }

  get slots(): number {
    return this.#listed.slots
  }

  get connectionLimit(): number {
    return this.#listed.connectionLimit
  }

  get isLeaving(): boolean {
    return this.#leavingSince !== null
  }

  get leavingSince(): Milliseconds | null {
    return this.#leavingSince
  }

  /** Whether it may be sent new requests. */
  get isUsable(): boolean {
    return this.#leavingSince === null && this.breaker.isClosed
  }

  get question(): OpenQuestion | null {
    return this.#question
  }

  get lastAskedAt(): Milliseconds {
    return this.#lastAskedAt
  }

  get lastAskedMoment(): Moment {
    return this.#lastAskedMoment
  }

  get lastQuestionFailed(): boolean {
    return this.#lastQuestionFailed
  }

  /** It refused a write since its last report, so the role in that report is outdated. */
  get hasRefusedWrite(): boolean {
    return this.#refusedWriteMoment !== null
  }

  get pollInterval(): number {
    return this.#pollInterval
  }

  update(listed: ListedBackendServer, now: Milliseconds): void {
    this.#listed = listed
    if (listed.state === 'live') this.#leavingSince = null
    else this.leave(now)
  }

  leave(now: Milliseconds): void {
    this.#leavingSince ??= now
  }

  questionAsked(now: Milliseconds, moment: Moment): void {
    this.#question = { askedAt: now, moment }
    this.#lastAskedAt = now
    this.#lastAskedMoment = moment
    this.isQuestionUrgent = false
  }

  recordWriteRefusal(moment: Moment): void {
    this.#refusedWriteMoment = moment
    this.isQuestionUrgent = true
  }

  /** Clears a refusal if the answered question was sent after it; otherwise asks again at once. */
  clearWriteRefusal(askedMoment: Moment): void {
    if (this.#refusedWriteMoment !== null && askedMoment >= this.#refusedWriteMoment) {
      this.#refusedWriteMoment = null
    } else if (this.#refusedWriteMoment !== null) this.isQuestionUrgent = true
  }

  /** Ends the open question; null when `askedAt` belongs to an earlier one. */
  questionEnded(askedAt: Milliseconds, failed: boolean): OpenQuestion | null {
    const question = this.#question
    if (question === null || askedAt < question.askedAt) return null
    this.#question = null
    this.#lastQuestionFailed = failed
    return question
  }

  /** Treats the open question as failed, without waiting any longer for its answer. */
  abandonQuestion(): void {
    this.#question = null
    this.#lastQuestionFailed = true
  }

  /** Backs off exponentially while answers are unchanged; resets after one that is not. */
  adaptPollInterval(advanced: boolean): void {
    this.#pollInterval = advanced
      ? SHORTEST_POLL_INTERVAL_MILLISECONDS
      : Math.min(this.#pollInterval * POLL_INTERVAL_GROWTH, LONGEST_POLL_INTERVAL_MILLISECONDS)
  }

  /**
   * Predicted milliseconds until a request that arrives now gets a connection, behind `ahead`
   * queued ones. With none ahead it is 0 whatever the estimate: some request must run, or a wrong
   * estimate would never be corrected.
   */
  predictedWait(ahead: number, now: Milliseconds): number {
    if (ahead === 0 || this.pool.idleCount > ahead || this.pool.hasRoom(now)) return 0
    const connections = Math.min(this.pool.size, this.pool.share)
    return forecastWait({ ahead, connections, holdMilliseconds: this.serviceEstimate.at(now) })
  }

  /** Running and queued requests per slot; breaks ties between servers at the same distance. */
  get load(): number {
    return (this.pool.busyCount + this.reads.size) / Math.max(this.slots, 1)
  }

  /** Whether the open question is older than `limit` ms: the server may be stalled or cut off. */
  isUnresponsive(now: Milliseconds, limit: number): boolean {
    return this.#question !== null && now > addMilliseconds(this.#question.askedAt, limit)
  }
}

function distanceOf(listed: ListedBackendServer, place: ProxyPlace): Distance {
  if (listed.zone === place.zone) return 0
  return listed.region === place.region ? 1 : OTHER_REGION
}
