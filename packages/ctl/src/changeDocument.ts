/**
 * Changes one document in the store by compare-and-swap. After a lost answer the swap is sent again, and
 * its result shows whether the first one took effect. On a conflict the caller gets the current document.
 */
import { ResultAsync, err, ok, type Result } from 'neverthrow'
import type { StoredValue } from '@nutmegcourse/protocol'
import type { StorePort, StorePortError } from './storePort.js'

const MAX_ATTEMPTS = 5

export type ChangeError =
  | { readonly kind: 'conflict'; readonly current: StoredValue | null }
  | { readonly kind: 'unreachable'; readonly detail: string }
  | { readonly kind: 'outcomeUnknown'; readonly detail: string }

export interface Change {
  readonly key: string
  readonly expectedRevision: number
  readonly value: unknown
  /** Whether a stored value already contains this change, as the latest one or an earlier one. */
  readonly isContainedIn: (stored: unknown) => boolean
}

export function changeDocument(store: StorePort, change: Change): ResultAsync<void, ChangeError> {
  return new ResultAsync(attemptChange(store, change))
}

/**
 * Sending the same swap again is safe, as its expected revision lets it take effect at most once.
 * A conflict with a value that contains the change therefore means that an earlier attempt succeeded.
 */
async function attemptChange(store: StorePort, change: Change): Promise<Result<void, ChangeError>> {
  let mayHaveTakenEffect = false
  let lastDetail = ''
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const answer = await store.compareAndSwap(change.key, change.expectedRevision, change.value)
    if (answer.isErr()) {
      mayHaveTakenEffect ||= answer.error.kind === 'outcomeUnknown'
      lastDetail = answer.error.detail
      continue
    }
    if (answer.value.succeeded) return ok(undefined)
    const { current } = answer.value
    if (change.isContainedIn(current?.value)) return ok(undefined)
    return err({ kind: 'conflict', current })
  }
  return err({ kind: mayHaveTakenEffect ? 'outcomeUnknown' : 'unreachable', detail: lastDetail })
}

/** A read changes nothing, so each of its failures is reported as `unreachable`. */
export function readDocument(
  store: StorePort,
  key: string,
): ResultAsync<StoredValue | null, ChangeError> {
  return store
    .get(key)
    .mapErr((error: StorePortError): ChangeError => ({ kind: 'unreachable', detail: error.detail }))
}
