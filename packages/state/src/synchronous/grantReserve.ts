/**
 * The operations of one customer that this host may run without asking, because a holder of its limit handed it tokens
 * ahead. Only a host that uses a customer steadily is handed any: a token that expires unused is lost to the customer.
 */
import { addMilliseconds, type Milliseconds } from '@nutmegcourse/shared'
import { RecentUse } from './recentUse.js'
import { AHEAD_MILLISECONDS } from './tokensAhead.js'

/** Used in each recent half second by a host that uses the customer steadily, in operations. */
const MIN_STEADY_OPERATIONS = 3

/** In operations. Bounds what is lost when the customer's callers leave this host. */
const MAX_REQUESTED_OPERATIONS = 64

/** More is requested when what is at hand is less than this part of what half a second needs. */
const LOW_SHARE = 0.25

/** After a request that gained nothing, none is sent for this long. */
const FRUITLESS_PAUSE_MILLISECONDS = 250

interface HeldTokens {
  count: number
  readonly until: Milliseconds
}

export class GrantReserve {
  readonly #use = new RecentUse()
  /** Expiring first come first. */
  #held: HeldTokens[] = []
  #isRequesting = false
  #pausedUntil = Number.NEGATIVE_INFINITY

  /** Uses a token that is at hand; false if there is none. */
  take(now: Milliseconds): boolean {
    this.#dropExpired(now)
    const [first] = this.#held
    if (first === undefined) return false
    first.count -= 1
    if (first.count === 0) this.#held.shift()
    return true
  }

  /** An operation ran, with a token that was at hand or one that was granted to it alone. */
  recordUse(now: Milliseconds): void {
    this.#use.record(now)
  }

  /** How many tokens to request now; 0 for none. A request has to end with `receive`. */
  request(now: Milliseconds): number {
    if (this.#isRequesting || now < this.#pausedUntil) return 0
    const steady = Math.min(this.#use.steadyInHalfSecond(now), MAX_REQUESTED_OPERATIONS)
    if (steady < MIN_STEADY_OPERATIONS || this.#atHand(now) > steady * LOW_SHARE) return 0
    this.#isRequesting = true
    return steady
  }

  /** `count`: the tokens gained by the request that was sent at `sentAt`; 0 if it failed. */
  receive(count: number, sentAt: Milliseconds, now: Milliseconds): void {
    this.#isRequesting = false
    if (count > 0) this.#held.push({ count, until: addMilliseconds(sentAt, AHEAD_MILLISECONDS) })
    else this.#pausedUntil = addMilliseconds(now, FRUITLESS_PAUSE_MILLISECONDS)
  }

  /** Whether nothing would be lost by forgetting it. */
  isIdle(now: Milliseconds): boolean {
    return !this.#isRequesting && this.#atHand(now) === 0 && this.#use.isIdle(now)
  }

  #atHand(now: Milliseconds): number {
    this.#dropExpired(now)
    return this.#held.reduce((sum, { count }) => sum + count, 0)
  }

  #dropExpired(now: Milliseconds): void {
    while ((this.#held[0]?.until ?? Number.POSITIVE_INFINITY) <= now) this.#held.shift()
  }
}
