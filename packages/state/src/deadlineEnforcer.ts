/**
 * Refuses requests whose deadline has passed, and determines the reason.
 *
 * @internal
 */
import { addMilliseconds, type Milliseconds, type Reason } from '@nutmegcourse/shared'
import type { BackendServer } from './backendServer.js'
import type { CoreContext } from './coreContext.js'
import { UNRESPONSIVE_AFTER_MILLISECONDS, type DatabaseGroup } from './databaseGroup.js'
import type { ProxyRequest } from './proxyRequest.js'
import type { ReadPath } from './readPath.js'
import type { RequestQueue } from './requestQueue.js'
import type { WritePath } from './writePath.js'

/** Interval for checking running requests against their deadlines. */
const RUNNING_CHECK_MILLISECONDS = 250

/** A request may run for this multiple of its class's latency, or for the run limit if longer. */
const RUN_LIMIT_IN_LATENCIES = 10

export class DeadlineEnforcer {
  readonly #group: DatabaseGroup
  readonly #reads: ReadPath
  readonly #writes: WritePath
  readonly #context: CoreContext

  constructor(group: DatabaseGroup, reads: ReadPath, writes: WritePath, context: CoreContext) {
    this.#group = group
    this.#reads = reads
    this.#writes = writes
    this.#context = context
  }

  /** Refuses waiting requests past their deadline, or extends it during a change of primary. */
  expire(now: Milliseconds): void {
    this.#expireQueue(this.#writes.queue, () => this.#writeReason(now), now)
    for (const server of this.#group.servers) {
      this.#expireQueue(server.reads, () => 'queue_deadline', now)
    }
    for (const read of this.#reads.takeExpired(now)) {
      if (this.#extend(read, now)) this.#reads.keep(read)
      else this.#refuse(read, this.#readReason(read))
    }
  }

  /** Running requests that the server has held for too long. */
  overdue(server: BackendServer, now: Milliseconds): ProxyRequest[] {
    if (server.pool.busyCount === 0) return []
    const isUnresponsive =
      server.isUnresponsive(now, UNRESPONSIVE_AFTER_MILLISECONDS) || !server.breaker.isClosed
    return server.pool.holders().filter(request => {
      if (request.phase !== 'running') return false
      return (isUnresponsive && this.#isOverdue(request, now)) || this.isPastRunLimit(request, now)
    })
  }

  /**
   * Position questions do not reveal a single connection that hangs, as after a lost packet that
   * no timeout covers; without a limit its request would never be answered.
   */
  isPastRunLimit({ startedAt, classState }: ProxyRequest, now: Milliseconds): boolean {
    const { runLimitMilliseconds } = this.#context.options
    const byClass = classState.targets.latencyMilliseconds * RUN_LIMIT_IN_LATENCIES
    return now >= addMilliseconds(startedAt, Math.max(runLimitMilliseconds, byClass))
  }

  /** Whether a request on an unresponsive server has run past the time it may wait there. */
  #isOverdue({ startedAt, classState }: ProxyRequest, now: Milliseconds): boolean {
    const { idempotent, latencyMilliseconds } = classState.targets
    const { failoverWaitMilliseconds } = this.#context.options
    // A request that can not be repeated waits longer: a late answer still tells its outcome.
    const limit = idempotent
      ? latencyMilliseconds
      : Math.max(latencyMilliseconds, failoverWaitMilliseconds)
    return now >= addMilliseconds(startedAt, limit)
  }

  nextWake(now: Milliseconds): Milliseconds {
    let next = Number.POSITIVE_INFINITY
    next = Math.min(next, this.#writes.nextWake() ?? next, this.#reads.nextWake() ?? next)
    for (const server of this.#group.servers) {
      next = Math.min(next, server.reads.peek()?.deadline ?? next)
      if (server.pool.mayOpenAt > now) next = Math.min(next, server.pool.mayOpenAt)
      if (server.pool.busyCount > 0) next = Math.min(next, now + RUNNING_CHECK_MILLISECONDS)
    }
    return next as Milliseconds
  }

  #expireQueue(queue: RequestQueue, reason: () => Reason, now: Milliseconds): void {
    for (;;) {
      const head = queue.peek()
      if (head === null || head.deadline > now) return
      queue.pop()
      if (this.#extend(head, now)) queue.push(head)
      else this.#refuse(head, reason())
    }
  }

  /**
   * Extends the deadline once while the database has no usable primary. Existing callers can not
   * be changed to retry: an answer after the change serves them better than a refusal during it.
   */
  #extend(request: ProxyRequest, now: Milliseconds): boolean {
    if (request.extended || !this.#group.isPrimaryInDoubt(now)) return false
    const limit = this.#context.options.failoverWaitMilliseconds
    const deadline = addMilliseconds(request.arrivedAt, limit)
    if (deadline <= now) return false
    request.extended = true
    request.deadline = deadline
    return true
  }

  #refuse(request: ProxyRequest, reason: Reason): void {
    const { latencyMilliseconds } = request.classState.targets
    this.#context.requests.refuse(request, reason, { retryAfterMilliseconds: latencyMilliseconds })
  }

  #writeReason(now: Milliseconds): Reason {
    const { leader } = this.#group
    if (leader === null) return 'no_primary'
    if (this.#group.isMoving(now) || leader.isLeaving) return 'primary_moving'
    if (!leader.breaker.isClosed) return 'circuit_open'
    if (!this.#group.canConfirm) return 'confirmation_predicted_late'
    return leader.pool.size === 0 ? 'connect_failed' : 'queue_deadline'
  }

  #readReason(read: ProxyRequest): Reason {
    if (read.required === null) return 'no_bound'
    const { replicaReadShare } = read.classState.targets
    if (replicaReadShare === 0 && this.#group.leader === null) return 'no_primary'
    return 'no_fresh_replica'
  }
}
