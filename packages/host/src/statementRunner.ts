/**
 * Runs single statements on backend servers, with retries, hedged reads and a deadline, and answers a refusal when none
 * succeeded. Delegates transactions to `TransactionRunner`.
 *
 * @internal
 */
import type { BackendServerId } from '@nutmegcourse/shared'
import type { SessionStatus } from '@nutmegcourse/protocol'
import { recoveryFor, type StatementFailure } from '@nutmegcourse/state'
import type { BackendServerState } from './backendServerState.js'
import type { HostContext } from './hostContext.js'
import { READ_ACQUIRE_MILLISECONDS, ServerAccess, type FailedAttempt } from './serverAccess.js'
import {
  acknowledged,
  answered,
  refused,
  type TransactionStep,
  type LocalTransaction,
  type StatementRequest,
  type StatementResult,
} from './statements.js'
import { TransactionRunner } from './transactionRunner.js'
import { UNCONFIRMED, refusalAfter, withoutAccess, type NoAccess } from './accessRefusals.js'
import { Withdrawal, earlier, startDelay } from './waiting.js'

/**
 * When a read is sent to a second server as well: after three times the first server's usual latency, but not within
 * its normal latency tail, and early enough that the second server still has most of the statement's time.
 */
const HEDGE_FACTOR = 3
const HEDGE_MINIMUM_MILLISECONDS = 120
const HEDGE_MAXIMUM_TIMEOUT_SHARE = 0.4

type ReadOutcome =
  /** No connection was available, or the freshness bound of the read is not known yet. */
  | { readonly kind: 'notTried'; readonly server: BackendServerState; readonly access: NoAccess }
  | { readonly kind: 'answered'; readonly result: StatementResult }
  | ({ readonly kind: 'mishap' } & FailedAttempt)

export class StatementRunner {
  readonly #context: HostContext
  readonly #access: ServerAccess

  readonly #transactions: TransactionRunner

  constructor(context: HostContext) {
    this.#context = context
    this.#access = new ServerAccess(context)
    this.#transactions = new TransactionRunner(context, this.#access)
  }

  /** Runs the first statement of a transaction, preceded by the BEGIN that the caller already has the answer to. */
  begin(request: StatementRequest, readOnly: boolean): Promise<TransactionStep<LocalTransaction>> {
    return this.#transactions.begin(request, readOnly)
  }

  /** Runs a later statement of a transaction, the commit included. */
  continue(
    request: StatementRequest,
    transaction: LocalTransaction,
  ): Promise<TransactionStep<LocalTransaction>> {
    return this.#transactions.continue(request, transaction)
  }

  /** Ends the transaction and returns its connection. `status` is the connection's last known session status. */
  endTransaction(transaction: LocalTransaction, status: SessionStatus | null): void {
    this.#transactions.end(transaction, status)
  }

  /** Ends transactions that have been idle for longer than the limit while others wait for their connections. */
  endIdleTransactionsForWaiters(limitMilliseconds: number): void {
    this.#transactions.endIdleForWaiters(limitMilliseconds)
  }

  /** Runs a read or write outside a transaction. */
  single(request: StatementRequest): Promise<StatementResult> {
    return request.isWrite ? this.#write(request) : this.#read(request)
  }

  async #write(request: StatementRequest): Promise<StatementResult> {
    let last: StatementFailure = { kind: 'notSent' }
    while (!this.#access.isExpired(request)) {
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
      const sentAt = this.#context.clock.now()
      // Where slots are scheduled, it may have waited for long.
      if (server.gate !== null && !server.mayWrite(sentAt)) {
        server.pool.release(access.link)
        access.slot.end({ kind: 'unknown' })
        return refused(request, 'notRun', UNCONFIRMED)
      }
      const outcome = await this.#access.trackConfirmation(server, () =>
        this.#access.attemptSingle(request, server, access, null, false),
      )
      if (outcome.kind === 'answered') {
        request.service.recordPrimary(server.entry.server, sentAt, outcome.position)
        return acknowledged(request, outcome)
      }
      last = outcome.mishap
      this.#access.recordFailure(request, server, last, sentAt)
      const action = recoveryFor('singleWrite', last, false)
      if (action.kind === 'answer') return refused(request, action.refusal, last)
      await this.#access.backOffAfter(last)
    }
    return refusalAfter(request, 'singleWrite', last)
  }

  async #read(request: StatementRequest): Promise<StatementResult> {
    const excluded = new Set<BackendServerId>()
    let last: StatementFailure = { kind: 'notSent' }
    while (!this.#access.isExpired(request)) {
      const outcome = await this.#hedgedRead(request, excluded)
      if (outcome === null) continue
      if (outcome.kind === 'answered') return outcome.result
      if (outcome.kind === 'notTried') {
        if (this.#access.excludeIfReplaceable(request, outcome.server, excluded)) continue
        const result = withoutAccess(request, 'singleRead', last, outcome.access)
        if (result === null) continue
        return result
      }
      last = outcome.outcome.mishap
      const action = recoveryFor('singleRead', last, false)
      if (action.kind === 'answer') return refused(request, action.refusal, last)
      await this.#access.exclude(request, outcome.server, excluded)
    }
    return refusalAfter(request, 'singleRead', last)
  }

  /** Tries the best server, and a second one if the first is slow. Null when no server was available. */
  async #hedgedRead(
    request: StatementRequest,
    excluded: Set<BackendServerId>,
  ): Promise<ReadOutcome | null> {
    const server =
      this.#access.testedReader(request, excluded) ??
      (await this.#access.awaitReader(request, excluded))
    if (server === null) return null
    const withdrawal = new Withdrawal()
    const first = this.#tryRead(request, server, withdrawal)
    if (request.route.guarantee.kind === 'latest') return first
    const delay = startDelay(this.#hedgeDelay(request, server))
    const early = await Promise.race([first, delay.over])
    delay.cancel()
    if (early !== undefined) return early
    const second = this.#access.alternativeReader(request, server, excluded)
    if (second === null || second.gate?.hasFreeSlot === false) return first
    this.#context.log.write('read_hedged', {
      request: request.statement.id,
      first: server.entry.server,
      second: second.entry.server,
    })
    return firstAnswered(first, this.#tryRead(request, second, withdrawal))
  }

  /** When it is answered, withdraws the other attempt, which is not sent any more if it was not sent before. */
  async #tryRead(
    request: StatementRequest,
    server: BackendServerState,
    withdrawal: Withdrawal,
  ): Promise<ReadOutcome> {
    const { clock } = this.#context
    const acquireBy = earlier(request.deadline, clock.now() + READ_ACQUIRE_MILLISECONDS)
    const access = await this.#access.acquire(request, server, acquireBy, withdrawal)
    if (access.kind !== 'connected') return { kind: 'notTried', server, access }
    const sentAt = clock.now()
    const need = request.service.need(request.route.guarantee, request.session.ownPosition, sentAt)
    if (need.kind === 'unknown' || withdrawal.isWithdrawn) {
      server.pool.release(access.link)
      access.slot.end({ kind: 'unknown' })
      return { kind: 'notTried', server, access: { kind: 'none' } }
    }
    const after = need.kind === 'position' ? need.position : null
    if (after !== null) server.progress.noteReadSent(after, sentAt)
    const outcome = await this.#access.attemptSingle(request, server, access, after, after === null)
    this.#access.recordLogProgress(server, after, outcome)
    if (outcome.kind === 'answered') {
      withdrawal.withdraw()
      return { kind: 'answered', result: answered(outcome) }
    }
    this.#access.recordFailure(request, server, outcome.mishap, sentAt)
    return { kind: 'mishap', outcome, server }
  }

  #hedgeDelay(request: StatementRequest, server: BackendServerState): number {
    const usual = server.latency.at(this.#context.clock.now()) * HEDGE_FACTOR
    const latest = request.route.statementTimeoutMilliseconds * HEDGE_MAXIMUM_TIMEOUT_SHARE
    return Math.min(Math.max(usual, HEDGE_MINIMUM_MILLISECONDS), latest)
  }
}

/** The first answer of two attempts; if there is none, the first failure of an attempt that was sent. */
async function firstAnswered(
  first: Promise<ReadOutcome>,
  second: Promise<ReadOutcome>,
): Promise<ReadOutcome> {
  const early = await Promise.race([first, second])
  if (early.kind === 'answered') return early
  const both = await Promise.all([first, second])
  const withKind = (kind: ReadOutcome['kind']) => both.find(outcome => outcome.kind === kind)
  return withKind('answered') ?? withKind('mishap') ?? both[0]
}
