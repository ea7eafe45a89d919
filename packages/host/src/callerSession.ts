/**
 * One caller's session: what it may ask, in which order, and what it is told. Statements that change
 * only the session are answered here; BEGIN too, so that a transaction takes a connection no earlier
 * than its first statement.
 *
 * @internal
 */
import {
  addMilliseconds,
  type CustomerName,
  type KeyDigest,
  type LogPosition,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type {
  CallerAnswer,
  CallerEvents,
  CallerLink,
  CallerRefusal,
  CallerStatement,
  Route,
  SessionStatus,
} from '@nutmegcourse/protocol'
import { SessionValues } from '@nutmegcourse/state'
import type { RemoteStatement } from './attempt.js'
import type { HostContext } from './hostContext.js'
import { CallerName, type Denial } from './callerName.js'
import type { RouteLookup, RoutePlace } from './routeLookup.js'
import { reportStatement } from './statementReport.js'
import {
  StatementTiming,
  type RunningTransaction,
  type SessionState,
  type StatementRequest,
  type StatementResult,
  type Runner,
} from './statements.js'

/** A caller gives up when its session is not taken within two seconds; this leaves it time to hear why. */
const WELCOME_LIMIT_MILLISECONDS = 1500

const STOPPING = 'this host is stopping'

/** Statements that one caller may send ahead of their answers. */
const QUEUE_LIMIT = 64

type TransactionState =
  | { readonly kind: 'none' }
  /** The caller was told that it began; no connection holds it yet. */
  | { readonly kind: 'declared'; readonly readOnly: boolean }
  | {
      readonly kind: 'running'
      readonly route: Route
      readonly customer: CustomerName | null
      readonly transaction: RunningTransaction
    }
  /** It is gone; the caller has yet to end it. `isTold`: it knows. */
  | { readonly kind: 'failed'; readonly isTold: boolean }

/** When a session that has to end does so. */
type Closing =
  | 'no'
  /** Behind the next answer, as soon as no transaction is open. */
  | 'afterWork'
  /** As soon as nothing is owed and no transaction is open. */
  | 'whenIdle'

const TOLD: TransactionState = { kind: 'failed', isTold: true }
const NOT_TOLD: TransactionState = { kind: 'failed', isTold: false }

export class CallerSession implements CallerEvents {
  readonly #context: HostContext
  readonly #link: CallerLink
  readonly #routes: RouteLookup
  readonly #runner: Runner
  readonly #onEnd: (session: CallerSession) => void
  readonly #state: SessionState = { values: new SessionValues(), ownPosition: null }
  readonly #queue: CallerStatement[] = []
  #database: string | null = null
  #name: CallerName | null = null
  #transaction: TransactionState = { kind: 'none' }
  #isWelcome = false
  #isWorking = false
  #isOver = false
  #closing: Closing = 'no'
  #endsTransaction = false
  #restingSince: Milliseconds
  #endedAt: Milliseconds | null = null
  /** The statement that is owed its answer. */
  #current: { readonly statement: CallerStatement; readonly arrivedAt: Milliseconds } | null = null
  readonly #takenAt: Milliseconds
  #idleTimer: NodeJS.Timeout | null = null

  constructor(
    context: HostContext,
    link: CallerLink,
    routes: RouteLookup,
    runner: Runner,
    onEnd: (session: CallerSession) => void,
  ) {
    this.#context = context
    this.#link = link
    this.#routes = routes
    this.#runner = runner
    this.#onEnd = onEnd
    this.#takenAt = context.clock.now()
    this.#restingSince = this.#takenAt
    link.listen(this)
  }

  /** Whether it waits for an answer or has a transaction open. */
  get isBusy(): boolean {
    return this.#isWorking || this.#queue.length > 0 || this.#transaction.kind !== 'none'
  }

  /** When it was last answered, or taken. */
  get restingSince(): Milliseconds {
    return this.#restingSince
  }

  started(database: string, key: KeyDigest): void {
    if (this.#database !== null) {
      this.#refuseSession('malformed', 'the session has begun already')
      return
    }
    this.#database = database
    this.#name = new CallerName(this.#routes, key)
    void this.#welcome(database)
  }

  statement(statement: CallerStatement): void {
    if (this.#isOver) {
      this.#drop(statement)
      return
    }
    if (this.#database === null || this.#queue.length >= QUEUE_LIMIT) {
      this.#refuseSession('malformed', 'a statement before the session began, or too many at once')
      return
    }
    this.#queue.push(statement)
    if (this.#isWelcome && !this.#isWorking) void this.#work()
  }

  ended(): void {
    if (this.#isOver) return
    this.#isOver = true
    this.#endedAt = this.#context.clock.now()
    this.#queue.length = 0
    this.#stopIdleTimer()
    // A statement that runs on the transaction's connection sees to it when its answer comes.
    if (!this.#isWorking) this.#dropTransaction()
    this.#onEnd(this)
  }

  /** Ends the session behind its next answer, or when its transaction is over. */
  closeAfterWork(): void {
    if (this.#closing === 'no') this.#closing = 'afterWork'
  }

  /** Ends the session now if it rests, else as soon as it does. */
  closeWhenIdle(): void {
    this.#closing = 'whenIdle'
    this.#closeIfIdle()
  }

  /**
   * Ends an open transaction as soon as no statement runs in it; nothing of it is kept. One in which a
   * statement ran when the time of transactions was over went on to the end of the process, which
   * cut it.
   */
  endTransactionWhenIdle(): void {
    this.#endsTransaction = true
    if (!this.#isWorking) this.#endTransaction()
  }

  /**
   * The process ends. A caller that rests in a transaction hears that nothing of it is kept; what is
   * taken from one that is owed an answer is logged.
   */
  endNow(stoppingSince: Milliseconds): void {
    if (this.isBusy) this.#logCut(stoppingSince)
    if (this.#current === null) this.#link.reject('aborted', STOPPING)
  }

  #logCut(stoppingSince: Milliseconds): void {
    const now = this.#context.clock.now()
    const current = this.#current
    this.#context.log.write('session_cut', {
      request: current?.statement.id ?? null,
      database: this.#database,
      statement: current?.statement.body.kind ?? null,
      transaction: this.#transaction.kind,
      owedMilliseconds: current === null ? 0 : Math.round(now - current.arrivedAt),
      takenMilliseconds: Math.round(this.#takenAt - stoppingSince),
    })
  }

  async #welcome(database: string): Promise<void> {
    const { intake } = this.#routes
    if (intake === 'none') {
      this.#refuseSession('tooManyCallers', STOPPING)
      return
    }
    if (intake === 'brief') this.closeAfterWork()
    if (!this.#routes.isKnown) await this.#routes.whenKnown(WELCOME_LIMIT_MILLISECONDS)
    if (this.#isOver) return
    if (!this.#routes.isKnown) {
      this.#refuseSession('tooManyCallers', 'this host has no configuration yet')
      return
    }
    const place = this.#routes.find(database)
    if (place === null) {
      this.#refuseSession('unknownDatabase', 'no such database')
      return
    }
    const denial = this.#name?.denialFor(place.route) ?? null
    if (denial !== null) {
      this.#refuseSession(denial.refusal, denial.detail)
      return
    }
    this.#isWelcome = true
    this.#link.welcome()
    if (this.#queue.length > 0) void this.#work()
    else if (this.#closing === 'whenIdle') this.#closeIfIdle()
  }

  #refuseSession(refusal: CallerRefusal, detail: string): void {
    this.#context.log.write('session_refused', { database: this.#database, refusal, detail })
    this.#link.reject(refusal, detail)
    this.ended()
  }

  async #work(): Promise<void> {
    this.#isWorking = true
    this.#stopIdleTimer()
    for (let next = this.#queue.shift(); next !== undefined; next = this.#queue.shift()) {
      const arrivedAt = this.#context.clock.now()
      this.#current = { statement: next, arrivedAt }
      const { answer, position } = await this.#serve(next)
      this.#current = null
      this.#count(next, answer, arrivedAt)
      if (this.#isOver) break
      this.#link.answer(answer, this.#status, position)
    }
    this.#isWorking = false
    this.#restingSince = this.#context.clock.now()
    if (this.#isOver) this.#dropTransaction()
    else this.#afterWork()
  }

  #afterWork(): void {
    if (this.#endsTransaction) this.#endTransaction()
    if (this.#closing !== 'no') this.#closeIfIdle()
    if (this.#isOver || this.#transaction.kind !== 'running') return
    const limit = this.#routes.idleTransactionMilliseconds
    if (!Number.isFinite(limit)) return
    this.#idleTimer = setTimeout(() => {
      this.#context.log.write('idle_transaction_ended', { database: this.#database, limit })
      this.#endTransaction()
    }, limit)
  }

  /**
   * The caller hears why before the connection ends. A statement that crosses the end on its way is never
   * read as one to run, and its caller, which gets this word in place of an answer, knows so: by an
   * end alone it could not tell whether its write had run.
   */
  #closeIfIdle(): void {
    if (this.#isOver || this.isBusy) return
    this.#link.reject('tooManyCallers', STOPPING)
    this.ended()
  }

  /** It came behind the end of the session, and is not run. */
  #drop({ id }: CallerStatement): void {
    const { clock, log } = this.#context
    const endedAt = this.#endedAt ?? clock.now()
    log.write('statement_dropped', {
      request: id,
      database: this.#database,
      lateMilliseconds: Math.round(clock.now() - endedAt),
    })
  }

  #endTransaction(): void {
    const { kind } = this.#transaction
    if (kind !== 'running' && kind !== 'declared') return
    this.#dropTransaction()
    this.#transaction = NOT_TOLD
  }

  #stopIdleTimer(): void {
    if (this.#idleTimer !== null) clearTimeout(this.#idleTimer)
    this.#idleTimer = null
  }

  get #status(): SessionStatus {
    switch (this.#transaction.kind) {
      case 'none':
        return 'idle'
      case 'declared':
      case 'running':
        return 'open'
      case 'failed':
        return 'failed'
    }
  }

  async #serve(statement: CallerStatement): Promise<StatementResult> {
    const { body } = statement
    if (this.#transaction.kind === 'failed') {
      return this.#serveFailed(statement, this.#transaction.isTold)
    }
    switch (body.kind) {
      case 'malformed':
        return refusal('malformed', body.detail)
      case 'begin':
        if (this.#transaction.kind !== 'none') return refusal('malformed', 'a transaction is open')
        this.#transaction = { kind: 'declared', readOnly: body.readOnly }
        return ACKNOWLEDGED
      case 'rollback':
        this.#dropTransaction()
        return ACKNOWLEDGED
      case 'set':
        this.#state.values.values.set(body.name, body.value)
        return ACKNOWLEDGED
      case 'prepare':
        this.#state.values.prepared.set(body.name, { effect: body.effect, shape: body.shape })
        return ACKNOWLEDGED
      case 'close':
        this.#state.values.prepared.delete(body.name)
        return ACKNOWLEDGED
      case 'read':
      case 'write':
      case 'commit':
      case 'execute':
        return this.#serveRemote({ ...statement, body })
    }
  }

  /**
   * Ending it rolls back; that is no commit, and the caller is told so. So is one that does not know
   * yet that this host ended its transaction: "malformed" says nothing of what is kept.
   */
  #serveFailed(statement: CallerStatement, isTold: boolean): StatementResult {
    const { kind } = statement.body
    if (kind !== 'rollback' && kind !== 'commit') {
      this.#transaction = TOLD
      if (!isTold) return refusal('aborted', 'the transaction was rolled back')
      return refusal('malformed', 'the transaction has failed and must be ended')
    }
    this.#transaction = { kind: 'none' }
    if (kind === 'rollback') return ACKNOWLEDGED
    return refusal('aborted', 'the transaction was rolled back')
  }

  async #serveRemote(statement: RemoteStatement): Promise<StatementResult> {
    const transaction = this.#transaction
    const { body } = statement
    if (body.kind === 'execute' && !this.#state.values.prepared.has(body.name)) {
      return this.#fail(refusal('unknownStatement', 'no such prepared statement'))
    }
    if (body.kind === 'commit' && transaction.kind === 'none') {
      return refusal('malformed', 'no transaction is open')
    }
    const place = this.#findPlace()
    if (place === null) return this.#fail(refusal('unknownDatabase', 'no such database'))
    // Before the wait for a grant: the key may be taken away meanwhile, and nothing may run in nobody's name then.
    const customer = this.#name?.customerFor(place.route) ?? null
    const denial = await this.#denialFor(place.route)
    if (denial !== null) return this.#fail(refusal(denial.refusal, denial.detail))
    const request = this.#requestFor(statement, place, customer)
    const result = await this.#run(request)
    reportStatement(this.#context, this.#database, request, result)
    return result
  }

  /** A change of a route applies from the next transaction on, so a running one keeps its own. */
  #findPlace(): RoutePlace | null {
    const transaction = this.#transaction
    if (transaction.kind === 'running') {
      return { route: transaction.route, desk: transaction.transaction.desk }
    }
    return this.#routes.find(this.#database ?? '')
  }

  /** Why the statement may not run in its caller's name; limits count an operation once, at its first statement. */
  async #denialFor(route: Route): Promise<Denial | null> {
    const name = this.#name
    const transaction = this.#transaction
    if (name === null) return null
    if (transaction.kind === 'running') return name.denialOfTransaction(route, transaction.customer)
    return name.denialFor(route) ?? (await name.denialOfOperation(route))
  }

  #requestFor(
    statement: RemoteStatement,
    place: RoutePlace,
    customer: CustomerName | null,
  ): StatementRequest {
    const arrivedAt = this.#context.clock.now()
    return {
      ...place,
      customer,
      session: this.#state,
      statement,
      isWrite: this.#isWrite(statement),
      arrivedAt,
      deadline: addMilliseconds(arrivedAt, place.route.statementTimeoutMilliseconds),
      timing: new StatementTiming(),
    }
  }

  #isWrite({ body }: RemoteStatement): boolean {
    if (body.kind === 'execute') {
      return this.#state.values.prepared.get(body.name)?.effect === 'write'
    }
    return body.kind === 'write'
  }

  async #run(request: StatementRequest): Promise<StatementResult> {
    const transaction = this.#transaction
    switch (transaction.kind) {
      case 'none':
      case 'failed':
        return this.#runner.single(request)
      case 'declared': {
        if (transaction.readOnly && request.isWrite) {
          return this.#fail(refusal('readOnly', 'the transaction only reads'))
        }
        const begun = await this.#runner.begin(request, transaction.readOnly)
        this.#noteTransaction(request, begun.transaction)
        return begun.result
      }
      case 'running': {
        const gone = await this.#runner.continue(request, transaction.transaction)
        this.#noteTransaction(request, gone.transaction)
        return gone.result
      }
    }
  }

  #noteTransaction(request: StatementRequest, transaction: RunningTransaction | null): void {
    if (transaction !== null) {
      const { route, customer } = request
      this.#transaction = { kind: 'running', route, customer, transaction }
      return
    }
    const isEnded = request.statement.body.kind === 'commit'
    this.#transaction = isEnded ? { kind: 'none' } : TOLD
  }

  /** Inside a transaction a refused statement ends it. */
  #fail(result: StatementResult): StatementResult {
    if (this.#transaction.kind === 'none') return result
    this.#dropTransaction()
    this.#transaction = TOLD
    return result
  }

  #dropTransaction(): void {
    if (this.#transaction.kind === 'running') {
      this.#runner.endTransaction(this.#transaction.transaction, 'open')
    }
    this.#transaction = { kind: 'none' }
  }

  #count(statement: CallerStatement, answer: CallerAnswer, arrivedAt: Milliseconds): void {
    const outcome = answer.kind === 'refused' ? answer.refusal : 'answered'
    const took = this.#context.clock.now() - arrivedAt
    this.#context.metrics.statement(statement.body.kind, outcome, took)
  }
}

const ACKNOWLEDGED: StatementResult = { answer: { kind: 'acknowledged' }, position: null }

function refusal(which: CallerRefusal, detail: string): StatementResult {
  const answer: CallerAnswer = { kind: 'refused', refusal: which, detail }
  const position: LogPosition | null = null
  return { answer, position }
}
