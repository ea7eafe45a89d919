/**
 * Repeats a call to the store without discarding answers that are late. When no answer has begun in the expected time,
 * the next call is made beside the earlier ones, each on a connection of its own, and the first answer counts. So
 * neither a connection that went silent nor a slow store can stop the host: the next call mends the first, and patience
 * the second.
 *
 * @internal
 */
import { addMilliseconds, type Clock, type Milliseconds } from '@nutmegcourse/shared'
import type { LongAnswerLimit, StoreFailure } from '@nutmegcourse/protocol'
import { err, type Result } from 'neverthrow'
import { GrowingLimit } from './growingLimit.js'
import { OVERDUE, Signal, withDeadline } from './waiting.js'

/** How long a late call is kept beyond the expected time. */
const SHORTEST_PATIENCE_MILLISECONDS = 4000
const LONGEST_PATIENCE_MILLISECONDS = 20_000

export interface PatientLimits {
  /** The longest gap between two parts of an answer. */
  readonly pauseMilliseconds: number
  /** How long an answer that has begun may take until the next call is made. */
  readonly begunMilliseconds: number
  /** Late calls that are kept; further ones end when they are late. */
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
  readonly isPatient: boolean
  /** When the next call is made beside it. */
  deadline: Milliseconds
  readonly settled: Promise<void>
  /** Null until the call is over. */
  outcome: Outcome<Answer> | null
}

export class PatientCalls<Answer> {
  readonly #clock: Clock
  readonly #limits: PatientLimits
  readonly #patience = new GrowingLimit(
    SHORTEST_PATIENCE_MILLISECONDS,
    LONGEST_PATIENCE_MILLISECONDS,
  )
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

  /** Answers of the calls made so far no longer count. */
  forget(): void {
    this.#pending = []
  }

  /** Resolves when an earlier call is answered, or after `span` milliseconds. */
  pause(span: number): Promise<void> {
    return this.#arrived.wait(span)
  }

  #begin(
    make: (limit: LongAnswerLimit) => Promise<Result<Answer, StoreFailure>>,
    expected: number,
  ): PendingCall<Answer> {
    const isPatient = this.#pending.filter(each => each.isPatient).length < this.#limits.lateCalls
    const askedAt = this.#clock.now()
    let latest: Milliseconds | null = null
    const limit: LongAnswerLimit = {
      begin: expected + (isPatient ? this.#patience.milliseconds : 0),
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
    const call: PendingCall<Answer> = { isPatient, deadline, settled, outcome: null }
    this.#pending.push(call)
    return call
  }

  #settle(
    call: PendingCall<Answer>,
    result: Result<Answer, StoreFailure>,
    askedAt: Milliseconds,
    lateMilliseconds: number,
  ): void {
    if (result.isOk()) this.#patience.answered(Math.max(0, lateMilliseconds))
    else if (call.isPatient && lateMilliseconds > 0) this.#patience.exceeded()
    call.outcome = result.map(answer => ({ answer, askedAt, isLate: lateMilliseconds > 0 }))
    if (result.isErr()) this.#pending = this.#pending.filter(each => each !== call)
    else this.#arrived.raise()
  }

  #takeArrived(): Outcome<Answer> | null {
    const call = this.#pending.find(({ outcome }) => outcome?.isOk() === true)
    if (call === undefined) return null
    this.#pending = this.#pending.filter(each => each !== call)
    return call.outcome
  }
}

/** An answer that could not be decoded must not end the calls after it. */
const unexpected = (error: unknown): StoreFailure => ({
  kind: 'unexpected',
  detail: error instanceof Error ? error.message : String(error),
})
