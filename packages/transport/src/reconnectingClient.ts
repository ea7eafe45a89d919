/** JSON-RPC client of one endpoint that opens its connection on demand and reopens it after a loss. */
import { errAsync, type ResultAsync } from 'neverthrow'
import { openJsonRpc, type JsonRpcConnection, type RpcHandlers } from './jsonRpcConnection.js'
import type { TransportError } from './transportError.js'

export interface ServiceEndpoint {
  readonly address: string
  readonly port: number
}

export interface Traffic {
  /** Bytes. */
  readonly sent: number
  /** Bytes. */
  readonly received: number
}

export class ReconnectingClient {
  readonly #endpoint: ServiceEndpoint
  readonly #connectTimeoutMilliseconds: number
  readonly #handlers: RpcHandlers
  #connection: JsonRpcConnection | null = null
  #opening: ResultAsync<JsonRpcConnection, TransportError> | null = null
  #closedTraffic: Traffic = { sent: 0, received: 0 }
  #closed = false

  constructor(
    endpoint: ServiceEndpoint,
    connectTimeoutMilliseconds: number,
    handlers: RpcHandlers = {},
  ) {
    this.#endpoint = endpoint
    this.#connectTimeoutMilliseconds = connectTimeoutMilliseconds
    this.#handlers = handlers
  }

  /** Bytes over all connections since the client was created. */
  get traffic(): Traffic {
    const open = this.#connection?.traffic ?? { sent: 0, received: 0 }
    return {
      sent: this.#closedTraffic.sent + open.sent,
      received: this.#closedTraffic.received + open.received,
    }
  }

  request<Answer>(
    method: string,
    params: unknown,
    timeoutMilliseconds: number,
  ): ResultAsync<Answer, TransportError> {
    return this.#usableConnection().andThen(connection =>
      connection.request<Answer>(method, params, timeoutMilliseconds).mapErr(error => {
        // A network partition drops packets without closing the connection, which may then stay
        // unresponsive even after the partition has healed. A new connection works again.
        if (error.kind === 'answerTimeout') connection.close()
        return error
      }),
    )
  }

  close(): void {
    this.#closed = true
    this.#connection?.close()
  }

  #usableConnection(): ResultAsync<JsonRpcConnection, TransportError> {
    if (this.#closed) return errAsync({ kind: 'connectionLost', detail: 'client closed' })
    if (this.#opening !== null) return this.#opening
    const opening = openJsonRpc(
      this.#endpoint.address,
      this.#endpoint.port,
      this.#handlers,
      this.#connectTimeoutMilliseconds,
    )
      .map(connection => this.#handleOpened(connection))
      .mapErr(error => {
        this.#opening = null
        return error
      })
    this.#opening = opening
    return opening
  }

  #handleOpened(connection: JsonRpcConnection): JsonRpcConnection {
    this.#connection = connection
    connection.onClose(() => {
      this.#handleClosed(connection)
    })
    if (this.#closed) connection.close()
    return connection
  }

  #handleClosed(connection: JsonRpcConnection): void {
    const { sent, received } = connection.traffic
    this.#closedTraffic = {
      sent: this.#closedTraffic.sent + sent,
      received: this.#closedTraffic.received + received,
    }
    this.#connection = null
    this.#opening = null
  }
}
