/**
 * Tracks how far a server's log has progressed, from the position in each of its answers, so that reads that need a
 * later position are not sent there only to be refused, while reads that need an earlier one still are. Each refused
 * read costs a round trip and is delayed by it.
 */
import { isAtOrPast, milliseconds, type LogPosition, type Milliseconds } from '@nutmegcourse/shared'
import { ProgressRate } from '../progressRate.js'

/** A healthy replica lags by tens of milliseconds after a write. */
const INITIAL_RETRY_DELAY_MILLISECONDS = 15
/** A replica that stays behind is retried at least this often, so that it is noticed once it has caught up. */
const MAX_RETRY_DELAY_MILLISECONDS = 400

const MILLISECONDS_PER_SECOND = 1000

export class ReplicaProgress {
  readonly #learnsRate: boolean
  readonly #rate = new ProgressRate()
  #reached: LogPosition | null = null
  #reachedAt = milliseconds(0)
  /** The latest position that the server was found to lack; null while it is not known to be behind. */
  #missing: LogPosition | null = null
  #retryAt = milliseconds(0)
  #retryDelay = INITIAL_RETRY_DELAY_MILLISECONDS
  /** A read was sent there although it was known to be behind. */
  #isRetried = false

  /** `learnsRate`: a server that is behind is retried when it may have caught up at the rate at which its log grows. */
  constructor(learnsRate = false) {
    this.#learnsRate = learnsRate
  }

  /**
   * Records the end of the server's log from an answer. It can go back: a change of primary truncates records that
   * only this server had.
   */
  noteReached(position: LogPosition, now: Milliseconds | null = null): void {
    this.#reached = position
    if (this.#learnsRate && now !== null) {
      this.#reachedAt = now
      this.#rate.record(position, now)
    }
    if (this.#missing === null || !isAtOrPast(position, this.#missing)) return
    this.#missing = null
    this.#isRetried = false
    this.#retryDelay = INITIAL_RETRY_DELAY_MILLISECONDS
  }

  /** The server refused a read because its log has not reached the position. */
  noteBehind(needed: LogPosition, now: Milliseconds): void {
    const wasBehind = this.#missing !== null
    if (this.#missing === null || isAtOrPast(needed, this.#missing)) this.#missing = needed
    if (this.#learnsRate) {
      this.#forecastRetry(wasBehind, now)
      return
    }
    this.#retryAt = milliseconds(now + this.#retryDelay)
    this.#retryDelay = Math.min(this.#retryDelay * 2, MAX_RETRY_DELAY_MILLISECONDS)
  }

  /** Retries when it is expected to have caught up; if it had not, the forecast is not trusted again. */
  #forecastRetry(wasBehind: boolean, now: Milliseconds): void {
    // It refused a read that was sent before it was known to be behind.
    if (wasBehind && !this.#isRetried) return
    this.#isRetried = false
    this.#retryDelay = wasBehind
      ? MAX_RETRY_DELAY_MILLISECONDS
      : Math.min(
          Math.max(this.#expectedAt(this.#missing) - now, INITIAL_RETRY_DELAY_MILLISECONDS),
          MAX_RETRY_DELAY_MILLISECONDS,
        )
    this.#retryAt = milliseconds(now + this.#retryDelay)
  }

  /**
   * A read that needs the position is sent there. If it is a retry, others are held off for one retry delay, or until
   * an answer shows that the server has caught up.
   */
  noteReadSent(needed: LogPosition, now: Milliseconds): void {
    if (!this.isKnownBehind(needed)) return
    this.#isRetried = true
    const delay = this.#learnsRate ? MAX_RETRY_DELAY_MILLISECONDS : this.#retryDelay
    this.#retryAt = milliseconds(now + delay)
  }

  /** Whether the server probably lacks the position. */
  isLikelyBehind(needed: LogPosition, now: Milliseconds): boolean {
    return this.isKnownBehind(needed) && now < this.#retryAt
  }

  /** Whether it was found to lack the position and has not been seen to have it since. */
  isKnownBehind(needed: LogPosition): boolean {
    return this.#missing !== null && !this.#holds(needed, this.#missing)
  }

  /** When its log is expected to have the position, as it grew so far; infinite if that can not be told. */
  #expectedAt(needed: LogPosition | null): number {
    const reached = this.#reached
    const rate = this.#rate.recordsPerSecond
    if (needed === null || reached?.term !== needed.term || rate === null || rate <= 0) {
      return Number.POSITIVE_INFINITY
    }
    const missing = Math.max(0, needed.offset - reached.offset)
    return this.#reachedAt + (missing / rate) * MILLISECONDS_PER_SECOND
  }

  /** While the end of its log is unknown, the server is assumed to hold every position before the one it lacked. */
  #holds(needed: LogPosition, missing: LogPosition): boolean {
    if (this.#reached === null) return !isAtOrPast(needed, missing)
    return isAtOrPast(this.#reached, needed)
  }
}
