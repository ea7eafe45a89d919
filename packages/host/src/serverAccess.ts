/**
 * How statements get to backend servers: which one, over which connection, what a failed try teaches,
 * and how long to wait before the next.
 *
 * @internal
 */
import type { BackendServerId, LogPosition, Milliseconds } from '@nutmegcourse/shared'
import type { Mishap } from '@nutmegcourse/state'
import { attempt, type AttemptOutcome } from './attempt.js'
import type { BackendServerState } from './backendServerState.js'
import type { HostContext } from './hostContext.js'
import type { AcquireFailure, PooledLink } from './serverPool.js'
import type { StatementRequest } from './statements.js'
import { rest } from './waiting.js'

/** Before a server that was full is asked again; about what one statement takes there. */
const BUSY_PAUSE_MILLISECONDS = 20

/** News that a request waits for may be missed; then it looks again after this long. */
const LOOK_AGAIN_MILLISECONDS = 100

/** A try that failed, and where. */
export interface ServerMishap {
  readonly outcome: Extract<AttemptOutcome, { kind: 'mishap' }>
  readonly server: BackendServerState
}

export class ServerAccess {
  readonly #context: HostContext

  constructor(context: HostContext) {
    this.#context = context
  }

  /** The primary, if it may be given work; else null after some news, or a moment without. */
  async awaitPrimary(request: StatementRequest): Promise<BackendServerState | null> {
    const primary = request.desk.writablePrimary(this.#context.clock.now())
    if (primary !== null) return primary
    await this.#awaitNews(request)
    return null
  }

  /** The best server for a read or a reading transaction; else null after some news. */
  async awaitReader(
    request: StatementRequest,
    excluded: ReadonlySet<BackendServerId>,
  ): Promise<BackendServerState | null> {
    const { desk, route, session } = request
    const now = this.#context.clock.now()
    const need = desk.need(route.guarantee, session.ownPosition, now)
    if (need.kind === 'primary') return this.awaitPrimary(request)
    const reader = need.kind === 'unknown' ? null : desk.chooseReader(need.position, excluded, now)
    if (reader !== null) return reader
    await this.#awaitNews(request)
    return null
  }

  /** A connection to the server; null after a moment when there is none by `limit`. */
  async acquire(
    request: StatementRequest,
    server: BackendServerState,
    limit: Milliseconds,
  ): Promise<PooledLink | null> {
    const { priority } = request.route
    const acquired = await server.pool.acquire(request.session.values, priority, limit)
    if ('link' in acquired) return acquired.link
    await this.#afterNoConnection(request, acquired.failure)
    return null
  }

  async #afterNoConnection(request: StatementRequest, failure: AcquireFailure): Promise<void> {
    if (failure === 'unreachable' || failure === 'full') {
      await request.desk.changed.wait(this.jitter(BUSY_PAUSE_MILLISECONDS))
    }
  }

  /** Leaves the server out of this read's further tries; when none is left, all are tried again. */
  async leaveOut(
    request: StatementRequest,
    server: BackendServerState,
    excluded: Set<BackendServerId>,
  ): Promise<void> {
    excluded.add(server.entry.server)
    const isLeft = request.desk.chooseReader(null, excluded, this.#context.clock.now()) !== null
    if (isLeft) return
    excluded.clear()
    await this.pauseAfter({ kind: 'refused', refusal: 'busy' })
  }

  /** A moment before a server that refused is asked again. */
  async pauseAfter(what: Mishap): Promise<void> {
    if (what.kind !== 'refused') return
    await rest(this.jitter(BUSY_PAUSE_MILLISECONDS))
  }

  /** What a failed try tells of the server. */
  learn(
    request: StatementRequest,
    server: BackendServerState,
    what: Mishap,
    sentAt: Milliseconds,
  ): void {
    const { entry } = server
    this.#context.log.write('try_failed', {
      request: request.statement.id,
      route: request.route.name,
      server: entry.server,
      ...what,
      tookMilliseconds: Math.round(this.#context.clock.now() - sentAt),
    })
    if (what.kind === 'refused' && what.refusal === 'notPrimary') {
      request.desk.refusedToLead(entry.server, sentAt, 'answer')
    }
  }

  /** What an answer tells of how far the server has come. */
  noteReach(server: BackendServerState, after: LogPosition | null, outcome: AttemptOutcome): void {
    if (outcome.position !== null) server.progress.noteReached(outcome.position)
    if (after === null || outcome.kind === 'answered') return
    if (outcome.mishap.kind === 'refused' && outcome.mishap.refusal === 'behind') {
      server.progress.noteLacked(after, this.#context.clock.now())
    }
  }

  /** Runs a statement outside a transaction and gives its connection back. */
  async attemptSingle(
    request: StatementRequest,
    server: BackendServerState,
    link: PooledLink,
    after: LogPosition | null,
    confirmsLead: boolean,
  ): Promise<AttemptOutcome> {
    const { clock } = this.#context
    const sentAt = clock.now()
    const outcome = await attempt(this.#context, link, {
      session: request.session.values,
      statement: request.statement,
      after,
      isInTransaction: false,
      confirmsLead,
      deadline: request.deadline,
    })
    if (outcome.status === 'idle') server.pool.release(link)
    else server.pool.discard(link)
    if (outcome.kind === 'answered') {
      server.latency.record(clock.now() - sentAt, clock.now())
      request.desk.sawLog(server.entry.server, outcome.position, clock.now())
    }
    return outcome
  }

  /** Begins on one server and runs the first statement; null when no server was ready. */
  async #awaitNews(request: StatementRequest): Promise<void> {
    const left = request.deadline - this.#context.clock.now()
    await request.desk.changed.wait(Math.min(left, LOOK_AGAIN_MILLISECONDS))
  }

  /** Whether the time of the statement is over. */
  isOver(request: StatementRequest): boolean {
    return this.#context.clock.now() >= request.deadline
  }

  /** A span that differs from one host to the next, so that they do not come back together. */
  jitter(span: number): number {
    return span * (0.5 + this.#context.random.next())
  }
}
