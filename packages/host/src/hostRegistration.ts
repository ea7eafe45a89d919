/**
 * Registers this entry host in the store. From the registered hosts, each host plans which of them hold connections to
 * which services, and where it forwards statements.
 *
 * @internal
 */
import { hostKey, writeRecord } from '@nutmegcourse/coordination'
import type { StoreFailure, StoreLink } from '@nutmegcourse/protocol'
import type { Result } from 'neverthrow'
import type { HostContext } from './hostContext.js'
import { GrowingLimit } from './growingLimit.js'
import { Signal } from './waiting.js'

/**
 * Dividing connections among the registered hosts needs no precision, so the lease is renewed rarely: one call per host
 * every 100 s on average, where a heartbeat every second would be most of the fleet's calls. A host that lost power is
 * counted until its lease ends, which reduces the shares of the others.
 */
const LIFETIME_MILLISECONDS = 300_000
const RENEW_AFTER_MILLISECONDS = 100_000

/** Simultaneous registrations after a restore of the store are spread over this time. */
const RESTORED_SPREAD_MILLISECONDS = 1000

const SHORTEST_CALL_LIMIT_MILLISECONDS = 1500
const LONGEST_CALL_LIMIT_MILLISECONDS = 30_000
const RETRY_MILLISECONDS = 2000

/** A record as read from the store. */
export interface StoredRecord {
  readonly value: string
  readonly lease: number
}

/** Gives access to this host's own record in the store. */
export interface OwnRecordReader {
  /** Resolves after the first complete list, at the latest after `span` milliseconds. */
  whenListed(span: number): Promise<void>
  readonly isListed: boolean
  /** This host's own record as of the last complete list. */
  readonly ownRecord: StoredRecord | null
}

export class HostRegistration {
  readonly #context: HostContext
  readonly #store: StoreLink
  readonly #reader: OwnRecordReader
  /** Called after the first registration, when other hosts learn of this one. */
  readonly #onJoined: () => void
  /** Without a record no other host knows this one, so a store that is slow must not prevent it for good. */
  readonly #limit = new GrowingLimit(
    SHORTEST_CALL_LIMIT_MILLISECONDS,
    LONGEST_CALL_LIMIT_MILLISECONDS,
  )
  #lease: number | null = null
  #hasJoined = false
  #isStopped = false
  #isRecordLost = false
  readonly #wakeUp = new Signal()

  constructor(
    context: HostContext,
    store: StoreLink,
    reader: OwnRecordReader,
    onJoined: () => void,
  ) {
    this.#context = context
    this.#store = store
    this.#reader = reader
    this.#onJoined = onJoined
  }

  async run(): Promise<void> {
    if (!this.#context.settings.isFirstStart) await this.#adoptStoredRecord()
    while (!this.#isStopped) {
      const isKept = this.#lease === null ? await this.#register() : await this.#renew(this.#lease)
      const span = isKept ? RENEW_AFTER_MILLISECONDS : RETRY_MILLISECONDS
      if (!this.#isRecordLost)
        await this.#wakeUp.wait(span * (0.75 + this.#context.random.next() / 2))
      if (this.#isRecordLost) await this.#prepareReRegistration()
    }
  }

  /** The store was restored from an older copy, which may lack the record. */
  storeRestored(): void {
    this.#isRecordLost = true
    this.#wakeUp.raise()
  }

  /** All hosts register again at about the same time, so each waits for a random delay. */
  async #prepareReRegistration(): Promise<void> {
    this.#isRecordLost = false
    this.#lease = null
    await this.#wakeUp.wait(RESTORED_SPREAD_MILLISECONDS * this.#context.random.next())
  }

  /** Ends the registration: the host stops, and the others may use its share. */
  async withdraw(): Promise<void> {
    this.#isStopped = true
    this.#wakeUp.raise()
    if (this.#lease === null) return
    await this.#store.endLease(this.#lease, SHORTEST_CALL_LIMIT_MILLISECONDS)
  }

  /**
   * Adopts an unchanged record and its lease, as it is still stored after a power loss. If all hosts wrote their
   * records again at once, every write would end every watch and make every host plan again while callers reconnect.
   */
  async #adoptStoredRecord(): Promise<void> {
    while (!this.#isStopped && !this.#reader.isListed) {
      await this.#reader.whenListed(RETRY_MILLISECONDS)
    }
    const stored = this.#reader.ownRecord
    if (stored === null || stored.lease === 0 || stored.value !== this.#record()) return
    this.#lease = stored.lease
    this.#hasJoined = true
  }

  #record(): string {
    const { zone, region, relay, processorShare: weight } = this.#context.settings
    const relayText = relay === null ? null : `${relay.host}:${String(relay.port)}`
    return writeRecord({ zone, region, relay: relayText, weight })
  }

  async #register(): Promise<boolean> {
    const lease = await this.#timed(limit => this.#store.grantLease(LIFETIME_MILLISECONDS, limit))
    if (lease.isErr()) return this.#failed(lease.error.kind)
    const key = hostKey(this.#context.settings.entryHost)
    const puts = [{ key, value: this.#record(), lease: lease.value }]
    const change = await this.#timed(limit =>
      this.#store.change({ expected: [], puts, removes: [] }, limit),
    )
    if (change.isErr()) return this.#failed(change.error.kind)
    if (change.value.kind !== 'made') return this.#failed(change.value.kind)
    this.#lease = lease.value
    if (!this.#hasJoined) this.#onJoined()
    this.#hasJoined = true
    return true
  }

  async #renew(lease: number): Promise<boolean> {
    const renewed = await this.#timed(limit => this.#store.renewLease(lease, limit))
    if (renewed.isErr()) return this.#failed(renewed.error.kind)
    if (renewed.value) return true
    this.#lease = null
    return this.#register()
  }

  async #timed<Value>(
    call: (limit: number) => Promise<Result<Value, StoreFailure>>,
  ): Promise<Result<Value, StoreFailure>> {
    const { clock } = this.#context
    const askedAt = clock.now()
    const result = await call(this.#limit.milliseconds)
    if (result.isOk()) this.#limit.answered(clock.now() - askedAt)
    else if (result.error.kind === 'noAnswer') this.#limit.exceeded()
    return result
  }

  #failed(why: string): false {
    this.#context.log.write('registration_failed', { why })
    return false
  }
}
