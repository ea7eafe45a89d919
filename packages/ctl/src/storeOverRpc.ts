/** Implements the store port over JSON-RPC; separates calls that did not run from those that may have. */
import type { TransportError } from '@nutmegcourse/transport'
import type { StoreCompareAndSwapResult, StoredValue } from '@nutmegcourse/protocol'
import type { ResultAsync } from 'neverthrow'
import { callOnce, type RpcEndpoint } from './callOnce.js'
import type { StorePort, StorePortError } from './storePort.js'

export class StoreOverRpc implements StorePort {
  readonly #endpoint: RpcEndpoint
  readonly #timeoutMilliseconds: number

  constructor(endpoint: RpcEndpoint, timeoutMilliseconds: number) {
    this.#endpoint = endpoint
    this.#timeoutMilliseconds = timeoutMilliseconds
  }

  get(key: string): ResultAsync<StoredValue | null, StorePortError> {
    return this.#call('store.get', { key })
  }

  compareAndSwap(
    key: string,
    expectedRevision: number,
    value: unknown,
  ): ResultAsync<StoreCompareAndSwapResult, StorePortError> {
    return this.#call('store.compareAndSwap', { key, expectedRevision, value })
  }

  #call<Answer>(method: string, params: unknown): ResultAsync<Answer, StorePortError> {
    return callOnce<Answer>(this.#endpoint, method, params, this.#timeoutMilliseconds).mapErr(
      describeError,
    )
  }
}

function describeError(error: TransportError): StorePortError {
  switch (error.kind) {
    case 'connectRefused':
    case 'connectTimeout':
    case 'tooLong':
    case 'remote':
      return { kind: 'unreachable', detail: error.detail }
    case 'connectionLost':
    case 'answerTimeout':
      return { kind: 'outcomeUnknown', detail: error.detail }
  }
}
