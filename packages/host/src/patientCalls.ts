/**
 * Repeats a call to the store without discarding answers that are late. When no answer has begun in the expected time,
 * the next call is made beside the earlier ones, each on a connection of its own, and the first answer counts. A silent
 * connection is thus replaced by the next call, and the answer of a slow store is still received.
 *
 * @internal
 */
import { addMilliseconds, type Clock, type Milliseconds } from '@nutmegcourse/shared'
import type { LongAnswerLimit, StoreFailure } from '@nutmegcourse/protocol'
import { err, type Result } from 'neverthrow'
import { OVERDUE, Signal, withDeadline } from './waiting.js'

/** How long a late call is kept beyond the expected time, unless newer ones take its place. */
const PATIENCE_MILLISECONDS = 20_000

export interface PatientLimits {
  /** The longest gap between two parts of an answer. */
  readonly pauseMilliseconds: number
  /** How long an answer that has begun may take until the next call is made. */
  readonly begunMilliseconds: number
  /**
   * Late calls that are kept: the oldest one, for a store that is very slow, and the newest ones, since older connections
   * may have gone silent before the store became slow.
   */
  readonly lateCalls: number
}

export interface PatientAnswer<Answer> {
  readonly answer: Answer
  readonly askedAt: Milliseconds
  /** It began later than expected. */
  readonly isLate: boolean
}

type Outcome<Answer> = Result<PatientAnswer<Answer>, StoreFailure>

interface PendingCall<Answer> {
  readonly giveUp: AbortController
  /** When the next call is made beside it. */
  deadline: Milliseconds
  readonly settled: Promise<void>
  /** Null until the call is over. */
  outcome: Outcome<Answer> | null
}

export class PatientCalls<Answer> {
  readonly #clock: Clock
  readonly #limits: PatientLimits
  readonly #arrived = new Signal()
  #pending: PendingCall<Answer>[] = []

  constructor(clock: Clock, limits: PatientLimits) {
    this.#clock = clock
    this.#limits = limits
  }

  /**
   * Returns the answer of an earlier call that has arrived; otherwise makes a call, and waits until one is answered, until
   * the new one fails, or until `expected` milliseconds have passed without the beginning of its answer.
   */
  async next(
    make: (limit: LongAnswerLimit) => Promise<Result<Answer, StoreFailure>>,
    expected: number,
  ): Promise<Outcome<Answer>> {
    const arrived = this.#takeArrived()
    if (arrived !== null) return arrived
    this.#makeRoom()
    const call = this.#begin(make, expected)
    for (;;) {
      const deadline = call.deadline
      const first = Promise.race(this.#pending.map(({ settled }) => settled))
      const isOverdue = (await withDeadline(first, deadline, this.#clock)) === OVERDUE
      const answered = this.#takeArrived()
      if (answered !== null) return answered
      if (call.outcome !== null) return call.outcome
      // The deadline moves once when the answer begins.
      if (isOverdue && call.deadline === deadline)
        return err({ kind: 'noAnswer', detail: `no answer within ${String(expected)} ms` })
    }
  }

  /** Gives up the calls made so far. */
  forget(): void {
    for (const { giveUp } of this.#pending) giveUp.abort()
    this.#pending = []
  }

  /** Gives up the second oldest of too many late calls. */
  #makeRoom(): void {
    if (this.#pending.length <= this.#limits.lateCalls) return
    const [call] = this.#pending.splice(1, 1)
    call?.giveUp.abort()
  }

  /** Resolves when an earlier call is answered, or after `span` milliseconds. */
  pause(span: number): Promise<void> {
    return this.#arrived.wait(span)
  }

  #begin(
    make: (limit: LongAnswerLimit) => Promise<Result<Answer, StoreFailure>>,
    expected: number,
  ): PendingCall<Answer> {
    const giveUp = new AbortController()
    const askedAt = this.#clock.now()
    let latest: Milliseconds | null = null
    const limit: LongAnswerLimit = {
      begin: expected + PATIENCE_MILLISECONDS,
      signal: giveUp.signal,
      pause: this.#limits.pauseMilliseconds,
      onBegun: () => {
        latest = this.#clock.now()
        call.deadline = addMilliseconds(latest, this.#limits.begunMilliseconds)
      },
    }
    const settled = make(limit)
      .catch((error: unknown) => err<Answer, StoreFailure>(unexpected(error)))
      .then(result => {
        const beganAt = latest ?? this.#clock.now()
        this.#settle(call, result, askedAt, beganAt - askedAt - expected)
      })
    const deadline = addMilliseconds(askedAt, expected)
    const call: PendingCall<Answer> = { giveUp, deadline, settled, outcome: null }
    this.#pending.push(call)
    return call
  }

  #settle(
    call: PendingCall<Answer>,
    result: Result<Answer, StoreFailure>,
    askedAt: Milliseconds,
    lateMilliseconds: number,
  ): void {
    call.outcome = result.map(answer => ({ answer, askedAt, isLate: lateMilliseconds > 0 }))
    if (isAnswer(result)) this.#arrived.raise()
    else this.#pending = this.#pending.filter(each => each !== call)
  }

  #takeArrived(): Outcome<Answer> | null {
    const call = this.#pending.find(({ outcome }) => outcome !== null && isAnswer(outcome))
    if (call === undefined) return null
    this.#pending = this.#pending.filter(each => each !== call)
    return call.outcome
  }
}

/** That its history is gone is what the store answers, also when it answers late. */
const isAnswer = (result: Result<unknown, StoreFailure>): boolean =>
  result.isOk() || result.error.kind === 'historyGone'

/** An answer that could not be decoded must not end the calls after it. */
const unexpected = (error: unknown): StoreFailure => ({
  kind: 'unexpected',
  detail: error instanceof Error ? error.message : String(error),
})
