/** Serves this entry host's proxies: sends them routing snapshots and receives their reports. */
import type { Server } from 'node:net'
import type { HeldWrites, ProxyReport, RoutingSnapshot } from '@nutmegcourse/protocol'
import type { AttemptId, DatabaseId } from '@nutmegcourse/shared'
import { JsonRpcConnection, listen } from '@nutmegcourse/transport'
import { checkedHandler, type UnreadableListener } from './checkedParams.js'
import { heldWritesSchema, proxyReportSchema } from './messageSchemas.js'

/**
 * A proxy that does not read, because it is stalled or overloaded, is skipped while more than this is
 * unsent, so that this process does not buffer snapshots for it without bound. Once it reads again it
 * gets the newest snapshot only, as the ones between are obsolete.
 */
const UNSENT_LIMIT_BYTES = 1024 * 1024
const RETRY_MILLISECONDS = 200

/** The part of a proxy's answer that is forwarded. */
export interface ProxyExplanation {
  readonly lines: readonly string[]
}

export interface ProxyServerListener {
  reported(report: ProxyReport): void
  /** `holdsWrites` may have become true for the database, or for any if it is null. */
  heldWritesChanged(database: DatabaseId | null): void
  /** A proxy sent what cannot be read. */
  readonly unreadable: UnreadableListener
}

export class ProxyServer {
  readonly #listener: ProxyServerListener
  readonly #proxies = new Set<JsonRpcConnection>()
  /** By proxy and database: the last planned move for which the proxy holds its writes. */
  readonly #heldWrites = new WeakMap<JsonRpcConnection, Map<DatabaseId, AttemptId>>()
  /** Proxies to which the newest snapshot was not sent because too many bytes are still unsent. */
  readonly #lagging = new Set<JsonRpcConnection>()
  #snapshot: RoutingSnapshot | null = null
  #server: Server | null = null
  #retry: NodeJS.Timeout | undefined

  constructor(listener: ProxyServerListener) {
    this.#listener = listener
  }

  get subscribers(): number {
    return this.#proxies.size
  }

  async start(address: string, port: number): Promise<number> {
    const { unreadable } = this.#listener
    const listening = await listen(address, port, socket => {
      const connection: JsonRpcConnection = new JsonRpcConnection(socket, {
        'agent.subscribe': () => {
          this.#subscribe(connection)
          return null
        },
        ...checkedHandler('agent.report', proxyReportSchema, unreadable, report => {
          this.#listener.reported(report)
          return null
        }),
        ...checkedHandler('agent.writesHeld', heldWritesSchema, unreadable, held => {
          this.#receiveHeldWrites(connection, held)
          return null
        }),
      })
    })
    this.#server = listening.server
    return listening.port
  }

  /** Whether every proxy of this host holds its writes for the planned move. */
  holdsWrites({ database, attempt }: HeldWrites): boolean {
    return [...this.#proxies].every(proxy => this.#heldWrites.get(proxy)?.get(database) === attempt)
  }

  publish(snapshot: RoutingSnapshot): void {
    this.#snapshot = snapshot
    for (const proxy of this.#proxies) this.#send(proxy)
  }

  /** Sends a query to every proxy of this host; returns the answers and how many proxies sent none. */
  async explain(
    query: unknown,
    timeoutMilliseconds: number,
  ): Promise<{ readonly answers: readonly ProxyExplanation[]; readonly silent: number }> {
    const requests = [...this.#proxies].map(proxy =>
      proxy.request<ProxyExplanation>('proxy.explain', query, timeoutMilliseconds),
    )
    const results = await Promise.all(requests)
    const answers = results.flatMap(result => (result.isOk() ? [result.value] : []))
    return { answers, silent: results.length - answers.length }
  }

  close(): void {
    clearTimeout(this.#retry)
    this.#server?.close()
    for (const proxy of this.#proxies) proxy.close()
  }

  #subscribe(connection: JsonRpcConnection): void {
    this.#proxies.add(connection)
    connection.onClose(() => {
      this.#proxies.delete(connection)
      this.#lagging.delete(connection)
      this.#listener.heldWritesChanged(null)
    })
    this.#send(connection)
  }

  #receiveHeldWrites(connection: JsonRpcConnection, { database, attempt }: HeldWrites): void {
    const held = this.#heldWrites.get(connection) ?? new Map<DatabaseId, AttemptId>()
    held.set(database, attempt)
    this.#heldWrites.set(connection, held)
    this.#listener.heldWritesChanged(database)
  }

  #send(proxy: JsonRpcConnection): void {
    if (this.#snapshot === null) return
    if (proxy.unsentBytes <= UNSENT_LIMIT_BYTES) {
      this.#lagging.delete(proxy)
      proxy.notify('proxy.snapshot', this.#snapshot)
      return
    }
    this.#lagging.add(proxy)
    this.#retry ??= setTimeout(() => {
      this.#retry = undefined
      for (const lagging of [...this.#lagging]) this.#send(lagging)
    }, RETRY_MILLISECONDS)
  }
}
