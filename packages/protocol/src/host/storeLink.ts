/** The platform's store as an entry host uses it: revisions, leases, conditional changes, a watch. */
import type { Result } from 'neverthrow'
import type { BackendServerId } from '@nutmegcourse/shared'
import type { RevisedChange } from './directory.js'

export type StoreFailure =
  /** The store did nothing: it is down, or rejects calls of this host. */
  | { readonly kind: 'unavailable'; readonly detail: string }
  /** No answer: the change may have been made, or may still be made. */
  | { readonly kind: 'noAnswer'; readonly detail: string }
  /** The history since the requested revision is no longer available; the caller has to list again. */
  | { readonly kind: 'historyGone' }
  | { readonly kind: 'unexpected'; readonly detail: string }

export interface StoredRecord {
  readonly key: string
  readonly value: string
  readonly revision: number
}

export interface DirectoryPage {
  readonly changes: readonly RevisedChange[]
  /** The store's revision at which the page was read. */
  readonly revision: number
  /** The key after which the next page begins; null on the last page. */
  readonly next: string | null
}

export interface DirectoryEvents {
  readonly changes: readonly RevisedChange[]
  readonly revision: number
}

export interface ConditionalChange {
  /** The change is made only if each key is at this revision; 0 means that it does not exist. */
  readonly expected: readonly { readonly key: string; readonly revision: number }[]
  readonly puts: readonly {
    readonly key: string
    readonly value: string
    readonly lease: number
  }[]
  readonly removes: readonly string[]
}

export type ChangeOutcome =
  | { readonly kind: 'made'; readonly revision: number }
  /** A condition does not hold; `records` are the expected ones that exist, as they are now. */
  | { readonly kind: 'conflict'; readonly records: readonly StoredRecord[] }
  | { readonly kind: 'leaseGone' }

/**
 * Time limits of a call whose answer may be long, in milliseconds. The whole answer has no limit: where
 * many hosts read over one link, no answer would be complete in time, and all hosts would retry
 * forever.
 */
export interface LongAnswerLimit {
  /** Until the answer begins. */
  readonly begin: number
  /** Between two parts of the answer. */
  readonly pause: number
  /** Called when the answer begins. */
  readonly onBegun?: () => void
  /** Gives the call up. */
  readonly signal?: AbortSignal
}

/** Every call has its own time limit in milliseconds, after which its connection is closed. */
export interface StoreLink {
  /**
   * Returns one page of all items, beginning after a key; with `recordPrefix` only of the fleet's own records whose keys
   * begin with it.
   */
  list(
    after: string | null,
    limit: LongAnswerLimit,
    recordPrefix?: string,
  ): Promise<Result<DirectoryPage, StoreFailure>>
  /** Waits for changes after a revision. */
  watch(
    revision: number,
    waitMilliseconds: number,
    limit: LongAnswerLimit,
  ): Promise<Result<DirectoryEvents, StoreFailure>>
  read(key: string, limit: number): Promise<Result<StoredRecord | null, StoreFailure>>
  change(change: ConditionalChange, limit: number): Promise<Result<ChangeOutcome, StoreFailure>>
  grantLease(lifetime: number, limit: number): Promise<Result<number, StoreFailure>>
  /** False when the lease has ended. */
  renewLease(lease: number, limit: number): Promise<Result<boolean, StoreFailure>>
  endLease(lease: number, limit: number): Promise<Result<void, StoreFailure>>
  /** Cancels every open call and closes the connections. */
  close(): void
}

export interface PromotionOrder {
  readonly service: string
  readonly server: BackendServerId
  readonly holder: string
  /** Grows with each holder; an order with a lower token than the newest seen is refused. */
  readonly fencingToken: number
}

export type PromotionOutcome =
  | { readonly kind: 'accepted' }
  /** A newer holder has issued an order, or the server is not running. */
  | { readonly kind: 'rejected' }
  /** Nothing was done. */
  | { readonly kind: 'unavailable'; readonly detail: string }
  /** The order may still be carried out, seconds later. */
  | { readonly kind: 'noAnswer'; readonly detail: string }

/** Promotion orders, which only one host at a time may issue. */
export interface PromotionPort {
  promote(order: PromotionOrder, limit: number): Promise<PromotionOutcome>
}
