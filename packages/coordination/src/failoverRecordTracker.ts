/** Tracks the newest record known to a watcher and makes sure that the store holds it. */
import { addMilliseconds, assertNever, type Milliseconds } from '@nutmegcourse/shared'
import type { GroupRecord } from '@nutmegcourse/protocol'

import type { CallId, StoreOutcome } from './failoverMessages.js'
import type { FailoverOptions } from './failoverOptions.js'
import type { FailoverEffectQueue } from './failoverEffectQueue.js'
import { isNewerRecord, type KnownRecord } from './failoverRecord.js'
import { FailoverRecordStoreClient } from './failoverRecordStoreClient.js'

export class FailoverRecordTracker {
  readonly #options: FailoverOptions
  readonly #effects: FailoverEffectQueue
  readonly #store: FailoverRecordStoreClient
  readonly #onChanged: (record: GroupRecord, now: Milliseconds) => void
  #known: KnownRecord | null = null
  #changedAt: Milliseconds | null = null
  #isStoreEmpty = false
  /** When to check whether the store holds the known record; null once it does. */
  #storeCheckAt: Milliseconds | null = null

  /** `onChanged` is called when the known record's term or phase has changed. */
  constructor(
    options: FailoverOptions,
    effects: FailoverEffectQueue,
    onChanged: (record: GroupRecord, now: Milliseconds) => void,
  ) {
    this.#options = options
    this.#effects = effects
    this.#onChanged = onChanged
    this.#store = new FailoverRecordStoreClient(options, effects)
  }

  get known(): KnownRecord | null {
    return this.#known
  }

  get record(): GroupRecord | null {
    return this.#known?.record ?? null
  }

  /** When this watcher learned of the last change of term or phase. */
  get changedAt(): Milliseconds | null {
    return this.#changedAt
  }

  /** The store answered that it holds no record. */
  get isStoreEmpty(): boolean {
    return this.#isStoreEmpty
  }

  get isStoreResponding(): boolean {
    return this.#store.isStoreResponding
  }

  /** Whether the store is known to hold the known record. */
  get isStored(): boolean {
    return this.#known !== null && this.#store.pendingRecord === null && this.#storeCheckAt === null
  }

  receive(known: KnownRecord, rank: number, now: Milliseconds): void {
    this.#store.observeRevision(known.revision)
    this.#update(known, rank, now)
  }

  /** Applies and announces a record made by this watcher, and writes it to the store. */
  publish(record: GroupRecord, rank: number, now: Milliseconds): void {
    const known = { record, revision: this.#store.revision }
    this.#effects.emit({ kind: 'announce', ...known })
    this.#setKnown(known, rank, now)
    this.#store.write(record, now)
  }

  /** Writes a record to the store that takes effect only once the store holds it. */
  propose(record: GroupRecord, now: Milliseconds): void {
    this.#store.write(record, now)
  }

  /** Withdraws a proposal that the store does not hold. */
  withdraw(record: GroupRecord): void {
    if (this.#store.pendingRecord === record) this.#store.cancelWrite()
  }

  answered(call: CallId, outcome: StoreOutcome, rank: number, now: Milliseconds): void {
    const result = this.#store.answered(call, outcome, now)
    switch (result.kind) {
      case 'none':
        return
      case 'empty':
        this.#isStoreEmpty = true
        this.#storeCheckAt = null
        if (this.#known !== null) this.#store.write(this.#known.record, now)
        return
      case 'stored':
      case 'overtaken':
        this.#compareWithStore(result.known, rank, now)
        return
      default:
        assertNever(result)
    }
  }

  advance(now: Milliseconds): void {
    this.#checkStore(now)
    this.#store.advance(now)
  }

  nextWake(): Milliseconds | null {
    return this.#store.nextWake() ?? this.#storeCheckAt
  }

  #compareWithStore(stored: KnownRecord, rank: number, now: Milliseconds): void {
    this.#update(stored, rank, now)
    const known = this.#known
    if (known === null) return
    const isStoreBehind = isNewerRecord({ record: known.record, revision: stored.revision }, stored)
    if (!isStoreBehind) this.#storeCheckAt = null
    else if (this.#store.pendingRecord === null) this.#store.write(known.record, now)
  }

  #update(candidate: KnownRecord, rank: number, now: Milliseconds): void {
    const known = this.#known
    if (!isNewerRecord(candidate, known)) return
    const { record } = candidate
    const hasChanged =
      record.term !== known?.record.term || record.phase.kind !== known.record.phase.kind
    if (hasChanged) {
      this.#setKnown(candidate, rank, now)
      return
    }
    this.#known = candidate
    // A greater revision of the same step shows that the store holds it.
    this.#storeCheckAt = null
  }

  #setKnown(known: KnownRecord, rank: number, now: Milliseconds): void {
    this.#known = known
    this.#changedAt = now
    const delay = this.#options.storeCheckMilliseconds * (1 + rank)
    this.#storeCheckAt = addMilliseconds(now, delay)
    const { pendingRecord } = this.#store
    if (pendingRecord !== null && pendingRecord.term < known.record.term) this.#store.cancelWrite()
    this.#onChanged(known.record, now)
  }

  /** Every watcher checks that the store holds the known record, as the watcher that made it may have failed. */
  #checkStore(now: Milliseconds): void {
    if (this.#known === null && !this.#isStoreEmpty) this.#store.read(now)
    if (this.#storeCheckAt === null || now < this.#storeCheckAt) return
    this.#storeCheckAt = addMilliseconds(now, this.#options.storeCheckMilliseconds)
    if (this.#store.pendingRecord === null) this.#store.read(now)
  }
}
