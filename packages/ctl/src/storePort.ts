/** The two calls of the store that commands use; tests implement them with a fake store. */
import type { ResultAsync } from 'neverthrow'
import type { StoreCompareAndSwapResult, StoredValue } from '@nutmegcourse/protocol'

/** `outcomeUnknown`: no answer arrived, but a change may have taken effect. */
export interface StorePortError {
  readonly kind: 'unreachable' | 'outcomeUnknown'
  readonly detail: string
}

export interface StorePort {
  get(key: string): ResultAsync<StoredValue | null, StorePortError>
  compareAndSwap(
    key: string,
    expectedRevision: number,
    value: unknown,
  ): ResultAsync<StoreCompareAndSwapResult, StorePortError>
}
