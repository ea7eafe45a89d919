/**
 * Carries single statements and transactions to backend servers: where to, how often, how long, and
 * what the caller is told when nothing came of it.
 *
 * @internal
 */
import {
  addMilliseconds,
  laterPosition,
  type BackendServerId,
  type LogPosition,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type { CallerAnswer, CallerRefusal, Route, SessionStatus } from '@nutmegcourse/protocol'
import { fateOf, type Mishap, type SessionValues, type StatementPlace } from '@nutmegcourse/state'
import {
  adoptValues,
  attempt,
  runOwn,
  type AttemptOutcome,
  type RemoteStatement,
} from './attempt.js'
import type { BackendServerState } from './backendServerState.js'
import type { HostContext } from './hostContext.js'
import type { RelayPeer } from './relayPeer.js'
import type { AcquireFailure, PooledLink } from './serverPool.js'
import type { ServiceDesk } from './serviceDesk.js'
import { earlier, pause, rest } from './waiting.js'

/** What a session brings to each of its statements. */
export interface SessionState {
  readonly values: SessionValues
  /** The end of the log after the session's last acknowledged write; null when it wrote nothing. */
  ownPosition: LogPosition | null
}

export interface StatementRequest {
  readonly desk: ServiceDesk
  readonly route: Route
  readonly session: SessionState
  readonly statement: RemoteStatement
  readonly isWrite: boolean
  readonly arrivedAt: Milliseconds
  readonly deadline: Milliseconds
}

/** Whether only the primary can run it. `readOnly`: it begins a transaction that only reads. */
export const needsPrimary = (request: StatementRequest, readOnly: boolean): boolean =>
  request.isWrite || !readOnly || request.route.guarantee.kind === 'latest'

export interface StatementResult {
  readonly answer: CallerAnswer
  readonly position: LogPosition | null
}

/** A transaction that has begun on a connection of this host. */
export interface LocalTransaction {
  readonly kind: 'local'
  readonly desk: ServiceDesk
  readonly server: BackendServerState
  readonly link: PooledLink
}

/** A transaction that another entry host runs for this one. */
export interface RelayedTransaction {
  readonly kind: 'relayed'
  readonly desk: ServiceDesk
  readonly peer: RelayPeer
  /** The other host's number for it. */
  readonly id: number
}

export type RunningTransaction = LocalTransaction | RelayedTransaction

export interface BegunTransaction<Transaction = RunningTransaction> {
  readonly result: StatementResult
  /** Null when the transaction is over. */
  readonly transaction: Transaction | null
}

/** Runs the statements of sessions, here or elsewhere. */
export interface Runner {
  /** A read or write outside a transaction. */
  single(request: StatementRequest): Promise<StatementResult>
  /** The first statement of a transaction, with the BEGIN that the caller was already told of. */
  begin(request: StatementRequest, readOnly: boolean): Promise<BegunTransaction>
  /** A later statement of a transaction, the commit included. */
  continue(request: StatementRequest, transaction: RunningTransaction): Promise<BegunTransaction>
  /** Gives up the transaction. `status` is where the server left it. */
  endTransaction(transaction: RunningTransaction, status: SessionStatus | null): void
}

/** Before a server that was full is asked again; about what one statement takes there. */
const BUSY_PAUSE_MILLISECONDS = 20

/** News that a request waits for may be missed; then it looks again after this long. */
const LOOK_AGAIN_MILLISECONDS = 100

/** A read waits this long for a connection before it looks at other servers. */
const READ_ACQUIRE_MILLISECONDS = 200

/**
 * When a second server gets the same read: after three times what the first usually takes, but not
 * before its tail is over, and early enough that the second still has most of the time.
 */
const HEDGE_FACTOR = 3
const HEDGE_LEAST_MILLISECONDS = 120
const HEDGE_TIMEOUT_SHARE = 0.4

/** What a caller is advised to wait before it comes back. */
const RETRY_AFTER_MILLISECONDS = 250

interface ServerMishap {
  readonly outcome: Extract<AttemptOutcome, { kind: 'mishap' }>
  readonly server: BackendServerState
}

type ReadOutcome =
  /** The server gave no connection, or nothing tells yet how fresh the read must be. */
  | { readonly kind: 'notTried'; readonly server: BackendServerState }
  | { readonly kind: 'answered'; readonly result: StatementResult }
  | ({ readonly kind: 'mishap' } & ServerMishap)

export class StatementRunner {
  readonly #context: HostContext

  constructor(context: HostContext) {
    this.#context = context
  }

  /** A read or write outside a transaction. */
  single(request: StatementRequest): Promise<StatementResult> {
    return request.isWrite ? this.#write(request) : this.#read(request)
  }

  /** The first statement of a transaction, with the BEGIN that the caller was already told of. */
  async begin(
    request: StatementRequest,
    readOnly: boolean,
  ): Promise<BegunTransaction<LocalTransaction>> {
    const excluded = new Set<BackendServerId>()
    let last: Mishap = { kind: 'notSent' }
    for (;;) {
      if (this.#isOver(request)) {
        return { result: this.#refusal(request, 'firstOfTransaction', last), transaction: null }
      }
      const begun = await this.#tryBegin(request, readOnly, excluded)
      if (begun === null) continue
      if (begun.kind === 'begun') return begun
      last = begun.outcome.mishap
      const fate = fateOf('firstOfTransaction', last, false)
      if (fate.kind === 'answer') {
        return { result: refused(request, fate.refusal, last), transaction: null }
      }
      await this.#leaveOut(request, begun.server, excluded)
    }
  }

  /** A later statement of a transaction, the commit included. */
  async continue(
    request: StatementRequest,
    transaction: LocalTransaction,
  ): Promise<BegunTransaction<LocalTransaction>> {
    const isCommit = request.statement.body.kind === 'commit'
    const place: StatementPlace = isCommit ? 'commit' : 'withinTransaction'
    for (;;) {
      const sentAt = this.#context.clock.now()
      const outcome = await attempt(this.#context, transaction.link, {
        session: request.session.values,
        statement: request.statement,
        after: null,
        isInTransaction: true,
        confirmsLead: false,
        deadline: request.deadline,
      })
      if (outcome.kind === 'answered') {
        return this.#transactionAnswered(request, transaction, outcome, isCommit)
      }
      const isOpen = outcome.status === 'open'
      this.#learn(request, transaction.server, outcome.mishap, sentAt)
      const fate = fateOf(place, outcome.mishap, isOpen)
      if (fate.kind === 'retryHere' && !this.#isOver(request)) {
        await rest(this.#jitter(BUSY_PAUSE_MILLISECONDS))
        continue
      }
      this.endTransaction(transaction, outcome.status)
      const refusal = fate.kind === 'answer' ? fate.refusal : fate.otherwise
      return { result: refused(request, refusal, outcome.mishap), transaction: null }
    }
  }

  /** Gives the connection back without the transaction. `status` is where the server left it. */
  endTransaction(transaction: LocalTransaction, status: SessionStatus | null): void {
    const { server, link } = transaction
    if (status === null) {
      server.pool.discard(link)
      return
    }
    if (status === 'idle') {
      server.pool.release(link)
      return
    }
    void this.#rollBack(server, link)
  }

  async #rollBack(server: BackendServerState, link: PooledLink): Promise<void> {
    const deadline = addMilliseconds(this.#context.clock.now(), ROLLBACK_LIMIT_MILLISECONDS)
    const reply = await runOwn(this.#context, link, { kind: 'rollback' }, deadline)
    if (reply?.outcome.kind === 'done' && reply.status === 'idle') server.pool.release(link)
    else server.pool.discard(link)
  }

  async #write(request: StatementRequest): Promise<StatementResult> {
    let last: Mishap = { kind: 'notSent' }
    while (!this.#isOver(request)) {
      const server = await this.#awaitPrimary(request)
      if (server === null) continue
      const link = await this.#acquire(request, server, request.deadline)
      if (link === null) continue
      const sentAt = this.#context.clock.now()
      const outcome = await this.#attemptSingle(request, server, link, null, false)
      if (outcome.kind === 'answered') {
        this.#noteOwnWrite(request, outcome.position)
        request.desk.provedToLead(server.entry.server, sentAt, outcome.position)
        return answered(outcome)
      }
      last = outcome.mishap
      this.#learn(request, server, last, sentAt)
      const fate = fateOf('singleWrite', last, false)
      if (fate.kind === 'answer') return refused(request, fate.refusal, last)
      await this.#pauseAfter(last)
    }
    return this.#refusal(request, 'singleWrite', last)
  }

  async #read(request: StatementRequest): Promise<StatementResult> {
    const excluded = new Set<BackendServerId>()
    let last: Mishap = { kind: 'notSent' }
    while (!this.#isOver(request)) {
      const outcome = await this.#hedgedRead(request, excluded)
      if (outcome === null) continue
      if (outcome.kind === 'answered') return outcome.result
      if (outcome.kind === 'notTried') {
        await this.#leaveOut(request, outcome.server, excluded)
        continue
      }
      last = outcome.outcome.mishap
      const fate = fateOf('singleRead', last, false)
      if (fate.kind === 'answer') return refused(request, fate.refusal, last)
      await this.#leaveOut(request, outcome.server, excluded)
    }
    return this.#refusal(request, 'singleRead', last)
  }

  /** Tries the best server, and a second one when the first takes long. Null when none was ready. */
  async #hedgedRead(
    request: StatementRequest,
    excluded: Set<BackendServerId>,
  ): Promise<ReadOutcome | null> {
    const server = await this.#awaitReader(request, excluded)
    if (server === null) return null
    const first = this.#tryRead(request, server)
    if (request.route.guarantee.kind === 'latest') return first
    const delay = pause(this.#hedgeDelay(request, server))
    const early = await Promise.race([first, delay.over])
    delay.cancel()
    if (early !== undefined) return early
    const others = new Set([...excluded, server.entry.server])
    const second = request.desk.chooseReader(null, others, this.#context.clock.now())
    if (second === null) return first
    this.#context.log.write('read_hedged', {
      request: request.statement.id,
      first: server.entry.server,
      second: second.entry.server,
    })
    return firstAnswered(first, this.#tryRead(request, second))
  }

  async #tryRead(request: StatementRequest, server: BackendServerState): Promise<ReadOutcome> {
    const { clock } = this.#context
    const limit = earlier(request.deadline, clock.now() + READ_ACQUIRE_MILLISECONDS)
    const link = await this.#acquire(request, server, limit)
    if (link === null) return { kind: 'notTried', server }
    const sentAt = clock.now()
    const need = request.desk.need(request.route.guarantee, request.session.ownPosition, sentAt)
    if (need.kind === 'unknown') {
      server.pool.release(link)
      return { kind: 'notTried', server }
    }
    const after = need.kind === 'position' ? need.position : null
    const outcome = await this.#attemptSingle(request, server, link, after, after === null)
    this.#noteReach(server, after, outcome)
    if (outcome.kind === 'answered') return { kind: 'answered', result: answered(outcome) }
    this.#learn(request, server, outcome.mishap, sentAt)
    return { kind: 'mishap', outcome, server }
  }

  #noteReach(server: BackendServerState, after: LogPosition | null, outcome: AttemptOutcome): void {
    if (after === null) return
    if (outcome.kind === 'answered') server.behind.noteServed()
    else if (outcome.mishap.kind === 'refused' && outcome.mishap.refusal === 'behind') {
      server.behind.noteBehind(after, this.#context.clock.now())
    }
  }

  async #attemptSingle(
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
  async #tryBegin(
    request: StatementRequest,
    readOnly: boolean,
    excluded: Set<BackendServerId>,
  ): Promise<
    | ({ readonly kind: 'begun' } & BegunTransaction<LocalTransaction>)
    | ({ kind: 'mishap' } & ServerMishap)
    | null
  > {
    const { clock } = this.#context
    const { desk, route, session } = request
    const atPrimary = needsPrimary(request, readOnly)
    const server = atPrimary
      ? await this.#awaitPrimary(request)
      : await this.#awaitReader(request, excluded)
    if (server === null) return null
    const limit = atPrimary
      ? request.deadline
      : earlier(request.deadline, clock.now() + READ_ACQUIRE_MILLISECONDS)
    const link = await this.#acquire(request, server, limit)
    if (link === null) {
      if (!atPrimary) await this.#leaveOut(request, server, excluded)
      return null
    }
    const sentAt = clock.now()
    const need = atPrimary ? null : desk.need(route.guarantee, session.ownPosition, sentAt)
    if (need?.kind === 'unknown') {
      server.pool.release(link)
      return null
    }
    const transaction: LocalTransaction = { kind: 'local', desk, server, link }
    if (!(await adoptValues(this.#context, link, session.values, request.deadline))) {
      server.pool.discard(link)
      return lostMishap(server)
    }
    const after = need?.kind === 'position' ? need.position : null
    // The statement waits for this answer: behind a refused BEGIN it would run by itself.
    const begun = await runOwn(
      this.#context,
      link,
      { kind: 'begin', readOnly: !atPrimary, after },
      request.deadline,
    )
    if (begun === null) {
      server.pool.discard(link)
      return lostMishap(server)
    }
    if (begun.outcome.kind === 'refused') {
      this.endTransaction(transaction, begun.status)
      const { refusal } = begun.outcome
      if (refusal === 'behind' && after !== null) server.behind.noteBehind(after, clock.now())
      this.#learn(request, server, { kind: 'refused', refusal }, sentAt)
      const outcome = {
        kind: 'mishap',
        mishap: { kind: 'refused', refusal },
        status: begun.status,
      } as const
      return { kind: 'mishap', outcome, server }
    }
    if (atPrimary) desk.provedToLead(server.entry.server, sentAt, begun.position)
    return this.#firstStatement(request, transaction)
  }

  async #firstStatement(
    request: StatementRequest,
    transaction: LocalTransaction,
  ): Promise<
    | ({ readonly kind: 'begun' } & BegunTransaction<LocalTransaction>)
    | ({ kind: 'mishap' } & ServerMishap)
  > {
    const isCommit = request.statement.body.kind === 'commit'
    if (isCommit) return { kind: 'begun', ...(await this.continue(request, transaction)) }
    const sentAt = this.#context.clock.now()
    const outcome = await attempt(this.#context, transaction.link, {
      session: request.session.values,
      statement: request.statement,
      after: null,
      isInTransaction: true,
      confirmsLead: false,
      deadline: request.deadline,
    })
    if (outcome.kind === 'answered') {
      return {
        kind: 'begun',
        ...this.#transactionAnswered(request, transaction, outcome, false),
      }
    }
    this.#learn(request, transaction.server, outcome.mishap, sentAt)
    this.endTransaction(transaction, outcome.status)
    return { kind: 'mishap', outcome, server: transaction.server }
  }

  #transactionAnswered(
    request: StatementRequest,
    transaction: LocalTransaction,
    outcome: Extract<AttemptOutcome, { kind: 'answered' }>,
    isCommit: boolean,
  ): BegunTransaction<LocalTransaction> {
    if (isCommit) this.#noteOwnWrite(request, outcome.position)
    if (outcome.status === 'open') return { result: answered(outcome), transaction }
    this.endTransaction(transaction, outcome.status)
    return { result: answered(outcome), transaction: null }
  }

  async #awaitPrimary(request: StatementRequest): Promise<BackendServerState | null> {
    const primary = request.desk.writablePrimary(this.#context.clock.now())
    if (primary !== null) return primary
    await this.#awaitNews(request)
    return null
  }

  async #awaitReader(
    request: StatementRequest,
    excluded: ReadonlySet<BackendServerId>,
  ): Promise<BackendServerState | null> {
    const { desk, route, session } = request
    const now = this.#context.clock.now()
    const need = desk.need(route.guarantee, session.ownPosition, now)
    if (need.kind === 'primary') return this.#awaitPrimary(request)
    const reader = need.kind === 'unknown' ? null : desk.chooseReader(need.position, excluded, now)
    if (reader !== null) return reader
    await this.#awaitNews(request)
    return null
  }

  async #acquire(
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
      await request.desk.changed.wait(this.#jitter(BUSY_PAUSE_MILLISECONDS))
    }
  }

  /** Leaves the server out of this read's further tries; when none is left, all are tried again. */
  async #leaveOut(
    request: StatementRequest,
    server: BackendServerState,
    excluded: Set<BackendServerId>,
  ): Promise<void> {
    excluded.add(server.entry.server)
    const isLeft = request.desk.chooseReader(null, excluded, this.#context.clock.now()) !== null
    if (isLeft) return
    excluded.clear()
    await this.#pauseAfter({ kind: 'refused', refusal: 'busy' })
  }

  async #pauseAfter(what: Mishap): Promise<void> {
    if (what.kind !== 'refused') return
    await rest(this.#jitter(BUSY_PAUSE_MILLISECONDS))
  }

  /** What a failed try tells of the server. */
  #learn(
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

  #noteOwnWrite(request: StatementRequest, position: LogPosition | null): void {
    const { session } = request
    if (position === null) return
    session.ownPosition =
      session.ownPosition === null ? position : laterPosition(session.ownPosition, position)
  }

  async #awaitNews(request: StatementRequest): Promise<void> {
    const left = request.deadline - this.#context.clock.now()
    await request.desk.changed.wait(Math.min(left, LOOK_AGAIN_MILLISECONDS))
  }

  #hedgeDelay(request: StatementRequest, server: BackendServerState): number {
    const usual = server.latency.at(this.#context.clock.now()) * HEDGE_FACTOR
    const latest = request.route.statementTimeoutMilliseconds * HEDGE_TIMEOUT_SHARE
    return Math.min(Math.max(usual, HEDGE_LEAST_MILLISECONDS), latest)
  }

  #isOver(request: StatementRequest): boolean {
    return this.#context.clock.now() >= request.deadline
  }

  #jitter(span: number): number {
    return span * (0.5 + this.#context.random.next())
  }

  #refusal(request: StatementRequest, place: StatementPlace, last: Mishap): StatementResult {
    const fate = fateOf(place, last, false)
    return refused(request, fate.kind === 'answer' ? fate.refusal : fate.otherwise, last)
  }
}

/** A connection whose rollback is not answered by then is closed, which rolls back as well. */
const ROLLBACK_LIMIT_MILLISECONDS = 1000

function lostMishap(server: BackendServerState): { kind: 'mishap' } & ServerMishap {
  const outcome = {
    kind: 'mishap',
    mishap: { kind: 'lost', failure: 'connectionLost' },
    status: null,
  } as const
  return { kind: 'mishap', outcome, server }
}

function answered(outcome: Extract<AttemptOutcome, { kind: 'answered' }>): StatementResult {
  const { rows, signature, position } = outcome
  return { answer: { kind: 'rows', rows, signature }, position }
}

/** @internal */
export function refused(
  request: StatementRequest,
  refusal: CallerRefusal,
  last: Mishap,
): StatementResult {
  const why = last.kind === 'refused' ? last.refusal : last.kind
  const retryAfter =
    refusal === 'notRun' ? ` retry_after_ms=${String(RETRY_AFTER_MILLISECONDS)}` : ''
  const detail = `${request.route.name}: ${why}${retryAfter}`
  return { answer: { kind: 'refused', refusal, detail }, position: null }
}

/** The first answer of two tries; when both fail, the first's failure. */
async function firstAnswered(
  first: Promise<ReadOutcome>,
  second: Promise<ReadOutcome>,
): Promise<ReadOutcome> {
  const early = await Promise.race([first, second])
  if (early.kind === 'answered') return early
  const both = await Promise.all([first, second])
  return both.find(({ kind }) => kind === 'answered') ?? both[0]
}
