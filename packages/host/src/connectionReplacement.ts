/**
 * Decides which idle connection of a pool is closed, and whether a waiter's connection is worth opening while others of
 * its customer are in use.
 *
 * @internal
 */
import type { CustomerName } from '@nutmegcourse/shared'
import type { RelativeShare } from '@nutmegcourse/state'
import type { PooledLink } from './pooledLink.js'

/** A request of a customer that waits for a connection. */
export interface ReplacementWaiter {
  readonly customer: CustomerName | null
  /** Waiters of the same customer that get a connection in use before it. */
  readonly ahead: number
  /** It has waited for so long that it needs a connection whatever it costs. */
  readonly isStarved: boolean
}

export interface ConnectionReplacement {
  /** Which customers use more than their share; null while that is not known. */
  relativeShare: RelativeShare | null
  /** Records that a customer's request asks for a connection. */
  recordRequest(customer: CustomerName | null): void
  /** Whether to open a connection for the waiter although none has to be closed for it. */
  opensFor(waiter: ReplacementWaiter): boolean
  /** Whether to close a connection of another customer for the waiter. */
  replacesFor(waiter: ReplacementWaiter): boolean
  /** Whether the customer may take the place of this connection. */
  mayTakePlace(customer: CustomerName | null, pooled: PooledLink): boolean
  /** The idle connection to close to make room for the customer; null if there is none. */
  candidateFor(customer: CustomerName | null): PooledLink | null
  /** The idle connection to close of a pool that holds more than its share; null if there is none. */
  surplus(mayClose: (pooled: PooledLink) => boolean): PooledLink | null
}
