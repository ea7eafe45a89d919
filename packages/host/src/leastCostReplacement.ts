/**
 * Closes the connection that costs least to close, and opens one for a customer only if none of its own is about to be
 * free.
 *
 * @internal
 */
import type { Clock, CustomerName } from '@nutmegcourse/shared'
import {
  ConnectionRetention,
  millisecondsUntilFree,
  type ClosingTerms,
  type RelativeShare,
} from '@nutmegcourse/state'
import type { ConnectionReplacement, ReplacementWaiter } from './connectionReplacement.js'
import type { PoolConnections } from './poolConnections.js'
import type { PooledLink } from './pooledLink.js'

/** The usual times of a pool's connections. */
export interface PoolTimes {
  readonly holdMilliseconds: number
  readonly openingMilliseconds: number
  /** A waiter is starved after this long. */
  readonly starvationMilliseconds: number
}

export class LeastCostReplacement implements ConnectionReplacement {
  /** Null while shares of slot time are not known. */
  relativeShare: RelativeShare | null = null
  readonly #connections: PoolConnections
  readonly #clock: Clock
  readonly #times: () => PoolTimes
  readonly #retention = new ConnectionRetention()

  constructor(connections: PoolConnections, clock: Clock, times: () => PoolTimes) {
    this.#connections = connections
    this.#clock = clock
    this.#times = times
  }

  recordRequest(customer: CustomerName | null): void {
    if (customer === null) return
    const inUse = this.#connections.inUseBy(customer).length
    this.#retention.recordRequest(customer, inUse, this.#clock.now())
  }

  opensFor(waiter: ReplacementWaiter): boolean {
    return waiter.isStarved || this.#untilFree(waiter) > this.#times().openingMilliseconds
  }

  /** Closing a connection of another customer costs one more opening later, so the waiter waits longer for its own. */
  replacesFor(waiter: ReplacementWaiter): boolean {
    const { openingMilliseconds, starvationMilliseconds } = this.#times()
    const longest = Math.max(openingMilliseconds, starvationMilliseconds)
    return waiter.isStarved || this.#untilFree(waiter) > longest
  }

  mayTakePlace(customer: CustomerName | null, pooled: PooledLink): boolean {
    if (pooled.customer === null) return true
    return this.#retention.mayClose(pooled.customer, this.#terms(customer))
  }

  candidateFor(customer: CustomerName | null): PooledLink | null {
    const others = this.#connections.idle.all().filter(each => each.customer !== customer)
    return this.#retention.cheapest(others, this.#terms(customer))
  }

  surplus(mayClose: (pooled: PooledLink) => boolean): PooledLink | null {
    const idle = this.#connections.idle.all().filter(mayClose)
    return this.#retention.cheapest(idle, this.#terms(null))
  }

  #untilFree({ customer, ahead }: ReplacementWaiter): number {
    const takenAt = this.#connections.inUseBy(customer).map(pooled => pooled.takenAt)
    const { holdMilliseconds } = this.#times()
    return millisecondsUntilFree({ takenAt, holdMilliseconds }, ahead, this.#clock.now())
  }

  #terms(requester: CustomerName | null): ClosingTerms {
    return {
      now: this.#clock.now(),
      openingMilliseconds: this.#times().openingMilliseconds,
      held: customer => this.#connections.heldBy(customer).length,
      requester,
      relativeShare: this.relativeShare,
    }
  }
}
