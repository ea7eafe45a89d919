/**
 * Tells the other entry hosts, through the store, that this one runs. They divide the connections
 * of each backend server by the number of hosts.
 *
 * @internal
 */
import { hostKey, writeRecord } from '@nutmegcourse/coordination'
import type { StoreLink } from '@nutmegcourse/protocol'
import type { HostContext } from './hostContext.js'
import { Signal } from './waiting.js'

/**
 * The record is for shares that need no precision, so it is renewed rarely: a call each few minutes
 * and host, where a heartbeat of a second would be most of the calls that the fleet makes. A host that lost
 * power is counted until the lease ends, which costs the others a part of their shares.
 */
const LIFETIME_MILLISECONDS = 300_000
const RENEW_AFTER_MILLISECONDS = 100_000

/** Hosts that register again at one moment are spread over this. */
const RESTORED_SPREAD_MILLISECONDS = 1000

const CALL_LIMIT_MILLISECONDS = 1500
const RETRY_MILLISECONDS = 2000

/** A record as it stands in the store. */
export interface StoredRecord {
  readonly value: string
  readonly lease: number
}

/** What this host has read of the store. */
export interface OwnRecordReader {
  /** Resolves when everything was listed, at the latest after `span` milliseconds. */
  whenListed(span: number): Promise<void>
  readonly isListed: boolean
  /** This host's own record, as it was when everything was listed. */
  readonly ownRecord: StoredRecord | null
}

export class HostRegistration {
  readonly #context: HostContext
  readonly #store: StoreLink
  readonly #reader: OwnRecordReader
  /** Hears that the other hosts will know this one anew. */
  readonly #onJoined: () => void
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

  /** The store has come back from an older copy, which may lack the record. */
  storeRestored(): void {
    this.#isRecordLost = true
    this.#wakeUp.raise()
  }

  /** All hosts write their records again at about one moment, so each waits a little. */
  async #prepareReRegistration(): Promise<void> {
    this.#isRecordLost = false
    this.#lease = null
    await this.#wakeUp.wait(RESTORED_SPREAD_MILLISECONDS * this.#context.random.next())
  }

  /** The host stops: the others may have its share. */
  async withdraw(): Promise<void> {
    this.#isStopped = true
    this.#wakeUp.raise()
    if (this.#lease === null) return
    await this.#store.endLease(this.#lease, CALL_LIMIT_MILLISECONDS)
  }

  /**
   * After a loss of power the host's record still stands under its old lease. If all hosts wrote theirs anew at once,
   * every change would end every watch and make every host plan again while callers come back.
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
    const lease = await this.#store.grantLease(LIFETIME_MILLISECONDS, CALL_LIMIT_MILLISECONDS)
    if (lease.isErr()) return this.#failed(lease.error.kind)
    const key = hostKey(this.#context.settings.entryHost)
    const change = await this.#store.change(
      {
        expected: [],
        puts: [{ key, value: this.#record(), lease: lease.value }],
        removes: [],
      },
      CALL_LIMIT_MILLISECONDS,
    )
    if (change.isErr()) return this.#failed(change.error.kind)
    if (change.value.kind !== 'made') return this.#failed(change.value.kind)
    this.#lease = lease.value
    if (!this.#hasJoined) this.#onJoined()
    this.#hasJoined = true
    return true
  }

  async #renew(lease: number): Promise<boolean> {
    const renewed = await this.#store.renewLease(lease, CALL_LIMIT_MILLISECONDS)
    if (renewed.isErr()) return this.#failed(renewed.error.kind)
    if (renewed.value) return true
    this.#lease = null
    return this.#register()
  }

  #failed(why: string): false {
    this.#context.log.write('registration_failed', { why })
    return false
  }
}
