/**
 * How statements get to backend servers: which one, over which connection, what a failed try teaches,
 * and how long to wait before the next.
 *
 * @internal
 */
import {
  drawnApart,
  milliseconds,
  type BackendServerId,
  type LogPosition,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type { Mishap, WriteEnd } from '@nutmegcourse/state'
import { attempt, type AttemptOutcome } from './attempt.js'
import type { BackendServerState } from './backendServerState.js'
import type { HostContext } from './hostContext.js'
import type { AcquireFailure, PooledLink } from './pooledLink.js'
import type { StatementRequest } from './statements.js'
import { earlier, rest } from './waiting.js'

/** Before a server that was full is asked again; about what one statement takes there. */
const BUSY_PAUSE_MILLISECONDS = 20

/** News that a request waits for may be missed; then it looks again after this long. */
const LOOK_AGAIN_MILLISECONDS = 100

/**
 * Work that would wait longer for a connection than this part of its latency target is refused at
 * once. The rest of the target is for the way, for running, and for the other statements of its
 * operation; a caller that hears at once can still be served in time elsewhere. On days on which
 * one primary does the work of three servers, 0.954 of all worth is served at a quarter, 0.948 at
 * 0.4, 0.942 at 0.6 (means of four days each).
 */
const PATIENCE_SHARE = 0.25

/**
 * However slow a server seems, a statement may begin in the first half of its time: an estimate may
 * be wrong.
 */
const LONGEST_RUN_SHARE = 0.5

/** A read waits this long for a connection before it looks at other servers. */
export const READ_ACQUIRE_MILLISECONDS = 200

/** What came of asking for a connection. */
export type Access =
  | { readonly kind: 'connected'; readonly link: PooledLink }
  /** None, after a moment's wait; the request looks again at what there is. */
  | { readonly kind: 'none' }
  /** The statement could not be answered any more within its time. */
  | { readonly kind: 'tooLate' }
  | { readonly kind: 'overloaded'; readonly waitMilliseconds: number }

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

  /**
   * The best server for a read or a reading transaction; else null after some news, and all may be
   * tried again.
   */
  async awaitReader(
    request: StatementRequest,
    excluded: Set<BackendServerId>,
  ): Promise<BackendServerState | null> {
    const { desk, route, session, customer } = request
    const now = this.#context.clock.now()
    const need = desk.need(route.guarantee, session.ownPosition, now)
    if (need.kind === 'primary') return this.awaitPrimary(request)
    const reader =
      need.kind === 'unknown' ? null : desk.chooseReader(need.position, excluded, now, customer)
    if (reader !== null) return reader
    excluded.clear()
    await this.#awaitNews(request)
    return null
  }

  /** A connection to the server, or why there is none by `limit`. */
  async acquire(
    request: StatementRequest,
    server: BackendServerState,
    limit: Milliseconds,
  ): Promise<Access> {
    const { priority, latencyTargetMilliseconds } = request.route
    const lastStart = this.#lastStart(request, server)
    const askedAt = this.#context.clock.now()
    const acquired = await server.pool.acquire(request.session.values, {
      priority,
      deadline: earlier(limit, lastStart),
      patienceMilliseconds: latencyTargetMilliseconds * PATIENCE_SHARE,
      use: { kind: 'customer', customer: request.customer },
    })
    request.timing.connectionMilliseconds += this.#context.clock.now() - askedAt
    if ('link' in acquired) return { kind: 'connected', link: acquired.link }
    if (acquired.failure === 'overloaded') {
      return { kind: 'overloaded', waitMilliseconds: this.jitter(acquired.waitMilliseconds) }
    }
    if (this.#context.clock.now() >= lastStart) return { kind: 'tooLate' }
    await this.#afterNoConnection(request, acquired.failure)
    return { kind: 'none' }
  }

  /**
   * Until when the statement may begin at the server. One that begins later runs out of time there:
   * its slot is wasted, and its connection closed and made anew (an overloaded primary lost 0.8 of
   * its 3 slots so).
   */
  #lastStart(request: StatementRequest, server: BackendServerState): Milliseconds {
    const { arrivedAt, deadline } = request
    const usual = server.latency.at(this.#context.clock.now())
    return milliseconds(deadline - Math.min(usual, (deadline - arrivedAt) * LONGEST_RUN_SHARE))
  }

  async #afterNoConnection(request: StatementRequest, failure: AcquireFailure): Promise<void> {
    if (failure === 'unreachable' || failure === 'full') {
      await request.desk.changed.wait(this.jitter(BUSY_PAUSE_MILLISECONDS))
    }
  }

  /**
   * The server had no connection for this read. It is left out only where another one could serve,
   * which is told; else the read keeps its place there, by its deadline. Reads that left out a busy
   * primary while both replicas were seconds behind asked those in vain, 370 times a second, until
   * their time was over.
   */
  passOver(
    request: StatementRequest,
    server: BackendServerState,
    excluded: Set<BackendServerId>,
  ): boolean {
    if (this.otherReader(request, server, excluded) === null) return false
    excluded.add(server.entry.server)
    return true
  }

  /** Another server that could serve the read; one that lacks what it needs would be asked in vain. */
  otherReader(
    request: StatementRequest,
    server: BackendServerState,
    excluded: ReadonlySet<BackendServerId>,
  ): BackendServerState | null {
    const { desk, route, session, customer } = request
    const now = this.#context.clock.now()
    const need = desk.need(route.guarantee, session.ownPosition, now)
    if (need.kind !== 'position') return null
    const others = new Set([...excluded, server.entry.server])
    return desk.chooseReadyReader(need.position, others, now, customer)
  }

  /** Runs a write, or the commit of writes, and notes whether the server confirmed it. */
  async confirming(
    server: BackendServerState,
    run: () => Promise<AttemptOutcome>,
  ): Promise<AttemptOutcome> {
    const { clock } = this.#context
    const write = server.writes.sent(clock.now())
    const outcome = await run()
    server.writes.ended(write, endOf(outcome), clock.now())
    return outcome
  }

  /** Leaves the server out of this read's further tries; when none is left, all are tried again. */
  async leaveOut(
    request: StatementRequest,
    server: BackendServerState,
    excluded: Set<BackendServerId>,
  ): Promise<void> {
    excluded.add(server.entry.server)
    const { desk, customer } = request
    const now = this.#context.clock.now()
    if (desk.chooseReader(null, excluded, now, customer) !== null) return
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
      reason: reasonOf(what),
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
    request.timing.tries += 1
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

  async #awaitNews(request: StatementRequest): Promise<void> {
    const askedAt = this.#context.clock.now()
    const left = request.deadline - askedAt
    await request.desk.changed.wait(Math.min(left, LOOK_AGAIN_MILLISECONDS))
    request.timing.newsMilliseconds += this.#context.clock.now() - askedAt
  }

  /** Whether the time of the statement is over. */
  isOver(request: StatementRequest): boolean {
    return this.#context.clock.now() >= request.deadline
  }

  /** A span that differs from one host to the next, so that they do not come back together. */
  jitter(span: number): number {
    return drawnApart(span, this.#context.random)
  }
}

function endOf(outcome: AttemptOutcome): WriteEnd {
  if (outcome.kind === 'answered') return 'confirmed'
  const { mishap } = outcome
  return mishap.kind === 'refused' && mishap.refusal === 'timeout' ? 'unconfirmed' : 'silent'
}

/** What went wrong, in one word. */
function reasonOf(what: Mishap): string {
  switch (what.kind) {
    case 'refused':
      return what.refusal
    case 'lost':
      return what.failure
    case 'notSent':
    case 'overdue':
    case 'overloaded':
    case 'unconfirmed':
      return what.kind
  }
}
