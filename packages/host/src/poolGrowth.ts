/**
 * Opens and closes the connections of one pool: opens what its waiters need within the pool's limits, closes idle ones
 * to make room, and closes what exceeds the pool's share.
 *
 * @internal
 */
import {
  addMilliseconds,
  type Clock,
  type CustomerName,
  type Milliseconds,
} from '@nutmegcourse/shared'
import { connectionsToOpen, type PoolLimits } from '@nutmegcourse/state'
import type { ConnectionOpener } from './connectionOpener.js'
import type { ConnectionReplacement } from './connectionReplacement.js'
import type { LinkQueue } from './linkQueue.js'
import type { PoolConnections } from './poolConnections.js'
import { customerOf, type ConnectionUse, type LinkWaiter, type PooledLink } from './pooledLink.js'

/** A connection beyond this host's share is closed after being idle for this long. */
const SURPLUS_IDLE_MILLISECONDS = 250

/**
 * How long a waiter may be overtaken by others that can use the released connection of their customer. A few handshakes
 * long, so that connections are seldom replaced and no customer starves behind another.
 */
export const STARVATION_MILLISECONDS = 50

export interface PoolGrowthParts {
  readonly clock: Clock
  readonly connections: PoolConnections
  readonly queue: LinkQueue
  readonly opener: ConnectionOpener
  readonly replacement: ConnectionReplacement
  readonly limits: () => PoolLimits
}

/** A waiter for which no connection is being opened. */
interface UncoveredWaiter {
  readonly waiter: LinkWaiter
  /** Waiters of its customer before it that wait for one of the customer's connections in use. */
  readonly ahead: number
}

export class PoolGrowth {
  readonly #parts: PoolGrowthParts

  constructor(parts: PoolGrowthParts) {
    this.#parts = parts
  }

  /** Opens what the waiters need. `warm`: the number of connections to keep open without demand. */
  openMore(warm = 0): void {
    const { connections, opener } = this.#parts
    if (!opener.mayOpen) return
    const limits = opener.wasFull ? { share: 1, burst: connections.size + 1 } : this.#parts.limits()
    const uncovered = this.#waitersToOpenFor()
    const opening = opener.openingCount
    const size = connections.size + opening
    const state = { size, opening, idle: 0, waiting: opening + uncovered.length }
    const room = connectionsToOpen(state, limits, warm)
    for (const [index, each] of uncovered.entries()) {
      if (index < room || this.#makeRoom(each)) void opener.open(customerOf(each.waiter.use))
    }
    for (let index = uncovered.length; index < room; index += 1) void opener.open(null)
  }

  /** Whether a connection can be opened for a customer's request at once, without queueing. */
  opensAtOnce(use: ConnectionUse): boolean {
    const { connections, opener, replacement, limits } = this.#parts
    const customer = customerOf(use)
    if (customer === null || opener.wasFull) return false
    if (connections.size + opener.openingCount < limits().burst) return true
    return replacement.candidateFor(customer) !== null
  }

  /** Closes one connection that exceeds the pool's share. `keepWarm`: whether the share is kept. */
  closeSurplus(now: Milliseconds, keepWarm: boolean): void {
    const { connections, replacement, limits } = this.#parts
    const keep = keepWarm ? limits().share : 0
    if (connections.size <= keep) return
    const surplus = replacement.surplus(
      ({ idleSince }) => now >= addMilliseconds(idleSince, SURPLUS_IDLE_MILLISECONDS),
    )
    if (surplus === null) return
    this.#closeIdle(surplus)
    this.openMore()
  }

  /** Number of customers' waiters that get a connection only when a customer's connection in use is returned. */
  get stuckWaiters(): number {
    const { connections } = this.#parts
    if (connections.idle.size > 0) return 0
    const uncovered = this.#waitersToOpenFor()
    const ofCustomers = uncovered.filter(({ waiter }) => waiter.use.kind === 'customer')
    return Math.max(0, ofCustomers.length - connections.inUseByHost)
  }

  isStarved({ use, since }: LinkWaiter): boolean {
    const { clock, opener } = this.#parts
    if (opener.openingByCustomer.has(customerOf(use))) return false
    return clock.now() > addMilliseconds(since, STARVATION_MILLISECONDS)
  }

  /** The waiters without a connection for which one is worth opening. */
  #waitersToOpenFor(): UncoveredWaiter[] {
    const waitingForOwn = new Map<CustomerName | null, number>()
    const found: UncoveredWaiter[] = []
    for (const waiter of this.#waitersWithoutConnection()) {
      const customer = customerOf(waiter.use)
      const ahead = waitingForOwn.get(customer) ?? 0
      const isStarved = this.isStarved(waiter)
      const opens = this.#parts.replacement.opensFor({ customer, ahead, isStarved })
      if (waiter.use.kind === 'own' || opens) found.push({ waiter, ahead })
      else waitingForOwn.set(customer, ahead + 1)
    }
    return found
  }

  /** The waiters that exceed the number of connections being opened for their customer. */
  #waitersWithoutConnection(): LinkWaiter[] {
    const { opener, queue } = this.#parts
    const unassigned = new Map(opener.openingByCustomer)
    const uncovered: LinkWaiter[] = []
    for (const waiter of queue.waiting()) {
      const customer = customerOf(waiter.use)
      const left = unassigned.get(customer) ?? 0
      if (left === 0) uncovered.push(waiter)
      else unassigned.set(customer, left - 1)
    }
    return uncovered
  }

  /** Closes an idle connection of another customer to make room for the waiter's. */
  #makeRoom({ waiter, ahead }: UncoveredWaiter): boolean {
    const { connections, replacement } = this.#parts
    const { use } = waiter
    if (use.kind === 'own' || connections.idle.size === 0) return false
    const { customer } = use
    const isStarved = this.isStarved(waiter)
    if (!replacement.replacesFor({ customer, ahead, isStarved })) return false
    const replaced = replacement.candidateFor(customer)
    if (replaced === null) return false
    this.#closeIdle(replaced)
    return true
  }

  #closeIdle(pooled: PooledLink): void {
    this.#parts.connections.remove(pooled)
    pooled.link.close()
  }
}
