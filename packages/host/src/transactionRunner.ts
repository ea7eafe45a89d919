/**
 * Runs transactions on this host's connections. A transaction is bound to one connection from its first statement to
 * its end.
 *
 * @internal
 */
import { addMilliseconds, type BackendServerId } from '@nutmegcourse/shared'
import type { SessionStatus } from '@nutmegcourse/protocol'
import { recoveryFor, type StatementFailure, type StatementPlace } from '@nutmegcourse/state'
import { applySessionValues, attempt, runCommand, type AttemptOutcome } from './attempt.js'
import type { BackendServerState } from './backendServerState.js'
import type { HostContext } from './hostContext.js'
import {
  READ_ACQUIRE_MILLISECONDS,
  workOf,
  type Connected,
  type FailedAttempt,
  type ServerAccess,
} from './serverAccess.js'
import type { SlotAccess, SlotUse } from './slotGate.js'
import { continueInSlot, slotResultOf } from './statementSlots.js'
import type { PooledLink } from './pooledLink.js'
import {
  acknowledged,
  answered,
  needsPrimary,
  refused,
  type TransactionStep,
  type LocalTransaction,
  type StatementRequest,
} from './statements.js'
import { ENDED_WHILE_IDLE, OpenTransactions } from './openTransactions.js'
import { UNCONFIRMED, refusalAfter, withoutAccess, type NoAccess } from './accessRefusals.js'
import { earlier } from './waiting.js'

/** The result of an attempt to begin a transaction on one server. */
type BeginOutcome =
  | ({ readonly kind: 'begun' } & TransactionStep<LocalTransaction>)
  | ({ readonly kind: 'mishap' } & FailedAttempt)
  | { readonly kind: 'notTried'; readonly access: NoAccess }

/** A connection whose rollback is not answered within this time is closed, which rolls back as well. */
const ROLLBACK_TIMEOUT_MILLISECONDS = 1000

/**
 * The answer to the first statement shows that the BEGIN before it took effect. Without it, a write may have run
 * outside the transaction.
 */
function placeOfFirst({ isWrite }: StatementRequest, failure: StatementFailure): StatementPlace {
  const isUnfit = failure.kind === 'lost' && failure.failure === 'malformedAnswer'
  return isWrite && isUnfit ? 'singleWrite' : 'firstOfTransaction'
}

/**
 * The failure of a statement whose earlier attempt was refused. If the connection has closed since, an answer too many
 * may have closed it, and the refusal may not have been that attempt's answer.
 */
function mishapOfSent({ mishap, status }: FailedAttempt['outcome']): StatementFailure {
  const isClosed = mishap.kind === 'notSent' && status === null
  return isClosed ? { kind: 'lost', failure: 'connectionLost' } : mishap
}

function lostAttempt(server: BackendServerState): { kind: 'mishap' } & FailedAttempt {
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
  readonly #open: OpenTransactions

  constructor(context: HostContext, access: ServerAccess) {
    this.#context = context
    this.#access = access
    this.#open = new OpenTransactions(context, ({ server, link }) => this.#rollBack(server, link))
  }

  /** Ends transactions that have been idle for longer than the limit while others wait for their connections. */
  endIdleForWaiters(limitMilliseconds: number): void {
    this.#open.endForWaiters(limitMilliseconds)
  }

  /** Runs the first statement of a transaction, preceded by the BEGIN that the caller already has the answer to. */
  async begin(
    request: StatementRequest,
    readOnly: boolean,
  ): Promise<TransactionStep<LocalTransaction>> {
    const excluded = new Set<BackendServerId>()
    let last: StatementFailure = { kind: 'notSent' }
    for (;;) {
      if (this.#access.isExpired(request)) {
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
      const action = recoveryFor(placeOfFirst(request, last), last, false)
      if (action.kind === 'answer') {
        return { result: refused(request, action.refusal, last), transaction: null }
      }
      await this.#access.exclude(request, begun.server, excluded)
    }
  }

  /** Runs a later statement of a transaction, the commit included. */
  async continue(
    request: StatementRequest,
    transaction: LocalTransaction,
  ): Promise<TransactionStep<LocalTransaction>> {
    if (transaction.isEnded) return { result: ENDED_WHILE_IDLE, transaction: null }
    this.#open.noteNotIdle(transaction)
    const isCommit = request.statement.body.kind === 'commit'
    const place: StatementPlace = isCommit ? 'commit' : 'withinTransaction'
    const commitsWrites = isCommit && transaction.hasWritten
    const { server } = transaction
    if (commitsWrites && !server.mayWrite(this.#context.clock.now())) {
      return this.#unconfirmed(request, transaction)
    }
    let wasSent = false
    for (;;) {
      const access = await continueInSlot(
        request,
        server,
        this.#access.latestStart(request, server),
      )
      const sentAt = this.#context.clock.now()
      if (commitsWrites && server.gate !== null && !server.mayWrite(sentAt)) {
        if (access.kind === 'entered') access.slot.end({ kind: 'unknown' })
        return this.#unconfirmed(request, transaction)
      }
      const run = (slot: SlotUse): Promise<AttemptOutcome> =>
        this.#attemptInside(request, transaction, slot)
      const outcome = await this.#runInSlot(access, commitsWrites, transaction, run)
      if (outcome.kind === 'answered') {
        return this.#transactionAnswered(request, transaction, outcome, isCommit)
      }
      const isOpen = outcome.status === 'open'
      const mishap = wasSent ? mishapOfSent(outcome) : outcome.mishap
      this.#access.recordFailure(request, transaction.server, mishap, sentAt)
      const action = recoveryFor(place, mishap, isOpen)
      if (action.kind === 'retryHere' && !this.#access.isExpired(request)) {
        wasSent = true
        await this.#access.backOffAfter(mishap)
        continue
      }
      this.end(transaction, outcome.status)
      const refusal = action.kind === 'answer' ? action.refusal : action.otherwise
      return { result: refused(request, refusal, mishap), transaction: null }
    }
  }

  /** The commit is unlikely to be confirmed: a rollback has a certain outcome, the commit would not. */
  #unconfirmed(
    request: StatementRequest,
    transaction: LocalTransaction,
  ): TransactionStep<LocalTransaction> {
    this.end(transaction, 'open')
    return { result: refused(request, 'aborted', UNCONFIRMED), transaction: null }
  }

  /**
   * Ends the transaction and returns its connection to the pool, after a rollback if it is still open. `status` is the
   * connection's last known session status. Does nothing for one that was ended while it was idle.
   */
  end(transaction: LocalTransaction, status: SessionStatus | null): void {
    this.#open.noteNotIdle(transaction)
    const { server, link, isEnded } = transaction
    if (isEnded) return
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
    const deadline = addMilliseconds(this.#context.clock.now(), ROLLBACK_TIMEOUT_MILLISECONDS)
    const reply = await runCommand(this.#context, link, { kind: 'rollback' }, deadline)
    if (reply?.outcome.kind === 'done' && reply.status === 'idle') server.pool.release(link)
    else server.pool.discard(link)
  }

  /** Null when no BEGIN was sent and the next attempt may follow at once. */
  async #tryBegin(
    request: StatementRequest,
    readOnly: boolean,
    excluded: Set<BackendServerId>,
  ): Promise<BeginOutcome | null> {
    const { clock } = this.#context
    const atPrimary = needsPrimary(request, readOnly)
    const server = atPrimary
      ? await this.#access.awaitPrimary(request)
      : await this.#access.awaitReader(request, excluded)
    if (server === null) return null
    if (request.isWrite && !server.mayWrite(clock.now())) {
      return { kind: 'notTried', access: UNCONFIRMED }
    }
    const acquireBy = atPrimary
      ? request.deadline
      : earlier(request.deadline, clock.now() + READ_ACQUIRE_MILLISECONDS)
    const access = await this.#access.acquire(request, server, acquireBy)
    if (access.kind !== 'connected') {
      const isExcluded = !atPrimary && this.#access.excludeIfReplaceable(request, server, excluded)
      return isExcluded ? null : { kind: 'notTried', access }
    }
    const begun = await this.#beginOn(request, server, access, atPrimary)
    access.slot.end({ kind: 'unknown' })
    return begun
  }

  /** Begins the transaction on the connection and runs its first statement. */
  async #beginOn(
    request: StatementRequest,
    server: BackendServerState,
    { link, slot }: Connected,
    atPrimary: boolean,
  ): Promise<BeginOutcome | null> {
    const { clock } = this.#context
    const { service, route, session } = request
    const sentAt = clock.now()
    const need = atPrimary ? null : service.need(route.guarantee, session.ownPosition, sentAt)
    if (need?.kind === 'unknown') {
      server.pool.release(link)
      return null
    }
    const transaction: LocalTransaction = {
      kind: 'local',
      service,
      server,
      link,
      hasWritten: false,
      isEnded: false,
    }
    if (!(await applySessionValues(this.#context, link, session.values, request.deadline))) {
      server.pool.discard(link)
      return lostAttempt(server)
    }
    const after = need?.kind === 'position' ? need.position : null
    if (after !== null) server.progress.noteReadSent(after, sentAt)
    // The statement is sent only after this answer: after a refused BEGIN it would run outside a transaction.
    const { deadline } = request
    const begin = { kind: 'begin', readOnly: !atPrimary, after } as const
    const begun = await service.outliers.trackBegin(
      server.entry.server,
      { work: workOf(request, server, true), deadline },
      () => runCommand(this.#context, link, begin, deadline),
    )
    if (begun === null) {
      server.pool.discard(link)
      return lostAttempt(server)
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
      this.#access.recordLogProgress(server, after, outcome)
      this.#access.recordFailure(request, server, outcome.mishap, sentAt)
      return { kind: 'mishap', outcome, server }
    }
    const first = await this.#firstStatement(request, transaction, slot)
    // The answer to the first statement shows that the one to BEGIN was not an earlier one.
    if (atPrimary && first.kind === 'begun' && first.result.answer.kind === 'rows') {
      service.recordPrimary(server.entry.server, sentAt, begun.position)
    }
    return first
  }

  async #firstStatement(
    request: StatementRequest,
    transaction: LocalTransaction,
    slot: SlotUse,
  ): Promise<Exclude<BeginOutcome, { kind: 'notTried' }>> {
    const isCommit = request.statement.body.kind === 'commit'
    if (isCommit) slot.end({ kind: 'unknown' })
    if (isCommit) return { kind: 'begun', ...(await this.continue(request, transaction)) }
    const sentAt = this.#context.clock.now()
    const outcome = await this.#attemptInside(request, transaction, slot)
    if (outcome.kind === 'answered') {
      return {
        kind: 'begun',
        ...this.#transactionAnswered(request, transaction, outcome, false),
      }
    }
    this.#access.recordFailure(request, transaction.server, outcome.mishap, sentAt)
    this.end(transaction, outcome.status)
    return { kind: 'mishap', outcome, server: transaction.server }
  }

  /** A statement whose turn did not come was not sent. */
  #runInSlot(
    access: SlotAccess,
    commitsWrites: boolean,
    { server }: LocalTransaction,
    run: (slot: SlotUse) => Promise<AttemptOutcome>,
  ): Promise<AttemptOutcome> {
    if (access.kind !== 'entered') {
      const outcome = { kind: 'mishap', mishap: { kind: 'notSent' }, status: 'open' } as const
      return Promise.resolve({ ...outcome, position: null })
    }
    const { slot } = access
    return commitsWrites ? this.#access.trackConfirmation(server, () => run(slot)) : run(slot)
  }

  async #attemptInside(
    request: StatementRequest,
    transaction: LocalTransaction,
    slot: SlotUse,
  ): Promise<AttemptOutcome> {
    if (request.isWrite) transaction.hasWritten = true
    request.timing.tries += 1
    const { clock } = this.#context
    const sentAt = clock.now()
    const plan = {
      session: request.session.values,
      statement: request.statement,
      after: null,
      isInTransaction: true,
      verifiesPrimary: false,
      deadline: request.deadline,
    }
    const { server, service } = transaction
    const outcome = await service.outliers.track(
      server.entry.server,
      workOf(request, server, true),
      () => attempt(this.#context, transaction.link, plan),
    )
    slot.end(slotResultOf(outcome, clock.now() - sentAt))
    return outcome
  }

  #transactionAnswered(
    request: StatementRequest,
    transaction: LocalTransaction,
    outcome: Extract<AttemptOutcome, { kind: 'answered' }>,
    isCommit: boolean,
  ): TransactionStep<LocalTransaction> {
    const result = isCommit ? acknowledged(request, outcome) : answered(outcome)
    if (outcome.status === 'open') {
      this.#open.noteIdle(transaction)
      return { result, transaction }
    }
    this.end(transaction, outcome.status)
    return { result, transaction: null }
  }
}
