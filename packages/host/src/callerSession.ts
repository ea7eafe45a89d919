/**
 * One caller's session on its connection: accepts or rejects it, serves its statements in order, and ends it.
 *
 * @internal
 */
import type { KeyDigest, Milliseconds } from '@nutmegcourse/shared'
import type {
  CallerAnswer,
  CallerEvents,
  CallerLink,
  CallerRefusal,
  CallerStatement,
} from '@nutmegcourse/protocol'
import type { HostContext } from './hostContext.js'
import type { RouteLookup } from './routeLookup.js'
import { SessionStatements } from './sessionStatements.js'
import type { Runner } from './statements.js'

/**
 * How long a new session waits for the first configuration. Callers time out when a session is not accepted within two
 * seconds; the shorter limit lets the rejection reach them before that.
 */
const CONFIGURATION_WAIT_MILLISECONDS = 1500

const STOPPING = 'this host is stopping'

/** Statements that one caller may have queued (pipelined) behind the running one. */
const QUEUED_STATEMENTS_LIMIT = 64

/** Whether and when the session is to be closed. */
type Closing =
  | 'no'
  /** After the next answer, as soon as no transaction is open. */
  | 'afterWork'
  /** As soon as no statement is pending and no transaction is open. */
  | 'whenIdle'

export class CallerSession implements CallerEvents {
  readonly #context: HostContext
  readonly #link: CallerLink
  readonly #routes: RouteLookup
  readonly #runner: Runner
  readonly #onEnd: (session: CallerSession) => void
  readonly #queue: CallerStatement[] = []
  /** Null before the session has started. */
  #statements: SessionStatements | null = null
  #isAccepted = false
  #isServing = false
  #isEnded = false
  #closing: Closing = 'no'
  #endsTransactionWhenIdle = false
  #idleSince: Milliseconds
  #endedAt: Milliseconds | null = null
  /** The statement that is being served. */
  #current: { readonly statement: CallerStatement; readonly arrivedAt: Milliseconds } | null = null
  readonly #acceptedAt: Milliseconds
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
    this.#acceptedAt = context.clock.now()
    this.#idleSince = this.#acceptedAt
    link.listen(this)
  }

  /** Whether a statement is pending or a transaction is open. */
  get isBusy(): boolean {
    return this.#isServing || this.#queue.length > 0 || this.#transaction !== 'none'
  }

  get #database(): string | null {
    return this.#statements?.database ?? null
  }

  get #transaction(): SessionStatements['transaction'] {
    return this.#statements?.transaction ?? 'none'
  }

  /** When its last statement was answered, or when it was accepted if none was. */
  get idleSince(): Milliseconds {
    return this.#idleSince
  }

  started(database: string, key: KeyDigest): void {
    if (this.#statements !== null) {
      this.#refuseSession('malformed', 'the session has begun already')
      return
    }
    const statements = new SessionStatements(
      this.#context,
      this.#routes,
      this.#runner,
      database,
      key,
    )
    this.#statements = statements
    void this.#accept(statements)
  }

  statement(statement: CallerStatement): void {
    if (this.#isEnded) {
      this.#logDropped(statement)
      return
    }
    const statements = this.#statements
    if (statements === null || this.#queue.length >= QUEUED_STATEMENTS_LIMIT) {
      this.#refuseSession('malformed', 'a statement before the session began, or too many at once')
      return
    }
    this.#queue.push(statement)
    if (this.#isAccepted && !this.#isServing) void this.#serveQueue(statements)
  }

  ended(): void {
    if (this.#isEnded) return
    this.#isEnded = true
    this.#endedAt = this.#context.clock.now()
    this.#queue.length = 0
    this.#stopIdleTimer()
    // While a statement runs on the transaction's connection, #serveQueue drops the transaction after its answer.
    if (!this.#isServing) this.#statements?.dropTransaction()
    this.#onEnd(this)
  }

  /** Ends the session after its next answer, or when its transaction is over. */
  closeAfterWork(): void {
    if (this.#closing === 'no') this.#closing = 'afterWork'
  }

  /** Ends the session now if it is idle, else as soon as it is. */
  closeWhenIdle(): void {
    this.#closing = 'whenIdle'
    this.#closeIfIdle()
  }

  /**
   * Rolls back an open transaction as soon as no statement runs in it. The flag also covers a transaction in which a
   * statement runs at the moment of the call: without it, that transaction stayed open until the process ended and was
   * cut off.
   */
  endTransactionWhenIdle(): void {
    this.#endsTransactionWhenIdle = true
    if (!this.#isServing) this.#statements?.endTransaction()
  }

  /**
   * Called when the process ends. A caller without a running statement, such as one that is idle in a transaction, is
   * rejected as aborted; a statement or transaction that is cut off is logged.
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
      transaction: this.#transaction,
      owedMilliseconds: current === null ? 0 : Math.round(now - current.arrivedAt),
      takenMilliseconds: Math.round(this.#acceptedAt - stoppingSince),
    })
  }

  async #accept(statements: SessionStatements): Promise<void> {
    const { intake } = this.#routes
    if (intake === 'none') {
      this.#refuseSession('tooManyCallers', STOPPING)
      return
    }
    if (intake === 'brief') this.closeAfterWork()
    if (!this.#routes.hasConfiguration)
      await this.#routes.whenConfigured(CONFIGURATION_WAIT_MILLISECONDS)
    if (this.#isEnded) return
    if (!this.#routes.hasConfiguration) {
      this.#refuseSession('tooManyCallers', 'this host has no configuration yet')
      return
    }
    const { denial } = statements
    if (denial !== null) {
      this.#refuseSession(denial.refusal, denial.detail)
      return
    }
    this.#isAccepted = true
    this.#link.acceptSession()
    if (this.#queue.length > 0) void this.#serveQueue(statements)
    else if (this.#closing === 'whenIdle') this.#closeIfIdle()
  }

  #refuseSession(refusal: CallerRefusal, detail: string): void {
    this.#context.log.write('session_refused', {
      database: this.#database,
      refusal,
      reason: refusal,
      detail,
    })
    this.#link.reject(refusal, detail)
    this.ended()
  }

  async #serveQueue(statements: SessionStatements): Promise<void> {
    this.#isServing = true
    this.#stopIdleTimer()
    for (let next = this.#queue.shift(); next !== undefined; next = this.#queue.shift()) {
      const arrivedAt = this.#context.clock.now()
      this.#current = { statement: next, arrivedAt }
      const { answer, position } = await statements.serve(next)
      this.#current = null
      this.#recordMetrics(next, answer, arrivedAt)
      if (this.#isEnded) break
      const written = this.#link.answer(answer, statements.status, position)
      if (written.isErr()) this.#logUnwritable(next, written.error)
    }
    this.#isServing = false
    this.#idleSince = this.#context.clock.now()
    if (this.#isEnded) this.#statements?.dropTransaction()
    else this.#afterServing()
  }

  #afterServing(): void {
    if (this.#endsTransactionWhenIdle) this.#statements?.endTransaction()
    if (this.#closing !== 'no') this.#closeIfIdle()
    if (this.#isEnded || this.#transaction !== 'running') return
    const limit = this.#routes.idleTransactionMilliseconds
    if (!Number.isFinite(limit)) return
    this.#idleTimer = setTimeout(() => {
      this.#context.log.write('idle_transaction_ended', { database: this.#database, limit })
      this.#statements?.endTransaction()
    }, limit)
  }

  /**
   * Sends the caller the reason before the connection is closed. A statement that crosses this message on the network
   * is never run, and the caller, which receives the rejection in place of an answer, can rely on that: from a closed
   * connection alone it could not tell whether its write had run.
   */
  #closeIfIdle(): void {
    if (this.#isEnded || this.isBusy) return
    this.#link.reject('tooManyCallers', STOPPING)
    this.ended()
  }

  #logUnwritable({ id }: CallerStatement, detail: string): void {
    const fields = { request: id, database: this.#database, detail }
    this.#context.log.write('answer_unwritable', fields)
  }

  /** Logs a statement that arrived after the end of the session and is not run. */
  #logDropped({ id }: CallerStatement): void {
    const { clock, log } = this.#context
    const endedAt = this.#endedAt ?? clock.now()
    log.write('statement_dropped', {
      request: id,
      database: this.#database,
      lateMilliseconds: Math.round(clock.now() - endedAt),
    })
  }

  #stopIdleTimer(): void {
    if (this.#idleTimer !== null) clearTimeout(this.#idleTimer)
    this.#idleTimer = null
  }

  #recordMetrics(statement: CallerStatement, answer: CallerAnswer, arrivedAt: Milliseconds): void {
    const outcome = answer.kind === 'refused' ? answer.refusal : 'answered'
    const elapsed = this.#context.clock.now() - arrivedAt
    this.#context.metrics.statement(statement.body.kind, outcome, elapsed)
  }
}
