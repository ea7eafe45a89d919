/**
 * The idle connections to one backend server. Each runs statements of one customer only, so when connections are
 * scarce, one customer's connection must be closed before another customer's can be opened.
 */
import type { CustomerName, Milliseconds } from '@nutmegcourse/shared'

export interface IdleConnection {
  /** Null for a connection that is assigned to no customer. */
  readonly customer: CustomerName | null
  idleSince: Milliseconds
  /** When a customer's work last used it. */
  usedAt: Milliseconds
}

export class IdleConnections<Connection extends IdleConnection> {
  /** Least recently returned first. */
  readonly #connections = new Set<Connection>()

  get size(): number {
    return this.#connections.size
  }

  all(): readonly Connection[] {
    return [...this.#connections]
  }

  has(customer: CustomerName | null): boolean {
    return this.all().some(each => each.customer === customer)
  }

  includes(connection: Connection): boolean {
    return this.#connections.has(connection)
  }

  add(connection: Connection): void {
    this.#connections.add(connection)
  }

  /** False if the connection was not idle. */
  remove(connection: Connection): boolean {
    return this.#connections.delete(connection)
  }

  /** Takes the customer's connection with the smallest distance; ties go to the most recently returned. */
  take(
    customer: CustomerName | null,
    distance: (connection: Connection) => number,
  ): Connection | null {
    let best: Connection | null = null
    let smallest = Number.POSITIVE_INFINITY
    for (const connection of this.#connections) {
      if (connection.customer !== customer) continue
      const current = distance(connection)
      if (current > smallest) continue
      smallest = current
      best = connection
    }
    if (best !== null) this.remove(best)
    return best
  }

  /** Takes any connection, for the host's own queries; prefers one that is assigned to no customer. */
  takeAny(): Connection | null {
    const connections = this.all()
    const best = connections.findLast(each => each.customer === null)
    const taken = best ?? connections.at(-1) ?? null
    if (taken !== null) this.remove(taken)
    return taken
  }

  /** The least recently returned connection. */
  get oldest(): Connection | null {
    const [oldest] = this.#connections
    return oldest ?? null
  }

  /**
   * The connection to close to make room for this customer: first one assigned to no customer, then the least
   * recently used one of another customer.
   */
  evictionCandidateFor(customer: CustomerName | null): Connection | null {
    let found: Connection | null = null
    for (const connection of this.#connections) {
      if (connection.customer === customer) continue
      if (connection.customer === null) return connection
      if (found === null || connection.usedAt < found.usedAt) found = connection
    }
    return found
  }
}
