/**
 * A simple decision core: first come, first served over a fixed number of connections to one backend
 * server. Writes are acknowledged immediately or by the test.
 */
import type { BackendServerId, ClassName, RequestId } from '@nutmegcourse/shared'
import { connectionId, type ProxyEffect, type ProxyMessage } from '@nutmegcourse/state'
import type { ConnectionId } from '@nutmegcourse/state'
import type { DecisionCore } from '../../src/index.js'

export interface SimpleCoreOptions {
  readonly server: BackendServerId
  readonly connections: number
  readonly isWrite: (name: ClassName) => boolean
  /** Whether a held answer is acknowledged as soon as it is complete. */
  acknowledgesImmediately: boolean
}

export class SimpleCore implements DecisionCore {
  readonly messages: ProxyMessage[] = []
  readonly #options: SimpleCoreOptions
  readonly #idle: ConnectionId[] = []
  readonly #waiting: { readonly request: RequestId; readonly write: boolean }[] = []
  readonly #running = new Map<RequestId, ConnectionId>()
  readonly #writes = new Set<RequestId>()
  /** Connections with an open transaction of a writing class. */
  readonly #writing = new Set<ConnectionId>()
  readonly #injected: ProxyEffect[] = []
  #opened = 0
  #lastConnection = 0
  #stopping = false

  constructor(options: SimpleCoreOptions) {
    this.#options = options
  }

  mayStillRun(): boolean {
    return true
  }

  nextWake(): null {
    return null
  }

  /** Adds effects to those that the next message produces. */
  inject(effects: readonly ProxyEffect[]): void {
    this.#injected.push(...effects)
  }

  handle(message: ProxyMessage): readonly ProxyEffect[] {
    this.messages.push(message)
    const effects = this.#injected.splice(0)
    this.#apply(message, effects)
    this.#schedule(effects)
    if (this.#stopping && this.#running.size === 0 && this.#waiting.length === 0) {
      this.#stopping = false
      effects.push({ kind: 'stopped' })
    }
    return effects
  }

  #apply(message: ProxyMessage, effects: ProxyEffect[]): void {
    switch (message.kind) {
      case 'requestArrived': {
        const write = this.#options.isWrite(message.class)
        this.#waiting.push({ request: message.request, write })
        return
      }
      case 'connectionOpened':
        this.#idle.push(message.connection)
        return
      case 'connectionFailed':
        this.#opened -= 1
        return
      case 'connectionClosed':
        this.#opened -= 1
        this.#dropIdle(message.connection)
        return
      case 'transactionContinued':
        this.#running.set(message.request, message.connection)
        if (this.#writing.has(message.connection)) this.#writes.add(message.request)
        return
      case 'requestRan':
        this.#finish(message, effects)
        return
      case 'requestBroken':
        this.#running.delete(message.request)
        effects.push({
          kind: 'refuse',
          request: message.request,
          refusal: { reason: 'connection_lost', detail: 'test' },
        })
        return
      case 'requestNotSent':
        this.#placeAgain(message.request, effects)
        return
      case 'requestAbandoned':
        this.#cancel(message.request, effects)
        return
      case 'stop':
        this.#stopping = true
        return
      case 'snapshot':
      case 'positionAnswered':
      case 'positionFailed':
      case 'sessionEnded':
      case 'tick':
    }
  }

  #finish(message: Extract<ProxyMessage, { kind: 'requestRan' }>, effects: ProxyEffect[]): void {
    const connection = this.#running.get(message.request)
    this.#running.delete(message.request)
    if (connection === undefined) return
    if (!message.transactionOpen) this.#idle.push(connection)
    this.#writing.delete(connection)
    if (message.transactionOpen && this.#writes.has(message.request)) this.#writing.add(connection)
    const held = this.#writes.delete(message.request)
    if (held && this.#options.acknowledgesImmediately) {
      effects.push({ kind: 'acknowledge', request: message.request })
    }
  }

  /** Only a transaction of a writing class is known here; its statement is refused. */
  #placeAgain(request: RequestId, effects: ProxyEffect[]): void {
    const connection = this.#running.get(request)
    if (connection === undefined) return
    this.#running.delete(request)
    const write = this.#writes.delete(request)
    if (this.#writing.delete(connection)) {
      effects.push({ kind: 'refuse', request, refusal: { reason: 'transaction_lost' } })
    } else this.#waiting.push({ request, write })
  }

  #cancel(request: RequestId, effects: ProxyEffect[]): void {
    const waiting = this.#waiting.findIndex(entry => entry.request === request)
    if (waiting >= 0) this.#waiting.splice(waiting, 1)
    const connection = this.#running.get(request)
    this.#running.delete(request)
    if (connection === undefined) return
    this.#opened -= 1
    effects.push({ kind: 'close', connection })
  }

  #dropIdle(connection: ConnectionId): void {
    const index = this.#idle.indexOf(connection)
    if (index >= 0) this.#idle.splice(index, 1)
  }

  #schedule(effects: ProxyEffect[]): void {
    const { server, connections } = this.#options
    while (this.#waiting.length > 0) {
      const connection = this.#idle.shift()
      if (connection === undefined) break
      const next = this.#waiting.shift()
      if (next === undefined) break
      this.#running.set(next.request, connection)
      if (next.write) this.#writes.add(next.request)
      effects.push({
        kind: 'run',
        request: next.request,
        server,
        connection,
        readOnly: !next.write,
        holdAnswer: next.write,
      })
    }
    while (this.#waiting.length > 0 && this.#opened < connections) {
      this.#opened += 1
      this.#lastConnection += 1
      effects.push({ kind: 'open', server, connection: connectionId(this.#lastConnection) })
    }
  }
}
