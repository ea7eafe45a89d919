/** Client of the platform's list of live and leaving hosts, which lags behind the actual state. */
import type { ResultAsync } from 'neverthrow'
import type { HostListParams, HostListResult } from '@nutmegcourse/protocol'
import { ReconnectingClient, type ServiceEndpoint, type Traffic } from './reconnectingClient.js'
import type { TransportError } from './transportError.js'

export class HostListClient {
  readonly #client: ReconnectingClient
  readonly #timeoutMilliseconds: number

  constructor(endpoint: ServiceEndpoint, timeoutMilliseconds: number) {
    this.#client = new ReconnectingClient(endpoint, timeoutMilliseconds)
    this.#timeoutMilliseconds = timeoutMilliseconds
  }

  get traffic(): Traffic {
    return this.#client.traffic
  }

  list(params: HostListParams): ResultAsync<HostListResult, TransportError> {
    return this.#client.request<HostListResult>('hosts.list', params, this.#timeoutMilliseconds)
  }

  close(): void {
    this.#client.close()
  }
}
