/**
 * The planned stop of an entry host: in which order it lets go of its callers, and of what it runs
 * for other hosts, so that the end of the process takes nothing from anybody.
 *
 * @internal
 */
import type { Milliseconds } from '@nutmegcourse/shared'
import type { CallerSession } from './callerSession.js'
import type { HostContext } from './hostContext.js'
import { rest } from './waiting.js'

/** For how long this host takes new sessions. */
export type SessionIntake =
  | 'lasting'
  /** For one statement or transaction. */
  | 'brief'
  | 'none'

/** What the stop lets go of. */
export interface StoppingHost {
  readonly sessions: ReadonlySet<CallerSession>
  /** Statements that run, and transactions that are open, for other hosts. */
  readonly isRelaying: boolean
  /** This host changes the primary of some service. */
  readonly isChangingPrimary: boolean
  readonly longestStatementMilliseconds: number
  /** Ends those of other hosts as soon as no statement runs in them. */
  endRelayedTransactions(): void
}

type StopStep = 'restingClosed' | 'intakeClosed' | 'transactionsEnded' | 'ended'

/** How often the stop looks at what still runs. */
const POLL_INTERVAL_MILLISECONDS = 25

/** Resting callers are sent away over this part, so that they do not all reconnect at once. */
const IDLE_CLOSING_SHARE = 0.25

/** A caller that was answered so lately is about to ask again, and is sent away behind that answer. */
const RECENTLY_ACTIVE_MILLISECONDS = 200

/**
 * From this part on no session is taken. A balancer may go on sending callers; who worked on to the
 * end of the process had a statement cut that a server had run.
 */
const INTAKE_SHARE = 0.5

/** Transactions that were open at the signal have this part at least. */
const MIN_TRANSACTION_SHARE = 0.5

/** The process ends before it is killed. */
const EXIT_RESERVE_MILLISECONDS = 400

export class PlannedStop {
  readonly #context: HostContext
  readonly #host: StoppingHost
  readonly #startedAt: Milliseconds
  readonly #grace: number
  #intake: SessionIntake = 'brief'

  constructor(context: HostContext, host: StoppingHost) {
    this.#context = context
    this.#host = host
    this.#startedAt = context.clock.now()
    this.#grace = context.settings.graceMilliseconds
  }

  get intake(): SessionIntake {
    return this.#intake
  }

  /** Resolves when the process may end. */
  async run(): Promise<void> {
    for (const session of this.#host.sessions) session.closeAfterWork()
    await this.#closeIdleSessions()
    this.#log('restingClosed')
    while (this.#hasWorkOrSessions && this.#elapsed < this.#grace * INTAKE_SHARE) {
      for (const session of this.#idleSessions) session.closeWhenIdle()
      await rest(POLL_INTERVAL_MILLISECONDS)
    }
    this.#intake = 'none'
    for (const session of this.#host.sessions) session.closeWhenIdle()
    this.#log('intakeClosed')
    await this.#waitWhileWorking(this.#transactionsEndAfter)
    for (const session of this.#host.sessions) session.endTransactionWhenIdle()
    this.#host.endRelayedTransactions()
    this.#log('transactionsEnded')
    await this.#waitWhileWorking(this.#grace - EXIT_RESERVE_MILLISECONDS)
    this.#log('ended')
    for (const session of this.#host.sessions) session.endNow(this.#startedAt)
  }

  /**
   * Late enough that brief transactions end by themselves, and so early that a statement which began
   * just before is answered before the process ends. Ended at half of the grace, transactions that
   * callers had begun milliseconds ago were rolled back.
   */
  get #transactionsEndAfter(): number {
    const { longestStatementMilliseconds } = this.#host
    const latest = this.#grace - EXIT_RESERVE_MILLISECONDS - longestStatementMilliseconds
    return Math.max(this.#grace * MIN_TRANSACTION_SHARE, latest)
  }

  get #elapsed(): number {
    return this.#context.clock.now() - this.#startedAt
  }

  get #isWorking(): boolean {
    const { isRelaying, isChangingPrimary, sessions } = this.#host
    return isRelaying || isChangingPrimary || [...sessions].some(session => session.isBusy)
  }

  get #hasWorkOrSessions(): boolean {
    return this.#isWorking || this.#host.sessions.size > 0
  }

  async #waitWhileWorking(limit: number): Promise<void> {
    while (this.#isWorking && this.#elapsed < limit) await rest(POLL_INTERVAL_MILLISECONDS)
  }

  /** Who works is sent away behind an answer; the others one after the other, over a part of the grace. */
  async #closeIdleSessions(): Promise<void> {
    const span = this.#grace * IDLE_CLOSING_SHARE
    for (let left = span; left > 0; left = span - this.#elapsed) {
      const idle = this.#idleSessions
      const steps = Math.ceil(left / POLL_INTERVAL_MILLISECONDS)
      for (const session of idle.slice(0, Math.ceil(idle.length / steps))) {
        session.closeWhenIdle()
      }
      await rest(POLL_INTERVAL_MILLISECONDS)
    }
  }

  /** Those that are not about to ask, the longest rest first. */
  get #idleSessions(): CallerSession[] {
    const before = this.#context.clock.now() - RECENTLY_ACTIVE_MILLISECONDS
    return [...this.#host.sessions]
      .filter(({ restingSince }) => restingSince < before)
      .sort((left, right) => left.restingSince - right.restingSince)
  }

  #log(step: StopStep): void {
    const { sessions, isRelaying } = this.#host
    this.#context.log.write('stop_step', {
      step,
      sessions: sessions.size,
      busySessions: [...sessions].filter(session => session.isBusy).length,
      isRelaying,
      elapsedMilliseconds: Math.round(this.#elapsed),
    })
  }
}
