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
} from '@nutmegcourse/shared'
import type { SessionStatus } from '@nutmegcourse/protocol'
import { fateOf, type Mishap, type StatementPlace } from '@nutmegcourse/state'
import { adoptValues, attempt, runOwn, type AttemptOutcome } from './attempt.js'
import type { BackendServerState } from './backendServerState.js'
import type { HostContext } from './hostContext.js'
import { ServerAccess, type Access, type ServerMishap } from './serverAccess.js'
import type { PooledLink } from './serverPool.js'
import {
  answered,
  needsPrimary,
  refused,
  type BegunTransaction,
  type LocalTransaction,
  type StatementRequest,
  type StatementResult,
} from './statements.js'
import { earlier, pause } from './waiting.js'

/** A read waits this long for a connection before it looks at other servers. */
const READ_ACQUIRE_MILLISECONDS = 200

/**
 * When a second server gets the same read: after three times what the first usually takes, but not
 * before its tail is over, and early enough that the second still has most of the time.
 */
const HEDGE_FACTOR = 3
const HEDGE_LEAST_MILLISECONDS = 120
const HEDGE_TIMEOUT_SHARE = 0.4

/** The primary's writes wait for replicas that it does not reach. */
const UNCONFIRMED = { kind: 'unconfirmed' } as const

/** Why there is no connection, or none is asked for. */
type NoAccess = Exclude<Access, { kind: 'connected' }> | typeof UNCONFIRMED

type ReadOutcome =
  /** The server gave no connection, or nothing tells yet how fresh the read must be. */
  | { readonly kind: 'notTried'; readonly server: BackendServerState; readonly access: NoAccess }
  | { readonly kind: 'answered'; readonly result: StatementResult }
  | ({ readonly kind: 'mishap' } & ServerMishap)

export class StatementRunner {
  readonly #context: HostContext
  readonly #access: ServerAccess

  constructor(context: HostContext) {
    this.#context = context
    this.#access = new ServerAccess(context)
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
      if (this.#access.isOver(request)) {
        return { result: this.#refusal(request, 'firstOfTransaction', last), transaction: null }
      }
      const begun = await this.#tryBegin(request, readOnly, excluded)
      if (begun === null) continue
      if (begun.kind === 'begun') return begun
      if (begun.kind === 'notTried') {
        const result = this.#withoutAccess(request, 'firstOfTransaction', last, begun.access)
        if (result === null) continue
        return { result, transaction: null }
      }
      last = begun.outcome.mishap
      const fate = fateOf('firstOfTransaction', last, false)
      if (fate.kind === 'answer') {
        return { result: refused(request, fate.refusal, last), transaction: null }
      }
      await this.#access.leaveOut(request, begun.server, excluded)
    }
  }

  /** A later statement of a transaction, the commit included. */
  async continue(
    request: StatementRequest,
    transaction: LocalTransaction,
  ): Promise<BegunTransaction<LocalTransaction>> {
    const isCommit = request.statement.body.kind === 'commit'
    const place: StatementPlace = isCommit ? 'commit' : 'withinTransaction'
    const isWritten = isCommit && transaction.hasWritten
    if (isWritten && !transaction.server.mayWrite(this.#context.clock.now())) {
      // Rolled back, nothing of it is kept; sent, its outcome would be unknown.
      this.endTransaction(transaction, 'open')
      return { result: refused(request, 'aborted', UNCONFIRMED), transaction: null }
    }
    for (;;) {
      const sentAt = this.#context.clock.now()
      const write = isWritten ? transaction.server.writes.sent(sentAt) : null
      const outcome = await this.#attemptInside(request, transaction)
      if (write !== null) {
        const isConfirmed = outcome.kind === 'answered'
        transaction.server.writes.ended(write, isConfirmed, this.#context.clock.now())
      }
      if (outcome.kind === 'answered') {
        return this.#transactionAnswered(request, transaction, outcome, isCommit)
      }
      const isOpen = outcome.status === 'open'
      this.#access.learn(request, transaction.server, outcome.mishap, sentAt)
      const fate = fateOf(place, outcome.mishap, isOpen)
      if (fate.kind === 'retryHere' && !this.#access.isOver(request)) {
        await this.#access.pauseAfter(outcome.mishap)
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
    while (!this.#access.isOver(request)) {
      const server = await this.#access.awaitPrimary(request)
      if (server === null) continue
      if (!server.mayWrite(this.#context.clock.now())) {
        return refused(request, 'notRun', UNCONFIRMED)
      }
      const access = await this.#access.acquire(request, server, request.deadline)
      if (access.kind !== 'connected') {
        const result = this.#withoutAccess(request, 'singleWrite', last, access)
        if (result === null) continue
        return result
      }
      const { link } = access
      const sentAt = this.#context.clock.now()
      const write = server.writes.sent(sentAt)
      const outcome = await this.#access.attemptSingle(request, server, link, null, false)
      server.writes.ended(write, outcome.kind === 'answered', this.#context.clock.now())
      if (outcome.kind === 'answered') {
        this.#noteOwnWrite(request, outcome.position)
        request.desk.provedToLead(server.entry.server, sentAt, outcome.position)
        return answered(outcome)
      }
      last = outcome.mishap
      this.#access.learn(request, server, last, sentAt)
      const fate = fateOf('singleWrite', last, false)
      if (fate.kind === 'answer') return refused(request, fate.refusal, last)
      await this.#access.pauseAfter(last)
    }
    return this.#refusal(request, 'singleWrite', last)
  }

  async #read(request: StatementRequest): Promise<StatementResult> {
    const excluded = new Set<BackendServerId>()
    let last: Mishap = { kind: 'notSent' }
    while (!this.#access.isOver(request)) {
      const outcome = await this.#hedgedRead(request, excluded)
      if (outcome === null) continue
      if (outcome.kind === 'answered') return outcome.result
      if (outcome.kind === 'notTried') {
        if (this.#access.passOver(request, outcome.server, excluded)) continue
        const result = this.#withoutAccess(request, 'singleRead', last, outcome.access)
        if (result === null) continue
        return result
      }
      last = outcome.outcome.mishap
      const fate = fateOf('singleRead', last, false)
      if (fate.kind === 'answer') return refused(request, fate.refusal, last)
      await this.#access.leaveOut(request, outcome.server, excluded)
    }
    return this.#refusal(request, 'singleRead', last)
  }

  /** Tries the best server, and a second one when the first takes long. Null when none was ready. */
  async #hedgedRead(
    request: StatementRequest,
    excluded: Set<BackendServerId>,
  ): Promise<ReadOutcome | null> {
    const server = await this.#access.awaitReader(request, excluded)
    if (server === null) return null
    const first = this.#tryRead(request, server)
    if (request.route.guarantee.kind === 'latest') return first
    const delay = pause(this.#hedgeDelay(request, server))
    const early = await Promise.race([first, delay.over])
    delay.cancel()
    if (early !== undefined) return early
    const second = this.#secondReader(request, new Set([...excluded, server.entry.server]))
    if (second === null) return first
    this.#context.log.write('read_hedged', {
      request: request.statement.id,
      first: server.entry.server,
      second: second.entry.server,
    })
    return firstAnswered(first, this.#tryRead(request, second))
  }

  /** Another server that could serve the read; one that lacks what it needs would only be asked in vain. */
  #secondReader(
    request: StatementRequest,
    others: ReadonlySet<BackendServerId>,
  ): BackendServerState | null {
    const { desk, route, session } = request
    const now = this.#context.clock.now()
    const need = desk.need(route.guarantee, session.ownPosition, now)
    if (need.kind !== 'position' || !desk.hasReadyReader(need.position, others, now)) return null
    return desk.chooseReader(need.position, others, now)
  }

  async #tryRead(request: StatementRequest, server: BackendServerState): Promise<ReadOutcome> {
    const { clock } = this.#context
    const limit = earlier(request.deadline, clock.now() + READ_ACQUIRE_MILLISECONDS)
    const access = await this.#access.acquire(request, server, limit)
    if (access.kind !== 'connected') return { kind: 'notTried', server, access }
    const { link } = access
    const sentAt = clock.now()
    const need = request.desk.need(request.route.guarantee, request.session.ownPosition, sentAt)
    if (need.kind === 'unknown') {
      server.pool.release(link)
      return { kind: 'notTried', server, access: { kind: 'none' } }
    }
    const after = need.kind === 'position' ? need.position : null
    if (after !== null) server.progress.noteAsked(after, sentAt)
    const outcome = await this.#access.attemptSingle(request, server, link, after, after === null)
    this.#access.noteReach(server, after, outcome)
    if (outcome.kind === 'answered') return { kind: 'answered', result: answered(outcome) }
    this.#access.learn(request, server, outcome.mishap, sentAt)
    return { kind: 'mishap', outcome, server }
  }

  async #tryBegin(
    request: StatementRequest,
    readOnly: boolean,
    excluded: Set<BackendServerId>,
  ): Promise<
    | ({ readonly kind: 'begun' } & BegunTransaction<LocalTransaction>)
    | ({ kind: 'mishap' } & ServerMishap)
    | { readonly kind: 'notTried'; readonly access: NoAccess }
    | null
  > {
    const { clock } = this.#context
    const { desk, route, session } = request
    const atPrimary = needsPrimary(request, readOnly)
    const server = atPrimary
      ? await this.#access.awaitPrimary(request)
      : await this.#access.awaitReader(request, excluded)
    if (server === null) return null
    if (request.isWrite && !server.mayWrite(clock.now())) {
      return { kind: 'notTried', access: UNCONFIRMED }
    }
    const limit = atPrimary
      ? request.deadline
      : earlier(request.deadline, clock.now() + READ_ACQUIRE_MILLISECONDS)
    const access = await this.#access.acquire(request, server, limit)
    if (access.kind !== 'connected') {
      const isElsewhere = !atPrimary && this.#access.passOver(request, server, excluded)
      return isElsewhere ? null : { kind: 'notTried', access }
    }
    const { link } = access
    const sentAt = clock.now()
    const need = atPrimary ? null : desk.need(route.guarantee, session.ownPosition, sentAt)
    if (need?.kind === 'unknown') {
      server.pool.release(link)
      return null
    }
    const transaction: LocalTransaction = { kind: 'local', desk, server, link, hasWritten: false }
    if (!(await adoptValues(this.#context, link, session.values, request.deadline))) {
      server.pool.discard(link)
      return lostMishap(server)
    }
    const after = need?.kind === 'position' ? need.position : null
    if (after !== null) server.progress.noteAsked(after, sentAt)
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
      const outcome = {
        kind: 'mishap',
        mishap: { kind: 'refused', refusal },
        status: begun.status,
        position: begun.position,
      } as const
      this.#access.noteReach(server, after, outcome)
      this.#access.learn(request, server, outcome.mishap, sentAt)
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
    const outcome = await this.#attemptInside(request, transaction)
    if (outcome.kind === 'answered') {
      return {
        kind: 'begun',
        ...this.#transactionAnswered(request, transaction, outcome, false),
      }
    }
    this.#access.learn(request, transaction.server, outcome.mishap, sentAt)
    this.endTransaction(transaction, outcome.status)
    return { kind: 'mishap', outcome, server: transaction.server }
  }

  #attemptInside(
    request: StatementRequest,
    transaction: LocalTransaction,
  ): Promise<AttemptOutcome> {
    if (request.isWrite) transaction.hasWritten = true
    return attempt(this.#context, transaction.link, {
      session: request.session.values,
      statement: request.statement,
      after: null,
      isInTransaction: true,
      confirmsLead: false,
      deadline: request.deadline,
    })
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

  #noteOwnWrite(request: StatementRequest, position: LogPosition | null): void {
    const { session } = request
    if (position === null) return
    session.ownPosition =
      session.ownPosition === null ? position : laterPosition(session.ownPosition, position)
  }

  #hedgeDelay(request: StatementRequest, server: BackendServerState): number {
    const usual = server.latency.at(this.#context.clock.now()) * HEDGE_FACTOR
    const latest = request.route.statementTimeoutMilliseconds * HEDGE_TIMEOUT_SHARE
    return Math.min(Math.max(usual, HEDGE_LEAST_MILLISECONDS), latest)
  }

  /** What the caller is told when no server gave a connection; null when the request may go on looking. */
  #withoutAccess(
    request: StatementRequest,
    place: StatementPlace,
    last: Mishap,
    access: NoAccess,
  ): StatementResult | null {
    switch (access.kind) {
      case 'none':
        return null
      case 'tooLate':
        return this.#refusal(request, place, last)
      case 'overloaded':
      case 'unconfirmed': {
        // An earlier try may have run; then "not run" would not be true.
        const mayHaveRun = last.kind === 'lost' || last.kind === 'overdue'
        if (mayHaveRun) return this.#refusal(request, place, last)
        return refused(request, 'notRun', access)
      }
    }
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
    position: null,
  } as const
  return { kind: 'mishap', outcome, server }
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
