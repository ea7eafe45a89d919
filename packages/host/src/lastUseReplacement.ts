/**
 * Closes the connection that was unused for longest.
 *
 * @internal
 */
import type { CustomerName } from '@nutmegcourse/shared'
import type { ConnectionReplacement, ReplacementWaiter } from './connectionReplacement.js'
import type { PoolConnections } from './poolConnections.js'
import type { PooledLink } from './pooledLink.js'

export class LastUseReplacement implements ConnectionReplacement {
  /** Not considered: any customer may take the place of another. */
  readonly relativeShare = null
  readonly #connections: PoolConnections

  constructor(connections: PoolConnections) {
    this.#connections = connections
  }

  recordRequest(): void {
    // The last use of each connection is all that this needs.
  }

  opensFor(): boolean {
    return true
  }

  /**
   * A customer with a connection in use waits for that one first: otherwise each concurrent statement of one customer
   * closed a connection of another, which had to be reopened a moment later.
   */
  replacesFor({ customer, isStarved }: ReplacementWaiter): boolean {
    return isStarved || this.#connections.inUseBy(customer).length === 0
  }

  mayTakePlace(): boolean {
    return true
  }

  candidateFor(customer: CustomerName | null): PooledLink | null {
    return this.#connections.idle.evictionCandidateFor(customer)
  }

  surplus(mayClose: (pooled: PooledLink) => boolean): PooledLink | null {
    const { oldest } = this.#connections.idle
    return oldest !== null && mayClose(oldest) ? oldest : null
  }
}
