/** What a caller is given, and what it tells of its statements. */
import type { RandomSource } from '@nutmegcourse/shared'
import type { WireAnswer } from '@nutmegcourse/platform/standIns'
import type { AnswerChecker } from './answerChecker.js'
import type { ConsistencyChecker } from './consistencyChecker.js'
import type { CallerHabits } from './hardLoad.js'
import type { EndedStatement } from './loadChecker.js'
import type { SoakFleet } from './soakFleet.js'

/** A statement without a successful answer. */
export interface UnsuccessfulStatement {
  readonly host: string
  readonly service: string
  /** `-` for a begin or a rollback. */
  readonly id: string
  /** The time from sending the statement to its answer or to the end of the wait. */
  readonly owedMilliseconds: number
  /** `closed`: the connection ended, or the wait timed out, before an answer arrived. */
  readonly answer: Exclude<WireAnswer, { kind: 'done' }>
  /** How long the caller rested inside its transaction before the statement. */
  readonly restedMilliseconds: number
  readonly at: string
}

export type OnUnsuccessfulStatement = (statement: UnsuccessfulStatement) => void

export interface SoakCallerOptions {
  readonly name: string
  readonly fleet: SoakFleet
  readonly checker: ConsistencyChecker
  readonly random: RandomSource
  readonly habits: CallerHabits
  /** With it, the caller sends hostile contents and session state, and its answers are compared. */
  readonly answers?: AnswerChecker | null
  readonly onUnsuccessfulStatement?: OnUnsuccessfulStatement
  /** Called for each read, write and commit when it has ended. */
  readonly onEndedStatement?: (statement: EndedStatement) => void
}
