/**
 * Handles the end of an attempt: the request ran or was refused, its connection broke, or its
 * caller disconnected.
 *
 * @internal
 */
import { milliseconds, type LogPosition, type Milliseconds } from '@nutmegcourse/shared'
import type { Reason } from '@nutmegcourse/shared'
import type { BackendServer } from './backendServer.js'
import type { CoreContext } from './coreContext.js'
import type { DatabaseGroup } from './databaseGroup.js'
import type { Dispatcher } from './dispatcher.js'
import { isWrite, type ProxyRequest } from './proxyRequest.js'
import type { ReadPath } from './readPath.js'
import type { WritePath } from './writePath.js'

/** Most attempts of a request after the first. */
const MOST_RETRIES = 2

export interface RunOutcome {
  readonly position: LogPosition | null
  readonly transactionOpen: boolean
  readonly failed: boolean
}

export class RequestOutcomes<Owner> {
  readonly #group: DatabaseGroup
  readonly #reads: ReadPath
  readonly #writes: WritePath
  readonly #context: CoreContext
  readonly #dispatcher: Dispatcher<Owner>

  constructor(
    group: DatabaseGroup,
    reads: ReadPath,
    writes: WritePath,
    context: CoreContext,
    dispatcher: Dispatcher<Owner>,
  ) {
    this.#group = group
    this.#reads = reads
    this.#writes = writes
    this.#context = context
    this.#dispatcher = dispatcher
  }

  /** Handles the complete answer of the backend server. */
  ran(request: ProxyRequest, outcome: RunOutcome, now: Milliseconds): void {
    if (outcome.transactionOpen) {
      this.#keepTransaction(request)
      return
    }
    const server = this.#dispatcher.release(request, now)
    if (!isWrite(request)) this.#readServed(request, server)
    else if (outcome.failed) this.#answerFailedWrite(request)
    else if (outcome.position === null || server === null) {
      // Without a position the write can not be confirmed, though it may have been committed.
      this.#context.requests.refuse(request, 'connection_lost')
    } else this.#writes.ran(request, outcome.position, server, now)
    if (server !== null) this.#dispatcher.dispatch(server, now)
  }

  /** The server refused the whole request, since it may not write or is stopping: nothing ran. */
  refusedUnrun(request: ProxyRequest, now: Milliseconds): void {
    const server = this.#dispatcher.release(request, now)
    if (server !== null) {
      if (isWrite(request)) server.recordWriteRefusal(this.#context.moment)
      else server.isQuestionUrgent = true
      this.#group.findLeader(now)
    }
    this.#retry(request, 'retry.server_error', 'backend_refused', now)
    if (server !== null) this.#dispatcher.dispatch(server, now)
  }

  /**
   * The connection broke while the request ran. Only an idempotent request that continues no
   * transaction is retried, and only while the caller has received none of its answer; otherwise
   * the outcome is unknown.
   */
  broken(request: ProxyRequest, partlyAnswered: boolean, now: Milliseconds): void {
    this.#dispatcher.drop(request)
    // A read has no effect, so any reason for a later refusal remains true.
    if (isWrite(request)) request.mayHaveRun = true
    const { idempotent } = request.classState.targets
    if (!idempotent || partlyAnswered || request.isContinued) {
      this.#context.requests.refuse(request, 'connection_lost')
      return
    }
    this.#retry(request, 'retry.broken', 'connection_lost', now)
  }

  /**
   * Nothing of the request left this proxy. It waits again, within its deadline, without using up a
   * retry. The deadline bounds this: each turn takes an open connection, and new ones take time.
   */
  notSent(request: ProxyRequest, now: Milliseconds): void {
    if (request.isContinued) {
      this.#dispatcher.drop(request)
      this.#context.requests.refuse(request, 'transaction_lost')
      return
    }
    const isConnectionLost = request.connection === null
    const server = this.#dispatcher.takeBack(request)
    if (isConnectionLost) request.avoid = server
    this.#renewDeadline(request, now)
    this.#context.effects.count('retry.not_sent', request.classState.tags)
    this.place(request, now)
    if (server !== null) this.#dispatcher.dispatch(server, now)
  }

  /** The caller disconnected. */
  abandon(request: ProxyRequest, now: Milliseconds): void {
    const { server, phase } = request
    this.#reads.remove(request)
    this.#writes.remove(request)
    for (const each of this.#group.servers) each.reads.remove(request)
    this.#context.requests.finish(request)
    if (phase !== 'running' && phase !== 'inTransaction') return
    this.#dispatcher.drop(request)
    if (server !== null) this.#dispatcher.dispatch(server, now)
  }

  /** Routes a request that has not run yet or is being retried. */
  place(request: ProxyRequest, now: Milliseconds): void {
    if (!isWrite(request)) this.#reads.place(request, now)
    else if (this.#writes.admit(request, now)) this.#dispatcher.submitWrite(request, now)
  }

  #keepTransaction(request: ProxyRequest): void {
    request.phase = 'inTransaction'
    // Nothing is committed yet, so there is nothing to confirm.
    if (isWrite(request)) {
      this.#context.effects.push({ kind: 'acknowledge', request: request.id })
    }
  }

  #retry(
    request: ProxyRequest,
    counter: 'retry.broken' | 'retry.server_error',
    whenSpent: Reason,
    now: Milliseconds,
  ): void {
    const { budget, targets, tags, refusedUnrunTags } = request.classState
    if (request.isContinued || request.attempts >= MOST_RETRIES) {
      this.#context.requests.refuse(request, whenSpent)
      return
    }
    if (!budget.take(now)) {
      this.#context.requests.refuse(request, 'retry_budget_spent', {
        retryAfterMilliseconds: targets.latencyMilliseconds,
      })
      return
    }
    request.attempts += 1
    request.avoid = request.server
    request.server = null
    this.#renewDeadline(request, now)
    this.#context.effects.count(counter, counter === 'retry.broken' ? tags : refusedUnrunTags)
    this.place(request, now)
  }

  /** Extends the deadline for a retry, since an unresponsive server may have used up the time. */
  #renewDeadline(request: ProxyRequest, now: Milliseconds): void {
    const { latencyMilliseconds } = request.classState.targets
    const limit = this.#context.options.failoverWaitMilliseconds
    const last = request.arrivedAt + Math.max(latencyMilliseconds, limit)
    const renewed = Math.min(now + latencyMilliseconds, last)
    if (renewed > request.deadline) request.deadline = milliseconds(renewed)
  }

  #readServed(request: ProxyRequest, server: BackendServer | null): void {
    const { effects, requests } = this.#context
    const { classState } = request
    if (server === this.#group.primary) {
      effects.count('request.served', classState.primaryTags)
      effects.count('read.primary', classState.primaryReadTags[request.turn])
    } else {
      effects.count('request.served', classState.replicaTags)
      effects.count('read.replica', classState.tags)
    }
    classState.budget.recordSuccess()
    requests.finish(request)
  }

  /** Releases the error at once: the write had no lasting effect that would need confirmation. */
  #answerFailedWrite(request: ProxyRequest): void {
    this.#context.effects.push({ kind: 'acknowledge', request: request.id })
    this.#context.requests.finish(request)
  }
}
