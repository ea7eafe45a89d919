/**
 * One caller's session on its connection: when it begins and ends, in which order its statements are served, and what
 * it is told of each.
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

/** A caller gives up when its session is not taken within two seconds; this leaves it time to hear why. */
const WELCOME_LIMIT_MILLISECONDS = 1500

const STOPPING = 'this host is stopping'

/** Statements that one caller may send ahead of their answers. */
const QUEUE_LIMIT = 64

/** When a session that has to end does so. */
type Closing =
  | 'no'
  /** Behind the next answer, as soon as no transaction is open. */
  | 'afterWork'
  /** As soon as nothing is owed and no transaction is open. */
  | 'whenIdle'

export class CallerSession implements CallerEvents {
  readonly #context: HostContext
  readonly #link: CallerLink
  readonly #routes: RouteLookup
  readonly #runner: Runner
  readonly #onEnd: (session: CallerSession) => void
  readonly #queue: CallerStatement[] = []
  /** Null before the session began. */
  #statements: SessionStatements | null = null
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
    return this.#isWorking || this.#queue.length > 0 || this.#transaction !== 'none'
  }

  get #database(): string | null {
    return this.#statements?.database ?? null
  }

  get #transaction(): SessionStatements['transaction'] {
    return this.#statements?.transaction ?? 'none'
  }

  /** When it was last answered, or taken. */
  get restingSince(): Milliseconds {
    return this.#restingSince
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
    void this.#welcome(statements)
  }

  statement(statement: CallerStatement): void {
    if (this.#isOver) {
      this.#drop(statement)
      return
    }
    const statements = this.#statements
    if (statements === null || this.#queue.length >= QUEUE_LIMIT) {
      this.#refuseSession('malformed', 'a statement before the session began, or too many at once')
      return
    }
    this.#queue.push(statement)
    if (this.#isWelcome && !this.#isWorking) void this.#work(statements)
  }

  ended(): void {
    if (this.#isOver) return
    this.#isOver = true
    this.#endedAt = this.#context.clock.now()
    this.#queue.length = 0
    this.#stopIdleTimer()
    // A statement that runs on the transaction's connection sees to it when its answer comes.
    if (!this.#isWorking) this.#statements?.dropTransaction()
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
    if (!this.#isWorking) this.#statements?.endTransaction()
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
      transaction: this.#transaction,
      owedMilliseconds: current === null ? 0 : Math.round(now - current.arrivedAt),
      takenMilliseconds: Math.round(this.#takenAt - stoppingSince),
    })
  }

  async #welcome(statements: SessionStatements): Promise<void> {
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
    const { denial } = statements
    if (denial !== null) {
      this.#refuseSession(denial.refusal, denial.detail)
      return
    }
    this.#isWelcome = true
    this.#link.welcome()
    if (this.#queue.length > 0) void this.#work(statements)
    else if (this.#closing === 'whenIdle') this.#closeIfIdle()
  }

  #refuseSession(refusal: CallerRefusal, detail: string): void {
    this.#context.log.write('session_refused', { database: this.#database, refusal, detail })
    this.#link.reject(refusal, detail)
    this.ended()
  }

  async #work(statements: SessionStatements): Promise<void> {
    this.#isWorking = true
    this.#stopIdleTimer()
    for (let next = this.#queue.shift(); next !== undefined; next = this.#queue.shift()) {
      const arrivedAt = this.#context.clock.now()
      this.#current = { statement: next, arrivedAt }
      const { answer, position } = await statements.serve(next)
      this.#current = null
      this.#count(next, answer, arrivedAt)
      if (this.#isOver) break
      this.#link.answer(answer, statements.status, position)
    }
    this.#isWorking = false
    this.#restingSince = this.#context.clock.now()
    if (this.#isOver) this.#statements?.dropTransaction()
    else this.#afterWork()
  }

  #afterWork(): void {
    if (this.#endsTransaction) this.#statements?.endTransaction()
    if (this.#closing !== 'no') this.#closeIfIdle()
    if (this.#isOver || this.#transaction !== 'running') return
    const limit = this.#routes.idleTransactionMilliseconds
    if (!Number.isFinite(limit)) return
    this.#idleTimer = setTimeout(() => {
      this.#context.log.write('idle_transaction_ended', { database: this.#database, limit })
      this.#statements?.endTransaction()
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

  #stopIdleTimer(): void {
    if (this.#idleTimer !== null) clearTimeout(this.#idleTimer)
    this.#idleTimer = null
  }

  #count(statement: CallerStatement, answer: CallerAnswer, arrivedAt: Milliseconds): void {
    const outcome = answer.kind === 'refused' ? answer.refusal : 'answered'
    const took = this.#context.clock.now() - arrivedAt
    this.#context.metrics.statement(statement.body.kind, outcome, took)
  }
}
