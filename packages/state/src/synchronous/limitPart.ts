/**
 * One part of a customer's operation limit. The limit is divided among a few hosts, each of which grants operations
 * from its own token bucket to any host that requests them. Even if the hosts are partitioned from each other,
 * restarted or paused, their parts together never grant more than the limit and its tolerance.
 */
import { addMilliseconds, type Milliseconds } from '@nutmegcourse/shared'
import type { LimitTolerance, OperationLimit } from '@nutmegcourse/protocol'
import type { TokensAhead } from './tokensAhead.js'

/** How many restarts of a host per tolerance window the initial fill of a new bucket allows for. */
const RESTARTS_PER_WINDOW = 2

const MILLISECONDS_PER_SECOND = 1000

/** In operations. A smaller bucket would never grant anything. */
const MIN_CAPACITY = 1

/** Caps the reported wait where the limit grants next to nothing. */
const MAX_WAIT_MILLISECONDS = 60_000

/** The part of the tokens at hand that one request for tokens ahead gets at most; the others stay for other hosts. */
const AHEAD_SHARE_OF_TOKENS = 0.5

/**
 * The part of the capacity that is handed ahead at any time at most. The initial fill of a new bucket has to fit into
 * the remainder, see `TokensAhead`; it is at most half of the capacity.
 */
const AHEAD_SHARE_OF_CAPACITY = 0.5

export class LimitPart {
  #parts: number
  readonly #tolerance: LimitTolerance
  #limit: OperationLimit
  readonly #ahead: TokensAhead | null
  #tokens: number
  #refilledAt: Milliseconds

  /**
   * `refillsFrom`: the time from which no grants unknown to this host are made any more. It may lie in the future.
   * What an earlier incarnation of the host granted is unknown, so a new bucket starts with this host's part of half
   * the tolerance, divided by the restarts per window. The other half increases the capacity, because operations are
   * distributed unevenly over the parts.
   *
   * `ahead`: null where no tokens are handed ahead. Such a token may be used up to its lifetime later, and so in a
   * window in which it was not taken. It therefore counts against the capacity until its lifetime has passed: tokens in
   * the bucket and tokens out never exceed the capacity together, and a window holds at most the capacity and what flows
   * in during it, as without tokens ahead.
   */
  constructor(
    limit: OperationLimit,
    parts: number,
    tolerance: LimitTolerance,
    refillsFrom: Milliseconds,
    ahead: TokensAhead | null = null,
  ) {
    this.#limit = limit
    this.#parts = parts
    this.#tolerance = tolerance
    this.#refilledAt = refillsFrom
    this.#ahead = ahead
    this.#tokens = this.#toleratedExcess / 2 / RESTARTS_PER_WINDOW
  }

  /** Applies a changed limit, or a changed number of hosts that it is divided among. */
  reconfigure(limit: OperationLimit, parts: number): void {
    this.#limit = limit
    this.#parts = parts
    this.#tokens = Math.min(this.#tokens, this.#capacity)
  }

  /** Returns 0 if an operation is granted, else the milliseconds until one will be. */
  take(now: Milliseconds): number {
    this.#refill(now)
    if (this.#tokens >= 1) {
      this.#tokens -= 1
      return 0
    }
    const untilRefillStarts = Math.max(0, this.#refilledAt - now)
    const wait = untilRefillStarts + (1 - this.#tokens) / this.#tokensPerMillisecond
    return Math.min(wait, MAX_WAIT_MILLISECONDS)
  }

  /** Takes up to `count` tokens that a host may use within `AHEAD_MILLISECONDS`; returns how many. */
  takeAhead(count: number, now: Milliseconds): number {
    if (this.#ahead === null) return 0
    this.#refill(now)
    const most = this.#capacity * AHEAD_SHARE_OF_CAPACITY
    const room = most - this.#ahead.outstanding(now, most)
    const taken = Math.floor(Math.min(count, this.#tokens * AHEAD_SHARE_OF_TOKENS, room))
    if (!(taken >= 1)) return 0
    this.#tokens -= taken
    this.#ahead.add(taken, now)
    return taken
  }

  /** Whether the bucket is full and nothing is out, so that a new one in its place would be equal to it. */
  isIdle(now: Milliseconds): boolean {
    this.#refill(now)
    const isNothingOut = this.#ahead === null || this.#ahead.outstanding(now, this.#capacity) === 0
    return isNothingOut && this.#tokens >= this.#capacity
  }

  #refill(now: Milliseconds): void {
    if (now <= this.#refilledAt) return
    const gained = (now - this.#refilledAt) * this.#tokensPerMillisecond
    const most = this.#capacity * AHEAD_SHARE_OF_CAPACITY
    const out = this.#ahead?.outstanding(now, most) ?? 0
    this.#tokens = Math.min(Math.max(0, this.#capacity - out), this.#tokens + gained)
    this.#refilledAt = addMilliseconds(now, 0)
  }

  get #tokensPerMillisecond(): number {
    return this.#limit.operationsPerSecond / this.#parts / MILLISECONDS_PER_SECOND
  }

  get #capacity(): number {
    return Math.max(MIN_CAPACITY, this.#limit.burst / this.#parts + this.#toleratedExcess / 2)
  }

  /** This part's share of the operations that may be granted beyond the limit in one window. */
  get #toleratedExcess(): number {
    const { windowMilliseconds, overage, slack } = this.#tolerance
    const { operationsPerSecond, burst } = this.#limit
    const window = windowMilliseconds / MILLISECONDS_PER_SECOND
    return ((operationsPerSecond * window + burst) * overage + slack) / this.#parts
  }
}
