/**
 * Assigns waiting requests to idle connections.
 *
 * @internal
 */
import type { Milliseconds } from '@nutmegcourse/shared'
import type { BackendServer } from './backendServer.js'
import type { ConnectionManager } from './connectionManager.js'
import type { CoreContext } from './coreContext.js'
import type { DatabaseGroup } from './databaseGroup.js'
import { isWrite, type ProxyRequest } from './proxyRequest.js'
import type { ReadPath } from './readPath.js'
import type { WritePath } from './writePath.js'

/**
 * Caps service-time samples at this multiple of the class's latency. A request that hung through a
 * network partition does not show how long others take; uncapped, one such sample would cause
 * later requests to be refused as predicted late.
 */
const LONGEST_SAMPLE_IN_LATENCIES = 2

export class Dispatcher<Owner> {
  readonly #group: DatabaseGroup
  readonly #reads: ReadPath
  readonly #writes: WritePath
  readonly #context: CoreContext
  readonly #connections: ConnectionManager<Owner>

  constructor(
    group: DatabaseGroup,
    reads: ReadPath,
    writes: WritePath,
    context: CoreContext,
    connections: ConnectionManager<Owner>,
  ) {
    this.#group = group
    this.#reads = reads
    this.#writes = writes
    this.#context = context
    this.#connections = connections
  }

  /** Runs a read on its chosen server, or queues it there when no connection is free. */
  submitRead(server: BackendServer, read: ProxyRequest, now: Milliseconds): void {
    if (this.#isFree(server)) {
      this.#run(read, server, now)
      return
    }
    read.phase = 'queued'
    server.reads.push(read)
    this.dispatch(server, now)
  }

  /** Runs a write on the leader, or queues it until a leader has a free connection. */
  submitWrite(write: ProxyRequest, now: Milliseconds): void {
    const { leader } = this.#group
    const isWritable = leader !== null && this.#group.isWritable(now)
    if (isWritable && this.#isFree(leader)) {
      this.#run(write, leader, now)
      return
    }
    write.phase = 'queued'
    this.#writes.queue.push(write)
    if (isWritable) this.dispatch(leader, now)
  }

  /** Starts waiting requests on the server's idle connections; opens connections for the rest. */
  dispatch(server: BackendServer, now: Milliseconds): void {
    while (server.pool.idleCount > 0) {
      const request = this.#next(server, now)
      if (request === null) break
      this.#run(request, server, now)
    }
    const waiting =
      server.reads.size + (this.#takesWrites(server, now) ? this.#writes.queue.size : 0)
    const mayServe = !server.isLeaving || this.#takesWrites(server, now)
    this.#connections.maintain(server, waiting, mayServe, now)
  }

  /** Dispatches on every server with queued requests. */
  dispatchQueued(now: Milliseconds): void {
    const { leader, servers } = this.#group
    for (const server of servers) {
      const hasWrites = server === leader && this.#writes.queue.size > 0
      if (hasWrites || server.reads.size > 0) this.dispatch(server, now)
    }
  }

  /** Returns the request's connection to its pool and records how long it was held. */
  release(request: ProxyRequest, now: Milliseconds): BackendServer | null {
    const { server, connection } = request
    request.connection = null
    if (server === null) return null
    const longest = request.classState.targets.latencyMilliseconds * LONGEST_SAMPLE_IN_LATENCIES
    server.serviceEstimate.record(Math.min(now - request.startedAt, longest), now)
    if (connection !== null) server.pool.release(connection)
    return server
  }

  /** Whether a request that has a connection, but was not sent yet, may still be sent on it. */
  mayStillRun(request: ProxyRequest, now: Milliseconds): boolean {
    const { server, connection, isContinued } = request
    if (server === null || connection === null) return false
    return isContinued || !isWrite(request) || this.#takesWrites(server, now)
  }

  /** Returns the connection of a request that was not sent on it. */
  takeBack(request: ProxyRequest): BackendServer | null {
    const { server, connection } = request
    request.server = null
    request.connection = null
    if (server !== null && connection !== null) server.pool.release(connection)
    return server
  }

  /** Closes the request's connection, so that a late answer can not reach another request. */
  drop(request: ProxyRequest): void {
    const { server, connection } = request
    request.connection = null
    if (server !== null && connection !== null) this.#connections.close(server, connection.id)
  }

  /** Places the reads queued at this server again, preferring other servers. */
  reroute(server: BackendServer, now: Milliseconds): void {
    for (const read of server.reads.drain()) {
      read.avoid = server
      this.#reads.place(read, now)
    }
  }

  /** Whether a new request may run now without overtaking queued ones. */
  #isFree(server: BackendServer): boolean {
    if (server.pool.idleCount === 0 || server.reads.size > 0) return false
    return server !== this.#group.leader || this.#writes.queue.size === 0
  }

  #takesWrites(server: BackendServer, now: Milliseconds): boolean {
    return server === this.#group.leader && this.#group.isWritable(now)
  }

  /** Takes the earliest deadline among this server's reads and, on the leader, the writes. */
  #next(server: BackendServer, now: Milliseconds): ProxyRequest | null {
    for (;;) {
      const read = server.reads.peek()
      const write = this.#takesWrites(server, now) ? this.#writes.queue.peek() : null
      if (write !== null && (read === null || write.deadline <= read.deadline)) {
        return this.#writes.queue.pop()
      }
      if (read === null) return null
      server.reads.pop()
      if (this.#reads.mayRun(read, server, now)) return read
      this.#reads.place(read, now)
    }
  }

  #run(request: ProxyRequest, server: BackendServer, now: Milliseconds): void {
    const connection = server.pool.takeIdle(request)
    if (connection === null) return
    const isWriteRequest = isWrite(request)
    request.phase = 'running'
    request.server = server
    request.connection = connection
    request.startedAt = now
    this.#context.effects.push({
      kind: 'run',
      request: request.id,
      server: server.id,
      connection: connection.id,
      readOnly: !isWriteRequest,
      holdAnswer: isWriteRequest,
    })
  }
}
