/**
 * Remembers that a server's log lacked a position, so that the next reads that need as much do not
 * ask it in vain: each such question costs a round trip and delays the read.
 */
import { isAtOrPast, milliseconds, type LogPosition, type Milliseconds } from '@nutmegcourse/shared'

/** A replica that is well is behind for tens of milliseconds after a write. */
const FIRST_PAUSE_MILLISECONDS = 15
/** One that stays behind is asked again this often at least, so that it is found once it has caught up. */
const LONGEST_PAUSE_MILLISECONDS = 400

export class BehindMemory {
  #lacked: LogPosition | null = null
  #until = milliseconds(0)
  #pause = FIRST_PAUSE_MILLISECONDS

  /** It refused a read because its log lacks the position. */
  noteBehind(position: LogPosition, now: Milliseconds): void {
    this.#lacked = position
    this.#until = milliseconds(now + this.#pause)
    this.#pause = Math.min(this.#pause * 2, LONGEST_PAUSE_MILLISECONDS)
  }

  /** It served a read that needed a position. */
  noteServed(): void {
    this.#lacked = null
    this.#pause = FIRST_PAUSE_MILLISECONDS
  }

  /** Whether it is likely to lack the position as well. */
  expectsBehind(position: LogPosition, now: Milliseconds): boolean {
    return this.#lacked !== null && now < this.#until && isAtOrPast(position, this.#lacked)
  }
}
