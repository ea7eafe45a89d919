/**
 * The proxy's connection to the agent of its entry host: receives snapshots, sends health reports and
 * answers operators' queries. Reconnects indefinitely; meanwhile the last snapshot stays in use.
 */
import type { HeldWrites, ProxyReport, RoutingSnapshot } from '@nutmegcourse/protocol'
import type { BackendServerId, DatabaseId, RandomSource } from '@nutmegcourse/shared'
import { openJsonRpc, type JsonRpcConnection, type RpcHandlers } from '@nutmegcourse/transport'
import type { ResultAsync } from 'neverthrow'
import { Backoff } from './backoff.js'
import { toLinkError, type LinkError } from './linkError.js'

export interface AgentEndpoint {
  readonly address: string
  readonly port: number
}

export interface AgentLinkEvents {
  /** `isFirst`: first of a new connection; a restarted agent numbers its snapshots from the start again. */
  snapshot(snapshot: RoutingSnapshot, isFirst: boolean): void
  connected(): void
  disconnected(error: LinkError): void
}

const RECONNECT_BACKOFF = { firstMilliseconds: 50, longestMilliseconds: 1000 }
const CONNECT_TIMEOUT_MILLISECONDS = 1000
const SUBSCRIBE_TIMEOUT_MILLISECONDS = 2000
const CLOSED_BY_AGENT: LinkError = {
  kind: 'notConnected',
  detail: 'the agent closed the connection',
}

export class AgentLink {
  readonly #endpoint: AgentEndpoint
  readonly #handlers: RpcHandlers
  readonly #events: AgentLinkEvents
  readonly #backoff: Backoff
  /** The last report about each backend server, sent again after a reconnect. */
  readonly #reports = new Map<BackendServerId, ProxyReport>()
  /** The last planned move of each database for which this proxy held its writes; sent again too. */
  readonly #heldWrites = new Map<DatabaseId, HeldWrites>()
  #connection: JsonRpcConnection | null = null
  #timer: NodeJS.Timeout | null = null
  #awaitsFirstSnapshot = true
  #closed = false

  constructor(
    endpoint: AgentEndpoint,
    handlers: RpcHandlers,
    events: AgentLinkEvents,
    random: RandomSource,
  ) {
    this.#endpoint = endpoint
    this.#events = events
    this.#backoff = new Backoff(RECONNECT_BACKOFF, random)
    this.#handlers = {
      ...handlers,
      'proxy.snapshot': params => {
        const isFirst = this.#awaitsFirstSnapshot
        this.#awaitsFirstSnapshot = false
        events.snapshot(params as RoutingSnapshot, isFirst)
      },
    }
    this.#open()
  }

  get connected(): boolean {
    return this.#connection !== null
  }

  report(report: ProxyReport): void {
    this.#reports.set(report.backendServer, report)
    this.#connection?.notify('agent.report', report)
  }

  reportHeldWrites(held: HeldWrites): void {
    this.#heldWrites.set(held.database, held)
    this.#connection?.notify('agent.writesHeld', held)
  }

  close(): void {
    this.#closed = true
    if (this.#timer !== null) clearTimeout(this.#timer)
    this.#connection?.close()
  }

  #open(): void {
    void this.#subscribe().match(
      connection => {
        this.#handleOpened(connection)
      },
      error => {
        this.#scheduleReconnect(error)
      },
    )
  }

  #subscribe(): ResultAsync<JsonRpcConnection, LinkError> {
    const { address, port } = this.#endpoint
    this.#awaitsFirstSnapshot = true
    return openJsonRpc(address, port, this.#handlers, CONNECT_TIMEOUT_MILLISECONDS)
      .andThen(connection =>
        connection
          .request('agent.subscribe', {}, SUBSCRIBE_TIMEOUT_MILLISECONDS)
          .map(() => connection)
          .mapErr(error => {
            connection.close()
            return error
          }),
      )
      .mapErr(toLinkError)
  }

  #handleOpened(connection: JsonRpcConnection): void {
    if (this.#closed) {
      connection.close()
      return
    }
    this.#connection = connection
    this.#backoff.reset()
    for (const report of this.#reports.values()) connection.notify('agent.report', report)
    for (const held of this.#heldWrites.values()) connection.notify('agent.writesHeld', held)
    this.#events.connected()
    connection.onClose(() => {
      this.#connection = null
      this.#scheduleReconnect(CLOSED_BY_AGENT)
    })
  }

  #scheduleReconnect(error: LinkError): void {
    if (this.#closed) return
    this.#events.disconnected(error)
    this.#timer = setTimeout(() => {
      this.#timer = null
      this.#open()
    }, this.#backoff.nextDelayMilliseconds())
  }
}
