/**
 * The planned stop of an entry host: the order in which it closes callers' sessions and ends the work that it runs
 * for other hosts, so that the end of the process interrupts no statement or transaction.
 *
 * @internal
 */
import type { Milliseconds } from '@nutmegcourse/shared'
import type { CallerSession } from './callerSession.js'
import type { HostContext } from './hostContext.js'
import { sleep } from './waiting.js'

/** Which new sessions this host accepts. */
export type SessionIntake =
  | 'lasting'
  /** Sessions for one statement or transaction. */
  | 'brief'
  | 'none'

/** The sessions and the work that the stop ends. */
export interface StoppingHost {
  readonly sessions: ReadonlySet<CallerSession>
  /** Whether statements run or transactions are open for other hosts. */
  readonly isRelaying: boolean
  /** Whether this host is changing the primary of some service. */
  readonly isChangingPrimary: boolean
  readonly longestStatementMilliseconds: number
  /** Ends each transaction of other hosts as soon as no statement runs in it. */
  endRelayedTransactions(): void
}

type StopStep = 'restingClosed' | 'intakeClosed' | 'transactionsEnded' | 'ended'

/** Interval at which the stop checks for running work. */
const POLL_INTERVAL_MILLISECONDS = 25

/** Idle sessions are closed over this share of the grace period, so that callers do not all reconnect at once. */
const IDLE_CLOSING_SHARE = 0.25

/** A caller answered within this time probably sends again, so its session is closed after its next answer. */
const RECENTLY_ACTIVE_MILLISECONDS = 200

/**
 * After this share of the grace period no session is accepted. A load balancer may continue to send callers; callers
 * whose sessions lasted until the process ended lost the answer to a statement that a server had run.
 */
const INTAKE_SHARE = 0.5

/** Transactions that were open at the signal get at least this share of the grace period. */
const MIN_TRANSACTION_SHARE = 0.5

/** Reserved at the end of the grace period, so that the process exits before it is killed. */
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
      await sleep(POLL_INTERVAL_MILLISECONDS)
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
   * Late enough that brief transactions end by themselves, and early enough that a statement which began just before
   * is answered before the process exits. Ending at half of the grace period rolled back transactions that callers
   * had begun milliseconds before.
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
    while (this.#isWorking && this.#elapsed < limit) await sleep(POLL_INTERVAL_MILLISECONDS)
  }

  /** Closes idle sessions gradually over a share of the grace period. */
  async #closeIdleSessions(): Promise<void> {
    const span = this.#grace * IDLE_CLOSING_SHARE
    for (let left = span; left > 0; left = span - this.#elapsed) {
      const idle = this.#idleSessions
      const steps = Math.ceil(left / POLL_INTERVAL_MILLISECONDS)
      for (const session of idle.slice(0, Math.ceil(idle.length / steps))) {
        session.closeWhenIdle()
      }
      await sleep(POLL_INTERVAL_MILLISECONDS)
    }
  }

  /** Sessions that were not active recently, the longest idle first. */
  get #idleSessions(): CallerSession[] {
    const before = this.#context.clock.now() - RECENTLY_ACTIVE_MILLISECONDS
    return [...this.#host.sessions]
      .filter(({ idleSince }) => idleSince < before)
      .sort((left, right) => left.idleSince - right.idleSince)
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
