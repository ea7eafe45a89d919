/**
 * Tracks how far a server's log has progressed, from the position in each of its answers, so that reads that need a
 * later position are not sent there only to be refused, while reads that need an earlier one still are. Each refused
 * read costs a round trip and is delayed by it.
 */
import { isAtOrPast, milliseconds, type LogPosition, type Milliseconds } from '@nutmegcourse/shared'

/** A healthy replica lags by tens of milliseconds after a write. */
const INITIAL_RETRY_DELAY_MILLISECONDS = 15
/** A replica that stays behind is retried at least this often, so that it is noticed once it has caught up. */
const MAX_RETRY_DELAY_MILLISECONDS = 400

export class ReplicaProgress {
  #reached: LogPosition | null = null
  /** The latest position that the server was found to lack; null while it is not known to be behind. */
  #missing: LogPosition | null = null
  #retryAt = milliseconds(0)
  #retryDelay = INITIAL_RETRY_DELAY_MILLISECONDS

  /**
   * Records the end of the server's log from an answer. It can go back: a change of primary truncates records that
   * only this server had.
   */
  noteReached(position: LogPosition): void {
    this.#reached = position
    if (this.#missing === null || !isAtOrPast(position, this.#missing)) return
    this.#missing = null
    this.#retryDelay = INITIAL_RETRY_DELAY_MILLISECONDS
  }

  /** The server refused a read because its log has not reached the position. */
  noteBehind(needed: LogPosition, now: Milliseconds): void {
    if (this.#missing === null || isAtOrPast(needed, this.#missing)) this.#missing = needed
    this.#retryAt = milliseconds(now + this.#retryDelay)
    this.#retryDelay = Math.min(this.#retryDelay * 2, MAX_RETRY_DELAY_MILLISECONDS)
  }

  /**
   * A read that needs the position is sent there. If it is a retry, others are held off for one retry delay, or until
   * an answer shows that the server has caught up.
   */
  noteReadSent(needed: LogPosition, now: Milliseconds): void {
    if (this.#missing === null || this.#holds(needed, this.#missing)) return
    this.#retryAt = milliseconds(now + this.#retryDelay)
  }

  /** Whether the server probably lacks the position. */
  isLikelyBehind(needed: LogPosition, now: Milliseconds): boolean {
    if (this.#missing === null || this.#holds(needed, this.#missing)) return false
    return now < this.#retryAt
  }

  /** While the end of its log is unknown, the server is assumed to hold every position before the one it lacked. */
  #holds(needed: LogPosition, missing: LogPosition): boolean {
    if (this.#reached === null) return !isAtOrPast(needed, missing)
    return isAtOrPast(this.#reached, needed)
  }
}
