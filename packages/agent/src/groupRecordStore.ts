/** Reads and swaps group records in the platform's store for the failover state machine. */
import type { StoreOutcome } from '@nutmegcourse/coordination'
import {
  groupKey,
  readGroupRecord,
  type GroupRecord,
  type StoreCompareAndSwapResult,
  type StoredValue,
} from '@nutmegcourse/protocol'
import type { DatabaseId } from '@nutmegcourse/shared'
import type { StoreClient } from '@nutmegcourse/transport'

export class GroupRecordStore {
  readonly #store: StoreClient

  constructor(store: StoreClient) {
    this.#store = store
  }

  read(database: DatabaseId, timeoutMilliseconds: number): Promise<StoreOutcome> {
    return this.#store.get(groupKey(database), timeoutMilliseconds).match(
      stored => ({ kind: 'read', ...unpack(stored) }),
      () => ({ kind: 'failed' }),
    )
  }

  swap(
    record: GroupRecord,
    expectedRevision: number,
    timeoutMilliseconds: number,
  ): Promise<StoreOutcome> {
    const params = { key: groupKey(record.database), expectedRevision, value: record }
    return this.#store.compareAndSwap(params, timeoutMilliseconds).match(toOutcome, () => ({
      kind: 'failed',
    }))
  }
}

function toOutcome(result: StoreCompareAndSwapResult): StoreOutcome {
  if (result.succeeded) return { kind: 'swapped', revision: result.revision }
  return { kind: 'conflict', ...unpack(result.current) }
}

function unpack(stored: StoredValue | null): {
  readonly record: GroupRecord | null
  readonly revision: number
} {
  if (stored === null) return { record: null, revision: 0 }
  return { record: readGroupRecord(stored.value), revision: stored.revision }
}
