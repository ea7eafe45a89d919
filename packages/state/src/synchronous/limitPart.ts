/**
 * One part of a customer's limit. The limit is divided among a few hosts, each of which grants operations from a
 * token bucket of its own, whoever asks. However the hosts are cut off from each other, restarted or frozen, their
 * parts together never grant more than the limit and its tolerance.
 */
import { addMilliseconds, type Milliseconds } from '@nutmegcourse/shared'
import type { LimitTolerance, OperationLimit } from '@nutmegcourse/protocol'

/** Restarts of a host within one window of the tolerance that its fresh buckets allow for. */
const RESTARTS_PER_WINDOW = 2

const MILLISECONDS_PER_SECOND = 1000

/** Operations. With less the bucket would never grant anything. */
const LEAST_CAPACITY = 1

/** What is told where the limit grants next to nothing. */
const LONGEST_WAIT_MILLISECONDS = 60_000

export class LimitPart {
  #parts: number
  readonly #tolerance: LimitTolerance
  #limit: OperationLimit
  #tokens: number
  #filledAt: Milliseconds

  /**
   * `fillsSince`: when nothing was granted any more that this host does not know of. It may lie ahead.
   * What was granted in an earlier life of the host is unknown, so a new bucket begins with its part of half the
   * tolerance. The other half deepens the bucket: operations come unevenly to the parts.
   */
  constructor(
    limit: OperationLimit,
    parts: number,
    tolerance: LimitTolerance,
    fillsSince: Milliseconds,
  ) {
    this.#limit = limit
    this.#parts = parts
    this.#tolerance = tolerance
    this.#filledAt = fillsSince
    this.#tokens = this.#spare / 2 / RESTARTS_PER_WINDOW
  }

  /** The limit is another one, or divided among more or fewer hosts. */
  divide(limit: OperationLimit, parts: number): void {
    this.#limit = limit
    this.#parts = parts
    this.#tokens = Math.min(this.#tokens, this.#capacity)
  }

  /** 0 when an operation is granted, else the milliseconds until one will be. */
  take(now: Milliseconds): number {
    this.#fill(now)
    if (this.#tokens >= 1) {
      this.#tokens -= 1
      return 0
    }
    const begins = Math.max(0, this.#filledAt - now)
    const wait = begins + (1 - this.#tokens) / this.#tokensPerMillisecond
    return Math.min(wait, LONGEST_WAIT_MILLISECONDS)
  }

  #fill(now: Milliseconds): void {
    if (now <= this.#filledAt) return
    const gained = (now - this.#filledAt) * this.#tokensPerMillisecond
    this.#tokens = Math.min(this.#capacity, this.#tokens + gained)
    this.#filledAt = addMilliseconds(now, 0)
  }

  get #tokensPerMillisecond(): number {
    return this.#limit.operationsPerSecond / this.#parts / MILLISECONDS_PER_SECOND
  }

  get #capacity(): number {
    return Math.max(LEAST_CAPACITY, this.#limit.burst / this.#parts + this.#spare / 2)
  }

  /** This part of what may be granted beyond the limit in one window. */
  get #spare(): number {
    const { windowMilliseconds, overage, slack } = this.#tolerance
    const { operationsPerSecond, burst } = this.#limit
    const window = windowMilliseconds / MILLISECONDS_PER_SECOND
    return ((operationsPerSecond * window + burst) * overage + slack) / this.#parts
  }
}
