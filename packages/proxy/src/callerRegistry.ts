/** The connected callers of this proxy, by the keys that identify them in a CancelRequest. */
import { randomInt } from 'node:crypto'
import type { Socket } from 'node:net'
import { refusalResponse } from '@nutmegcourse/protocol'
import { CallerConnection, type CallerEvents, type CallerOptions } from './callerConnection.js'
import type { CancelKey } from './callerStartupResponse.js'
import { StatementCatalog } from './statementCatalog.js'

const KEY_LIMIT = 0x7fff_ffff
/** Time for a caller beyond the limit to read its refusal. */
const CLOSE_TIMEOUT_MILLISECONDS = 2000
const RETRY_AFTER_MILLISECONDS = 1000

export interface CallerRegistryOptions extends CallerOptions {
  readonly callerLimit: number
}

export class CallerRegistry {
  readonly #options: CallerRegistryOptions
  readonly #events: CallerEvents
  readonly #catalog = new StatementCatalog()
  readonly #callers = new Map<number, CallerConnection>()

  constructor(options: CallerRegistryOptions, events: CallerEvents) {
    this.#options = options
    this.#events = events
  }

  get size(): number {
    return this.#callers.size
  }

  /** Number of distinct statement texts that callers have prepared by name. */
  get preparedStatements(): number {
    return this.#catalog.size
  }

  /** Bytes written to callers that are not sent yet. */
  get unsentBytes(): number {
    let bytes = 0
    for (const caller of this.#callers.values()) bytes += caller.unsentBytes
    return bytes
  }

  /** Returns null and sends a refusal if the caller limit is reached. */
  add(socket: Socket): CallerConnection | null {
    if (this.#callers.size >= this.#options.callerLimit) {
      refuseConnection(socket)
      return null
    }
    const key = this.#newKey()
    const caller = new CallerConnection(socket, key, this.#catalog, this.#options, this.#events)
    this.#callers.set(key.processId, caller)
    return caller
  }

  remove(caller: CallerConnection): void {
    this.#callers.delete(caller.key.processId)
  }

  /** Null if the process id is unknown or the secret does not match. */
  find(key: CancelKey): CallerConnection | null {
    const caller = this.#callers.get(key.processId)
    return caller?.key.secret === key.secret ? caller : null
  }

  drain(): void {
    for (const caller of this.#callers.values()) caller.drain()
  }

  destroyAll(): void {
    for (const caller of this.#callers.values()) caller.destroy()
  }

  #newKey(): CancelKey {
    for (;;) {
      const processId = randomInt(1, KEY_LIMIT)
      if (!this.#callers.has(processId)) return { processId, secret: randomInt(KEY_LIMIT) }
    }
  }
}

function refuseConnection(socket: Socket): void {
  const retryAfterMilliseconds = RETRY_AFTER_MILLISECONDS
  socket.on('error', () => undefined)
  socket.end(refusalResponse({ reason: 'too_many_callers', retryAfterMilliseconds }, 'FATAL'))
  // Unread received bytes would make the kernel reset the connection before the error is delivered.
  socket.resume()
  socket.setTimeout(CLOSE_TIMEOUT_MILLISECONDS, () => socket.destroy())
}
