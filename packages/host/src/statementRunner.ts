/**
 * Carries single statements to backend servers: where to, how often, how long, and what the caller is
 * told when nothing came of it. Transactions go on to their own runner.
 *
 * @internal
 */
import type { BackendServerId } from '@nutmegcourse/shared'
import type { SessionStatus } from '@nutmegcourse/protocol'
import { fateOf, type Mishap } from '@nutmegcourse/state'
import type { BackendServerState } from './backendServerState.js'
import type { HostContext } from './hostContext.js'
import { READ_ACQUIRE_MILLISECONDS, ServerAccess, type ServerMishap } from './serverAccess.js'
import {
  answered,
  noteOwnWrite,
  refused,
  type BegunTransaction,
  type LocalTransaction,
  type StatementRequest,
  type StatementResult,
} from './statements.js'
import { TransactionRunner } from './transactionRunner.js'
import { UNCONFIRMED, refusalAfter, withoutAccess, type NoAccess } from './unserved.js'
import { earlier, pause } from './waiting.js'

/**
 * When a second server gets the same read: after three times what the first usually takes, but not
 * before its tail is over, and early enough that the second still has most of the time.
 */
const HEDGE_FACTOR = 3
const HEDGE_LEAST_MILLISECONDS = 120
const HEDGE_TIMEOUT_SHARE = 0.4

type ReadOutcome =
  /** The server gave no connection, or nothing tells yet how fresh the read must be. */
  | { readonly kind: 'notTried'; readonly server: BackendServerState; readonly access: NoAccess }
  | { readonly kind: 'answered'; readonly result: StatementResult }
  | ({ readonly kind: 'mishap' } & ServerMishap)

export class StatementRunner {
  readonly #context: HostContext
  readonly #access: ServerAccess

  readonly #transactions: TransactionRunner

  constructor(context: HostContext) {
    this.#context = context
    this.#access = new ServerAccess(context)
    this.#transactions = new TransactionRunner(context, this.#access)
  }

  /** The first statement of a transaction, with the BEGIN that the caller was already told of. */
  begin(request: StatementRequest, readOnly: boolean): Promise<BegunTransaction<LocalTransaction>> {
    return this.#transactions.begin(request, readOnly)
  }

  /** A later statement of a transaction, the commit included. */
  continue(
    request: StatementRequest,
    transaction: LocalTransaction,
  ): Promise<BegunTransaction<LocalTransaction>> {
    return this.#transactions.continue(request, transaction)
  }

  /** Gives the connection back without the transaction. `status` is where the server left it. */
  endTransaction(transaction: LocalTransaction, status: SessionStatus | null): void {
    this.#transactions.end(transaction, status)
  }

  /** A read or write outside a transaction. */
  single(request: StatementRequest): Promise<StatementResult> {
    return request.isWrite ? this.#write(request) : this.#read(request)
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
        const result = withoutAccess(request, 'singleWrite', last, access)
        if (result === null) continue
        return result
      }
      const { link } = access
      const sentAt = this.#context.clock.now()
      const outcome = await this.#access.confirming(server, () =>
        this.#access.attemptSingle(request, server, link, null, false),
      )
      if (outcome.kind === 'answered') {
        noteOwnWrite(request, outcome.position)
        request.desk.provedToLead(server.entry.server, sentAt, outcome.position)
        return answered(outcome)
      }
      last = outcome.mishap
      this.#access.learn(request, server, last, sentAt)
      const fate = fateOf('singleWrite', last, false)
      if (fate.kind === 'answer') return refused(request, fate.refusal, last)
      await this.#access.pauseAfter(last)
    }
    return refusalAfter(request, 'singleWrite', last)
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
        const result = withoutAccess(request, 'singleRead', last, outcome.access)
        if (result === null) continue
        return result
      }
      last = outcome.outcome.mishap
      const fate = fateOf('singleRead', last, false)
      if (fate.kind === 'answer') return refused(request, fate.refusal, last)
      await this.#access.leaveOut(request, outcome.server, excluded)
    }
    return refusalAfter(request, 'singleRead', last)
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
    const second = this.#access.otherReader(request, server, excluded)
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

  #hedgeDelay(request: StatementRequest, server: BackendServerState): number {
    const usual = server.latency.at(this.#context.clock.now()) * HEDGE_FACTOR
    const latest = request.route.statementTimeoutMilliseconds * HEDGE_TIMEOUT_SHARE
    return Math.min(Math.max(usual, HEDGE_LEAST_MILLISECONDS), latest)
  }
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
