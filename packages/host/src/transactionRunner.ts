/**
 * Transactions on this host's connections: where they begin, what runs in them, and how they end. A
 * transaction belongs to one connection from its first statement to its end.
 *
 * @internal
 */
import { addMilliseconds, type BackendServerId } from '@nutmegcourse/shared'
import type { SessionStatus } from '@nutmegcourse/protocol'
import { fateOf, type Mishap, type StatementPlace } from '@nutmegcourse/state'
import { adoptValues, attempt, runOwn, type AttemptOutcome } from './attempt.js'
import type { BackendServerState } from './backendServerState.js'
import type { HostContext } from './hostContext.js'
import { READ_ACQUIRE_MILLISECONDS, type ServerAccess, type ServerMishap } from './serverAccess.js'
import type { PooledLink } from './pooledLink.js'
import {
  answered,
  needsPrimary,
  noteOwnWrite,
  refused,
  type BegunTransaction,
  type LocalTransaction,
  type StatementRequest,
} from './statements.js'
import { UNCONFIRMED, refusalAfter, withoutAccess, type NoAccess } from './unserved.js'
import { earlier } from './waiting.js'

/** What came of beginning on one server; null when none was ready. */
type BeginOutcome =
  | ({ readonly kind: 'begun' } & BegunTransaction<LocalTransaction>)
  | ({ readonly kind: 'mishap' } & ServerMishap)
  | { readonly kind: 'notTried'; readonly access: NoAccess }

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

export class TransactionRunner {
  readonly #context: HostContext
  readonly #access: ServerAccess

  constructor(context: HostContext, access: ServerAccess) {
    this.#context = context
    this.#access = access
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
        return { result: refusalAfter(request, 'firstOfTransaction', last), transaction: null }
      }
      const begun = await this.#tryBegin(request, readOnly, excluded)
      if (begun === null) continue
      if (begun.kind === 'begun') return begun
      if (begun.kind === 'notTried') {
        const result = withoutAccess(request, 'firstOfTransaction', last, begun.access)
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
      this.end(transaction, 'open')
      return { result: refused(request, 'aborted', UNCONFIRMED), transaction: null }
    }
    for (;;) {
      const sentAt = this.#context.clock.now()
      const run = (): Promise<AttemptOutcome> => this.#attemptInside(request, transaction)
      const outcome = await (isWritten ? this.#access.confirming(transaction.server, run) : run())
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
      this.end(transaction, outcome.status)
      const refusal = fate.kind === 'answer' ? fate.refusal : fate.otherwise
      return { result: refused(request, refusal, outcome.mishap), transaction: null }
    }
  }

  /** Gives the connection back without the transaction. `status` is where the server left it. */
  end(transaction: LocalTransaction, status: SessionStatus | null): void {
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

  async #tryBegin(
    request: StatementRequest,
    readOnly: boolean,
    excluded: Set<BackendServerId>,
  ): Promise<BeginOutcome | null> {
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
      this.end(transaction, begun.status)
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
  ): Promise<Exclude<BeginOutcome, { kind: 'notTried' }>> {
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
    this.end(transaction, outcome.status)
    return { kind: 'mishap', outcome, server: transaction.server }
  }

  #attemptInside(
    request: StatementRequest,
    transaction: LocalTransaction,
  ): Promise<AttemptOutcome> {
    if (request.isWrite) transaction.hasWritten = true
    request.timing.tries += 1
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
    if (isCommit) noteOwnWrite(request, outcome.position)
    if (outcome.status === 'open') return { result: answered(outcome), transaction }
    this.end(transaction, outcome.status)
    return { result: answered(outcome), transaction: null }
  }
}
