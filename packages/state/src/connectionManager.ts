/**
 * Opens and closes connections so that each pool matches its share, queue and server state.
 *
 * @internal
 */
import type { Milliseconds } from '@nutmegcourse/shared'
import type { BackendServer } from './backendServer.js'
import { connectionShare } from './connectionShare.js'
import type { CoreContext } from './coreContext.js'
import type { ConnectionId } from './proxyMessages.js'

/** Connections kept open to every usable server without traffic, so the first request finds one. */
const WARM_CONNECTIONS = 1

/** Maps a connection to the owner that handles the shell's messages about it. */
export type ConnectionOwners<Owner> = Map<ConnectionId, Owner>

export class ConnectionManager<Owner> {
  readonly #context: CoreContext
  readonly #owners: ConnectionOwners<Owner>
  readonly #ownerOf: (server: BackendServer) => Owner

  constructor(
    context: CoreContext,
    owners: ConnectionOwners<Owner>,
    ownerOf: (server: BackendServer) => Owner,
  ) {
    this.#context = context
    this.#owners = owners
    this.#ownerOf = ownerOf
  }

  updateShare(server: BackendServer, now: Milliseconds): void {
    const { options, entryHosts } = this.#context
    const reserved = options.controlConnectionsReserved
    server.pool.share = connectionShare(server.connectionLimit, reserved, entryHosts.divisor(now))
  }

  /**
   * Adjusts the size of the pool. `waiting` is the number of requests that could use a connection
   * now; when `mayServe` is false, all idle connections are closed.
   */
  maintain(server: BackendServer, waiting: number, mayServe: boolean, now: Milliseconds): void {
    this.#closeExcess(server, !mayServe)
    if (!mayServe || !server.breaker.isClosed) return
    const warm = this.#context.stopping ? 0 : WARM_CONNECTIONS
    for (let missing = server.pool.missingCount(waiting, warm, now); missing > 0; missing -= 1) {
      const id = this.#context.nextConnection()
      server.pool.addOpening(id)
      this.#owners.set(id, this.#ownerOf(server))
      this.#context.effects.push({ kind: 'open', server: server.id, connection: id })
    }
  }

  close(server: BackendServer, id: ConnectionId): void {
    if (server.pool.remove(id) === null) return
    this.#owners.delete(id)
    this.#context.effects.push({ kind: 'close', connection: id })
  }

  closeAll(server: BackendServer): void {
    for (const id of server.pool.ids()) this.close(server, id)
  }

  /** Closes idle connections past the share; busy ones are closed when they are released. */
  #closeExcess(server: BackendServer, keepNone: boolean): void {
    for (;;) {
      const excess = server.pool.excessIdle(keepNone)
      if (excess === null) return
      this.close(server, excess.id)
    }
  }
}
