/**
 * This proxy's connections to one backend server.
 *
 * @internal
 */
import { addMilliseconds, jittered, milliseconds, type Milliseconds } from '@nutmegcourse/shared'
import type { RandomSource } from '@nutmegcourse/shared'
import type { ConnectionId } from './proxyMessages.js'
import type { ProxyRequest } from './proxyRequest.js'

export interface PooledConnection {
  readonly id: ConnectionId
  state: 'opening' | 'idle' | 'busy'
  /** The request that holds it, running or between two statements of a transaction. */
  holder: ProxyRequest | null
}

/** Pause after a failure to connect or a refusal for lack of connections; doubles each time. */
const FIRST_PAUSE_MILLISECONDS = 50
const LONGEST_PAUSE_MILLISECONDS = 1000

export class ConnectionPool {
  readonly #connections = new Map<ConnectionId, PooledConnection>()
  readonly #idle: PooledConnection[] = []
  readonly #random: RandomSource
  #share = 1
  #opening = 0
  #pause = FIRST_PAUSE_MILLISECONDS
  #mayOpenAt: Milliseconds = milliseconds(0)

  constructor(random: RandomSource) {
    this.#random = random
  }

  get size(): number {
    return this.#connections.size
  }

  get idleCount(): number {
    return this.#idle.length
  }

  get busyCount(): number {
    return this.#connections.size - this.#idle.length - this.#opening
  }

  get share(): number {
    return this.#share
  }

  set share(share: number) {
    this.#share = share
  }

  /** Earliest time for the next attempt to connect after a failure. */
  get mayOpenAt(): Milliseconds {
    return this.#mayOpenAt
  }

  get(id: ConnectionId): PooledConnection | undefined {
    return this.#connections.get(id)
  }

  hasRoom(now: Milliseconds): boolean {
    return this.#connections.size < this.#share && now >= this.#mayOpenAt
  }

  /** How many to open so that each of `waiting` requests gets one and at least `warm` exist. */
  missingCount(waiting: number, warm: number, now: Milliseconds): number {
    if (now < this.#mayOpenAt) return 0
    const ready = this.#idle.length + this.#opening
    const wanted = Math.max(waiting - ready, warm - this.#connections.size)
    return Math.max(0, Math.min(wanted, this.#share - this.#connections.size))
  }

  addOpening(id: ConnectionId): void {
    this.#connections.set(id, { id, state: 'opening', holder: null })
    this.#opening += 1
  }

  opened(id: ConnectionId): boolean {
    const connection = this.#connections.get(id)
    if (connection?.state !== 'opening') return false
    this.#opening -= 1
    this.#pause = FIRST_PAUSE_MILLISECONDS
    this.#toIdle(connection)
    return true
  }

  /** Delays further attempts by a jittered, doubling pause. */
  failed(id: ConnectionId, now: Milliseconds): void {
    this.remove(id)
    this.#mayOpenAt = addMilliseconds(now, jittered(this.#pause, this.#random))
    this.#pause = Math.min(this.#pause * 2, LONGEST_PAUSE_MILLISECONDS)
  }

  takeIdle(holder: ProxyRequest): PooledConnection | null {
    const connection = this.#idle.pop()
    if (connection === undefined) return null
    connection.state = 'busy'
    connection.holder = holder
    return connection
  }

  release(connection: PooledConnection): void {
    if (this.#connections.get(connection.id) !== connection) return
    if (connection.state === 'busy') this.#toIdle(connection)
  }

  remove(id: ConnectionId): PooledConnection | null {
    const connection = this.#connections.get(id)
    if (connection === undefined) return null
    this.#connections.delete(id)
    if (connection.state === 'opening') this.#opening -= 1
    if (connection.state === 'idle') this.#idle.splice(this.#idle.indexOf(connection), 1)
    return connection
  }

  /** An idle connection to close, because the pool exceeds its share or `keepNone` is set. */
  excessIdle(keepNone: boolean): PooledConnection | null {
    if (!keepNone && this.#connections.size <= this.#share) return null
    return this.#idle[0] ?? null
  }

  ids(): ConnectionId[] {
    return [...this.#connections.keys()]
  }

  /** The requests that hold connections. */
  holders(): ProxyRequest[] {
    const holders: ProxyRequest[] = []
    for (const { holder } of this.#connections.values()) if (holder !== null) holders.push(holder)
    return holders
  }

  #toIdle(connection: PooledConnection): void {
    connection.state = 'idle'
    connection.holder = null
    this.#idle.push(connection)
  }
}
