/**
 * Connections to one backend server that nothing uses at the moment. Each runs statements of one customer only, so
 * where connections are scarce one customer's must be closed before another's can be opened.
 */
import type { CustomerName, Milliseconds } from '@nutmegcourse/shared'

export interface IdleConnection {
  /** Null for a connection in no customer's name. */
  readonly customer: CustomerName | null
  idleSince: Milliseconds
  /** When work of a customer last took it. */
  usedAt: Milliseconds
}

export class IdleConnections<Connection extends IdleConnection> {
  /** Least recently given back first. */
  readonly #connections: Connection[] = []

  get size(): number {
    return this.#connections.length
  }

  all(): readonly Connection[] {
    return [...this.#connections]
  }

  has(customer: CustomerName | null): boolean {
    return this.#connections.some(each => each.customer === customer)
  }

  holds(connection: Connection): boolean {
    return this.#connections.includes(connection)
  }

  add(connection: Connection): void {
    this.#connections.push(connection)
  }

  /** False when it is not idle. */
  remove(connection: Connection): boolean {
    const index = this.#connections.indexOf(connection)
    if (index >= 0) this.#connections.splice(index, 1)
    return index >= 0
  }

  /** The customer's connection with the least distance, of equal ones the last that was given back. */
  take(
    customer: CustomerName | null,
    distance: (connection: Connection) => number,
  ): Connection | null {
    let best: Connection | null = null
    let least = Number.POSITIVE_INFINITY
    for (const connection of this.#connections) {
      if (connection.customer !== customer) continue
      const own = distance(connection)
      if (own > least) continue
      least = own
      best = connection
    }
    if (best !== null) this.remove(best)
    return best
  }

  /** Any connection, for the host's own questions; one that no customer could use goes first. */
  takeAny(): Connection | null {
    const best = this.#connections.findLast(each => each.customer === null)
    const taken = best ?? this.#connections.at(-1) ?? null
    if (taken !== null) this.remove(taken)
    return taken
  }

  /** The one given back longest ago. */
  get oldest(): Connection | null {
    return this.#connections[0] ?? null
  }

  /** Whose connection makes room for this customer: first nobody's, then the one that has gone unused longest. */
  toReplaceFor(customer: CustomerName | null): Connection | null {
    let found: Connection | null = null
    for (const connection of this.#connections) {
      if (connection.customer === customer) continue
      if (connection.customer === null) return connection
      if (found === null || connection.usedAt < found.usedAt) found = connection
    }
    return found
  }
}
