/**
 * Writes this watcher's newest record to the store and reads the stored record.
 *
 * The store keeps the record; it does not decide a change. One compare-and-swap is in flight at a
 * time. A newer record waits for it and replaces records that are still waiting.
 */
import { addMilliseconds, type Milliseconds } from '@nutmegcourse/shared'
import type { GroupRecord } from '@nutmegcourse/protocol'

import type { CallId, StoreOutcome } from './failoverMessages.js'
import { backOffMilliseconds, type FailoverOptions } from './failoverOptions.js'
import type { FailoverEffectQueue } from './failoverEffectQueue.js'
import { isNewerRecord, isOtherMove, isSameStep, type KnownRecord } from './failoverRecord.js'

interface StoreCall {
  readonly call: CallId
  /** The record being written; null for a read. */
  readonly written: GroupRecord | null
  readonly expiresAt: Milliseconds
}

/** The result of an answer of the store. */
export type StoreResult =
  | { readonly kind: 'none' }
  /** The store holds this record. */
  | { readonly kind: 'stored'; readonly known: KnownRecord }
  /** The store holds a newer record than the pending one, which is discarded. */
  | { readonly kind: 'overtaken'; readonly known: KnownRecord }
  /** The store holds no record. */
  | { readonly kind: 'empty' }

const MAX_RETRY_FACTOR = 8
/** Added to a call's own timeout, so that the agent's report of the failure normally arrives first. */
const CALL_TIMEOUT_MARGIN_MILLISECONDS = 200

export class FailoverRecordStoreClient {
  readonly #options: FailoverOptions
  readonly #effects: FailoverEffectQueue
  #revision = 0
  #pendingRecord: GroupRecord | null = null
  #isReadPending = false
  #callInFlight: StoreCall | null = null
  #failures = 0
  #retryAt: Milliseconds | null = null

  constructor(options: FailoverOptions, effects: FailoverEffectQueue) {
    this.#options = options
    this.#effects = effects
  }

  /** The newest revision of the record in the store that is known to this watcher. */
  get revision(): number {
    return this.#revision
  }

  /** Whether the store answered the last call. */
  get isStoreResponding(): boolean {
    return this.#failures === 0
  }

  /** The record that the store is not yet known to hold. */
  get pendingRecord(): GroupRecord | null {
    return this.#pendingRecord
  }

  observeRevision(revision: number): void {
    this.#revision = Math.max(this.#revision, revision)
  }

  write(record: GroupRecord, now: Milliseconds): void {
    this.#pendingRecord = record
    this.advance(now)
  }

  read(now: Milliseconds): void {
    this.#isReadPending = true
    this.advance(now)
  }

  /** Discards the pending record; called when a newer term or another planned move is known. */
  cancelWrite(): void {
    this.#pendingRecord = null
  }

  advance(now: Milliseconds): void {
    if (this.#callInFlight !== null && now >= this.#callInFlight.expiresAt) this.#noteFailure(now)
    if (this.#callInFlight !== null) return
    if (this.#retryAt !== null && now < this.#retryAt) return
    if (this.#pendingRecord !== null) this.#swap(this.#pendingRecord, now)
    else if (this.#isReadPending) this.#read(now)
  }

  answered(call: CallId, outcome: StoreOutcome, now: Milliseconds): StoreResult {
    const completed = this.#callInFlight
    if (completed?.call !== call) return { kind: 'none' }
    if (outcome.kind === 'failed') {
      this.#noteFailure(now)
      return { kind: 'none' }
    }
    this.#callInFlight = null
    this.#failures = 0
    this.#retryAt = null
    this.#isReadPending = false
    // The store's answer gives the current revision, even if a peer announced a higher one.
    this.#revision = outcome.revision
    const result = this.#evaluate(completed.written, outcome)
    this.advance(now)
    return result
  }

  nextWake(): Milliseconds | null {
    if (this.#callInFlight !== null) return this.#callInFlight.expiresAt
    return this.#pendingRecord !== null || this.#isReadPending ? this.#retryAt : null
  }

  #evaluate(
    written: GroupRecord | null,
    outcome: Exclude<StoreOutcome, { kind: 'failed' }>,
  ): StoreResult {
    const { revision } = outcome
    const stored = outcome.kind === 'swapped' ? written : outcome.record
    if (stored === null) return { kind: 'empty' }
    const known = { record: stored, revision }
    if (this.#pendingRecord === null) return { kind: 'stored', known }
    // This also recognises a swap whose answer was lost: the stored record is the one written.
    if (isSameStep(stored, this.#pendingRecord)) {
      this.#pendingRecord = null
      return { kind: 'stored', known }
    }
    const isOvertaken =
      isOtherMove(stored, this.#pendingRecord) ||
      isNewerRecord(known, { record: this.#pendingRecord, revision })
    if (!isOvertaken) return { kind: 'none' }
    this.#pendingRecord = null
    return { kind: 'overtaken', known }
  }

  #swap(record: GroupRecord, now: Milliseconds): void {
    const call = this.#begin(record, now)
    this.#effects.emit({
      kind: 'swapRecord',
      call,
      expectedRevision: this.#revision,
      record,
      timeoutMilliseconds: this.#options.storeTimeoutMilliseconds,
    })
  }

  #read(now: Milliseconds): void {
    const call = this.#begin(null, now)
    const timeoutMilliseconds = this.#options.storeTimeoutMilliseconds
    this.#effects.emit({ kind: 'readRecord', call, timeoutMilliseconds })
  }

  #begin(written: GroupRecord | null, now: Milliseconds): CallId {
    const call = this.#effects.nextCallId()
    const bound = this.#options.storeTimeoutMilliseconds + CALL_TIMEOUT_MARGIN_MILLISECONDS
    this.#callInFlight = { call, written, expiresAt: addMilliseconds(now, bound) }
    return call
  }

  #noteFailure(now: Milliseconds): void {
    this.#callInFlight = null
    this.#failures += 1
    const wait = backOffMilliseconds(
      this.#options.storeRetryMilliseconds,
      this.#failures,
      MAX_RETRY_FACTOR,
    )
    this.#retryAt = addMilliseconds(now, wait)
  }
}
