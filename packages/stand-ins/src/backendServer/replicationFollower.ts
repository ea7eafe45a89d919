/** The replica's side of replication: requests missing records from the primary of one term. */
import { connect, type Socket } from 'node:net'
import { serialize } from 'pg-protocol'
import split2 from 'split2'
import { assertNever, type Term } from '@nutmegcourse/shared'
import type { DatabaseInstance } from './databaseInstance.js'
import type { ReplicationMessage } from './replicationSource.js'

const RECONNECT_MILLISECONDS = 50

export interface ReplicationEndpoint {
  readonly address: string
  readonly port: number
}

/** Delay before a replica applies received records; changed at run time by control statements. */
export interface ReplicationLag {
  milliseconds: number
  paused: boolean
}

interface PendingMessage {
  readonly dueAt: number
  readonly message: ReplicationMessage
}

export class ReplicationFollower {
  readonly term: Term
  readonly endpoint: ReplicationEndpoint
  readonly #instance: DatabaseInstance
  readonly #lag: ReplicationLag
  readonly #pendingMessages: PendingMessage[] = []
  #socket: Socket | null = null
  #timer: NodeJS.Timeout | null = null
  #reconnectTimer: NodeJS.Timeout | null = null
  #closed = false

  constructor(
    instance: DatabaseInstance,
    primaryTerm: Term,
    endpoint: ReplicationEndpoint,
    lag: ReplicationLag,
  ) {
    this.#instance = instance
    this.term = primaryTerm
    this.endpoint = endpoint
    this.#lag = lag
    this.#connect()
  }

  close(): void {
    this.#closed = true
    this.#socket?.destroy()
    this.#discardPendingMessages()
    if (this.#reconnectTimer !== null) clearTimeout(this.#reconnectTimer)
  }

  /** Applies the messages that are due; also called when the lag changes. */
  applyDue(): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
    this.#timer = null
    if (this.#lag.paused) return
    for (
      let first = this.#pendingMessages[0];
      first !== undefined;
      first = this.#pendingMessages[0]
    ) {
      const wait = Math.min(first.dueAt - performance.now(), this.#lag.milliseconds)
      if (wait > 0) {
        this.#timer = setTimeout(() => {
          this.applyDue()
        }, wait)
        return
      }
      this.#pendingMessages.shift()
      if (!this.#apply(first.message)) this.#socket?.destroy()
    }
  }

  #connect(): void {
    const socket = connect({ host: this.endpoint.address, port: this.endpoint.port, noDelay: true })
    this.#socket = socket
    socket.on('error', () => undefined)
    socket.once('close', () => {
      this.#discardPendingMessages()
      if (this.#closed) return
      this.#reconnectTimer = setTimeout(() => {
        this.#connect()
      }, RECONNECT_MILLISECONDS)
    })
    socket.once('connect', () => {
      socket.write(
        serialize.startup({
          replication: 'nutmeg',
          term: String(this.term),
          log: JSON.stringify(this.#instance.termRuns()),
        }),
      )
    })
    const lines = socket.pipe(split2((line: string) => JSON.parse(line) as ReplicationMessage))
    lines.on('error', () => socket.destroy())
    lines.on('data', (message: ReplicationMessage) => {
      this.#pendingMessages.push({ dueAt: performance.now() + this.#lag.milliseconds, message })
      if (this.#timer === null) this.applyDue()
    })
  }

  #apply(message: ReplicationMessage): boolean {
    switch (message.kind) {
      case 'refused':
        return false
      case 'accepted':
        return this.#instance.truncateTo(this.term, message.offset)
      case 'records':
        return this.#instance.replicate(this.term, message.from, message.records)
      default:
        return assertNever(message)
    }
  }

  /** Messages that were received but not applied are requested again after a reconnect. */
  #discardPendingMessages(): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
    this.#timer = null
    this.#pendingMessages.length = 0
  }
}
