/** Client of the platform's key-value service for agents and nutmegcoursectl. */
import type { ResultAsync } from 'neverthrow'
import type {
  StoreCompareAndSwapParams,
  StoreCompareAndSwapResult,
  StoreGetResult,
  StoreListResult,
  StoreWatchParams,
  StoreWatchResult,
} from '@nutmegcourse/protocol'
import { ReconnectingClient, type ServiceEndpoint, type Traffic } from './reconnectingClient.js'
import type { TransportError } from './transportError.js'

/** Called with the outcome of each call, so that calls can be counted against the service's rate limits. */
export type StoreCallListener = (method: string, outcome: 'answered' | 'failed') => void

export class StoreClient {
  readonly #calls: ReconnectingClient
  /** Long-polling watches use a separate connection, so that a time-out of a call does not close it. */
  readonly #watches: ReconnectingClient
  readonly #timeoutMilliseconds: number
  readonly #onCall: StoreCallListener

  constructor(
    endpoint: ServiceEndpoint,
    timeoutMilliseconds: number,
    onCall: StoreCallListener = () => undefined,
  ) {
    this.#calls = new ReconnectingClient(endpoint, timeoutMilliseconds)
    this.#watches = new ReconnectingClient(endpoint, timeoutMilliseconds)
    this.#timeoutMilliseconds = timeoutMilliseconds
    this.#onCall = onCall
  }

  get traffic(): Traffic {
    const calls = this.#calls.traffic
    const watches = this.#watches.traffic
    return { sent: calls.sent + watches.sent, received: calls.received + watches.received }
  }

  get(
    key: string,
    timeoutMilliseconds = this.#timeoutMilliseconds,
  ): ResultAsync<StoreGetResult, TransportError> {
    return this.#count(
      'get',
      this.#calls.request<StoreGetResult>('store.get', { key }, timeoutMilliseconds),
    )
  }

  list(prefix: string): ResultAsync<StoreListResult, TransportError> {
    const answer = this.#calls.request<StoreListResult>(
      'store.list',
      { prefix },
      this.#timeoutMilliseconds,
    )
    return this.#count('list', answer)
  }

  /** After a failure the swap may have taken effect: read the key back and look for this attempt's value. */
  compareAndSwap(
    params: StoreCompareAndSwapParams,
    timeoutMilliseconds = this.#timeoutMilliseconds,
  ): ResultAsync<StoreCompareAndSwapResult, TransportError> {
    const answer = this.#calls.request<StoreCompareAndSwapResult>(
      'store.compareAndSwap',
      params,
      timeoutMilliseconds,
    )
    return this.#count('compareAndSwap', answer)
  }

  /** Returns at the first change, or without changes after `params.waitMilliseconds`. */
  watch(params: StoreWatchParams): ResultAsync<StoreWatchResult, TransportError> {
    const answerTimeoutMilliseconds = params.waitMilliseconds + this.#timeoutMilliseconds
    return this.#count(
      'watch',
      this.#watches.request<StoreWatchResult>('store.watch', params, answerTimeoutMilliseconds),
    )
  }

  close(): void {
    this.#calls.close()
    this.#watches.close()
  }

  #count<Answer>(
    method: string,
    answer: ResultAsync<Answer, TransportError>,
  ): ResultAsync<Answer, TransportError> {
    return answer
      .map(value => {
        this.#onCall(method, 'answered')
        return value
      })
      .mapErr(error => {
        this.#onCall(method, 'failed')
        return error
      })
  }
}
