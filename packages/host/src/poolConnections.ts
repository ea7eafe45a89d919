/**
 * The open connections of one pool: which are idle, and which a customer has in use.
 *
 * @internal
 */
import type { CustomerName } from '@nutmegcourse/shared'
import { IdleConnections } from '@nutmegcourse/state'
import type { PooledLink } from './pooledLink.js'

export class PoolConnections {
  readonly idle = new IdleConnections<PooledLink>()
  readonly #all = new Set<PooledLink>()

  get size(): number {
    return this.#all.size
  }

  get busy(): number {
    return this.#all.size - this.idle.size
  }

  /** Number of connections that run the host's own commands. */
  get inUseByHost(): number {
    const taken = [...this.#all].filter(({ isTakenByHost }) => isTakenByHost)
    return taken.filter(pooled => !this.idle.includes(pooled)).length
  }

  /** When bytes were last received on any connection. */
  get lastHeardAt(): number {
    let last = Number.NEGATIVE_INFINITY
    for (const { link } of this.#all) last = Math.max(last, link.lastReceivedAt)
    return last
  }

  has(pooled: PooledLink): boolean {
    return this.#all.has(pooled)
  }

  add(pooled: PooledLink): void {
    this.#all.add(pooled)
  }

  /** Removes the connection; returns whether it was in use. */
  remove(pooled: PooledLink): boolean {
    const wasIdle = this.idle.remove(pooled)
    return this.#all.delete(pooled) && !wasIdle
  }

  /** The customer's connections, in use or idle. */
  heldBy(customer: CustomerName | null): PooledLink[] {
    return [...this.#all].filter(pooled => pooled.customer === customer)
  }

  /** The customer's connections that are in use. */
  inUseBy(customer: CustomerName | null): PooledLink[] {
    return this.heldBy(customer).filter(pooled => !this.idle.includes(pooled))
  }
}
