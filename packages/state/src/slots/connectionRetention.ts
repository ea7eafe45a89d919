/**
 * Learns how often each customer asks for a connection to a backend server and how many it uses at once, and tells
 * which idle connection costs least to close. A connection serves one customer, and opening one occupies a slot of the
 * server for as long as a short statement.
 */
import type { CustomerName, Milliseconds } from '@nutmegcourse/shared'

/** The weight of a request halves in each such period. */
const HALF_LIFE_MILLISECONDS = 10_000
const MEAN_LIFE_MILLISECONDS = HALF_LIFE_MILLISECONDS / Math.LN2

/** A customer that has not asked for this long is forgotten; its requests then weigh next to nothing. */
const FORGOTTEN_AFTER_MILLISECONDS = 12 * HALF_LIFE_MILLISECONDS

/** Beyond this number, the customer that has not asked for longest is forgotten. */
const MAXIMUM_CUSTOMERS = 10_000

/** Assumed before the first connection was opened, so that rates still order the costs. */
const LEAST_OPENING_MILLISECONDS = 1

export interface RetainedConnection {
  /** Null for a connection that is assigned to no customer. */
  readonly customer: CustomerName | null
  /** When a customer's work last used it. */
  readonly usedAt: Milliseconds
}

/** A customer's recent share of slot time relative to the share that its weight gives it; above 1 it is over it. */
export type RelativeShare = (customer: CustomerName) => number

/** The situation in which a connection is closed. */
export interface ClosingTerms {
  readonly now: Milliseconds
  /** How long opening a connection takes. */
  readonly openingMilliseconds: number
  /** How many connections the customer has, in use or idle. */
  readonly held: (customer: CustomerName) => number
  /** The customer that needs the place; null if there is none. */
  readonly requester: CustomerName | null
  /** Null if shares are not known: then only costs decide. */
  readonly relativeShare: RelativeShare | null
}

/** Decaying sums over a customer's requests. */
interface Demand {
  requests: number
  /** Of the numbers of connections that were in use when the requests arrived. */
  inUse: number
  measuredAt: Milliseconds
}

export class ConnectionRetention {
  /** The customer that has not asked for longest comes first. */
  readonly #demands = new Map<CustomerName, Demand>()

  /** Number of customers that are known. */
  get size(): number {
    return this.#demands.size
  }

  /** Records that the customer asks for a connection while `inUse` others of its are in use. */
  recordRequest(customer: CustomerName, inUse: number, now: Milliseconds): void {
    const known = this.#demands.get(customer)
    const weight = known === undefined ? 0 : remainingWeight(known, now)
    const demand = {
      requests: (known?.requests ?? 0) * weight + 1,
      inUse: (known?.inUse ?? 0) * weight + inUse,
      measuredAt: now,
    }
    this.#demands.delete(customer)
    this.#demands.set(customer, demand)
    this.#forget(now)
  }

  /**
   * Expected cost of closing one of the customer's `held` connections, as the fraction of time spent on opening it
   * again: the rate of requests that find all others in use, times the time that opening takes.
   */
  closingCost(
    customer: CustomerName,
    held: number,
    openingMilliseconds: number,
    now: Milliseconds,
  ): number {
    const demand = this.#demands.get(customer)
    if (demand === undefined) return 0
    const rate = (demand.requests * remainingWeight(demand, now)) / MEAN_LIFE_MILLISECONDS
    const usuallyInUse = demand.inUse / demand.requests
    const needed = rate * probabilityOfAtLeast(held - 1, usuallyInUse)
    return needed * Math.max(LEAST_OPENING_MILLISECONDS, openingMilliseconds)
  }

  /**
   * The idle connection that costs least to close: first one assigned to no customer; among equal ones the least
   * recently used. Null if none may be closed for the requester.
   */
  cheapest<Connection extends RetainedConnection>(
    idle: Iterable<Connection>,
    terms: ClosingTerms,
  ): Connection | null {
    const costs = new Map<CustomerName, number>()
    let best: Connection | null = null
    let lowest = Number.POSITIVE_INFINITY
    for (const connection of idle) {
      const { customer } = connection
      if (customer === null) return connection
      if (!this.mayClose(customer, terms)) continue
      const cost = costs.get(customer) ?? this.#costOf(customer, terms)
      costs.set(customer, cost)
      if (cost > lowest) continue
      if (cost === lowest && best !== null && best.usedAt <= connection.usedAt) continue
      lowest = cost
      best = connection
    }
    return best
  }

  /**
   * Whether a connection of the customer may be closed for the requester: not if the requester is over its share and
   * the customer under its own. A customer that no longer asks has no share to defend.
   */
  mayClose(
    customer: CustomerName,
    { requester, relativeShare, now }: Pick<ClosingTerms, 'requester' | 'relativeShare' | 'now'>,
  ): boolean {
    if (relativeShare === null || requester === null) return true
    const demand = this.#demands.get(customer)
    if (demand === undefined || isForgotten(demand, now)) return true
    return relativeShare(requester) <= 1 || relativeShare(customer) >= 1
  }

  #costOf(customer: CustomerName, { held, openingMilliseconds, now }: ClosingTerms): number {
    return this.closingCost(customer, held(customer), openingMilliseconds, now)
  }

  #forget(now: Milliseconds): void {
    for (const [customer, demand] of this.#demands) {
      if (this.#demands.size <= MAXIMUM_CUSTOMERS && !isForgotten(demand, now)) return
      this.#demands.delete(customer)
    }
  }
}

const remainingWeight = ({ measuredAt }: Demand, now: Milliseconds): number =>
  0.5 ** ((now - measuredAt) / HALF_LIFE_MILLISECONDS)

const isForgotten = ({ measuredAt }: Demand, now: Milliseconds): boolean =>
  now - measuredAt > FORGOTTEN_AFTER_MILLISECONDS

/** Probability that a Poisson-distributed number of connections in use is at least `count`. */
function probabilityOfAtLeast(count: number, mean: number): number {
  let term = Math.exp(-mean)
  let below = 0
  for (let number = 0; number < count; number += 1) {
    below += term
    term *= mean / (number + 1)
  }
  return Math.max(0, 1 - below)
}
