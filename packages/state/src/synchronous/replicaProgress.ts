/**
 * How far a server's log has come, from what it says with each answer, so that reads which need more do
 * not ask it in vain, and reads which need less still go there: each question in vain costs a round trip
 * and delays the read.
 */
import { isAtOrPast, milliseconds, type LogPosition, type Milliseconds } from '@nutmegcourse/shared'

/** A replica that is well is behind for tens of milliseconds after a write. */
const FIRST_PAUSE_MILLISECONDS = 15
/** One that stays behind is asked again this often at least, so that it is found once it has caught up. */
const LONGEST_PAUSE_MILLISECONDS = 400

export class ReplicaProgress {
  #reached: LogPosition | null = null
  /** The newest position that it was found to lack; null while nothing tells that it is behind. */
  #lacked: LogPosition | null = null
  #askAgainAt = milliseconds(0)
  #pause = FIRST_PAUSE_MILLISECONDS

  /** An answer said that its log ends here. It may go back: a change of primary cuts off what only it had. */
  noteReached(position: LogPosition): void {
    this.#reached = position
    if (this.#lacked === null || !isAtOrPast(position, this.#lacked)) return
    this.#lacked = null
    this.#pause = FIRST_PAUSE_MILLISECONDS
  }

  /** It refused a read because its log lacks the position. */
  noteLacked(needed: LogPosition, now: Milliseconds): void {
    if (this.#lacked === null || isAtOrPast(needed, this.#lacked)) this.#lacked = needed
    this.#askAgainAt = milliseconds(now + this.#pause)
    this.#pause = Math.min(this.#pause * 2, LONGEST_PAUSE_MILLISECONDS)
  }

  /** A read that needs the position goes there: while its answer is out, others do not follow it. */
  noteAsked(needed: LogPosition, now: Milliseconds): void {
    if (this.#lacked === null || this.#holds(needed, this.#lacked)) return
    this.#askAgainAt = milliseconds(now + this.#pause)
  }

  /** Whether it is likely to lack the position. */
  expectsBehind(needed: LogPosition, now: Milliseconds): boolean {
    if (this.#lacked === null || this.#holds(needed, this.#lacked)) return false
    return now < this.#askAgainAt
  }

  /** Without a word of where its log ends, it may hold all that is older than what it lacked. */
  #holds(needed: LogPosition, lacked: LogPosition): boolean {
    if (this.#reached === null) return !isAtOrPast(needed, lacked)
    return isAtOrPast(this.#reached, needed)
  }
}
