/**
 * One host's claim to change the primary of a service: a record in the store under a lease, written by
 * compare-and-swap. Its revision is the fencing token. A second record, without a lease, marks the change as
 * unfinished until it is done.
 *
 * @internal
 */
import {
  changeKey,
  readChangeRecord,
  unfinishedKey,
  writeRecord,
  type ChangeEnd,
  type ChangeRecord,
  type ServerPosition,
} from '@nutmegcourse/coordination'
import { addMilliseconds, attemptId, isAtOrPast, type Milliseconds } from '@nutmegcourse/shared'
import type { ChangeOutcome, StoreFailure, StoreLink, StoredRecord } from '@nutmegcourse/protocol'
import type { HostContext } from './hostContext.js'
import { sleep } from './waiting.js'

/** Limit of one call to the store; a slow call takes some hundred milliseconds. */
export const CALL_LIMIT_MILLISECONDS = 1000

/** A change of primary takes one to two seconds; the lease covers a slow one and is renewed all the while. */
const CLAIM_MILLISECONDS = 4000

/** Several renewals fit into the lease, so that it survives one that fails. */
const RENEWAL_INTERVAL_MILLISECONDS = 800

/** Time before the end of the lease from which no order is sent: it covers the sending, and clocks that differ. */
const CLAIM_RESERVE_MILLISECONDS = 400

/** Pause before a record that the change is done is written again. */
const DONE_RETRY_PAUSE_MILLISECONDS = 100

type DoneOutcome = ChangeOutcome['kind'] | StoreFailure['kind']

/** Revisions of the records on which the decision to claim is based; 0 for a record that does not exist. */
export interface ClaimBasis {
  readonly change: number
  readonly unfinished: number
}

type ClaimedRecord = Extract<ChangeRecord, { readonly phase: 'claimed' }>

interface GrantedClaim {
  readonly record: ClaimedRecord
  readonly received: ServerPosition | null
  readonly lease: number
  readonly grantedAt: Milliseconds
}

type DoneChange = Extract<ChangeEnd, { readonly kind: 'done' }>

/** Receives the records that a failed claim found in the store; null for one that does not exist. */
export type ConflictListener = (
  change: StoredRecord | null,
  unfinished: StoredRecord | null,
) => void

/** A claim that this host made. It renews itself until it is ended or lost. */
export class Claim {
  readonly #record: ClaimedRecord
  readonly #lease: number
  readonly #lifetimeMilliseconds: number
  readonly #context: HostContext
  readonly #store: StoreLink
  readonly #service: string
  readonly #renewal: NodeJS.Timeout
  #token: number
  #heldUntil: Milliseconds
  #hasEnded = false
  /** What the record of the unfinished change says that a replica received. */
  #recorded: ServerPosition | null

  /** `grantedAt` is when the lease was requested. */
  constructor(
    context: HostContext,
    store: StoreLink,
    claimed: {
      readonly service: string
      readonly record: ClaimedRecord
      readonly received: ServerPosition | null
      readonly token: number
      readonly lease: number
      readonly grantedAt: Milliseconds
      readonly lifetimeMilliseconds: number
    },
  ) {
    this.#context = context
    this.#store = store
    this.#service = claimed.service
    this.#record = claimed.record
    this.#recorded = claimed.received
    this.#token = claimed.token
    this.#lease = claimed.lease
    this.#lifetimeMilliseconds = claimed.lifetimeMilliseconds
    this.#heldUntil = this.#endOfLease(claimed.grantedAt)
    this.#renewal = setInterval(() => void this.renew(), RENEWAL_INTERVAL_MILLISECONDS)
  }

  /** The fencing token. */
  get token(): number {
    return this.#token
  }

  /**
   * Writes the claim anew, whose revision becomes the token. Returns false if it is not known to be written; a later
   * attempt finds out.
   */
  async renewToken(): Promise<boolean> {
    const key = changeKey(this.#service)
    const value = writeRecord(this.#record)
    const made = await this.#store.change(
      {
        expected: [{ key, revision: this.#token }],
        puts: [{ key, value, lease: this.#lease }],
        removes: [],
      },
      CALL_LIMIT_MILLISECONDS,
    )
    if (made.isErr()) return this.#tokenNotRenewed(made.error.kind)
    switch (made.value.kind) {
      case 'made':
        this.#token = made.value.revision
        return true
      case 'conflict': {
        const [found] = made.value.records
        if (found?.value !== value) return this.#tokenNotRenewed('conflict')
        // An earlier attempt was carried out without an answer.
        this.#token = found.revision
        return true
      }
      case 'leaseGone':
        return this.#tokenNotRenewed('leaseGone')
    }
  }

  #tokenNotRenewed(why: string): false {
    this.#context.log.write('token_not_renewed', {
      service: this.#service,
      token: this.#token,
      why,
    })
    return false
  }

  /** Leaves for the next holder what a replica was seen to have; a failure is only logged, since this one knows it. */
  async recordReceived(received: ServerPosition | null): Promise<void> {
    const recorded = this.#recorded
    if (received === null || (recorded !== null && isAtOrPast(recorded.at, received.at))) return
    this.#recorded = received
    const { holder, attempt } = this.#record
    const made = await this.#store.change(
      {
        expected: [{ key: changeKey(this.#service), revision: this.#token }],
        puts: [
          {
            key: unfinishedKey(this.#service),
            value: writeRecord({ holder, attempt, received }),
            lease: 0,
          },
        ],
        removes: [],
      },
      CALL_LIMIT_MILLISECONDS,
    )
    const outcome = made.isErr() ? made.error.kind : made.value.kind
    if (outcome === 'made') return
    if (this.#recorded === received) this.#recorded = recorded
    this.#context.log.write('received_not_recorded', {
      service: this.#service,
      token: this.#token,
      why: outcome,
    })
  }

  /** Whether the lease is certain to last, by this host's clock. Another host may claim the change otherwise. */
  get isHeld(): boolean {
    return !this.#hasEnded && this.#context.clock.now() < this.#heldUntil
  }

  /** Renews the lease. Returns false if it has ended, for good. */
  async renew(): Promise<boolean> {
    const sentAt = this.#context.clock.now()
    const renewed = await this.#store.renewLease(this.#lease, CALL_LIMIT_MILLISECONDS)
    if (this.#hasEnded) return false
    if (renewed.isOk() && renewed.value) this.#heldUntil = this.#endOfLease(sentAt)
    const isGone = renewed.isOk() && !renewed.value
    if (!isGone && this.isHeld) return true
    this.#stop()
    this.#context.log.write('claim_lost', { service: this.#service, token: this.token })
    return false
  }

  /** Stops the renewal and ends the lease, so that another host may claim at once. */
  async end(): Promise<void> {
    this.#stop()
    await this.#store.endLease(this.#lease, CALL_LIMIT_MILLISECONDS)
  }

  #stop(): void {
    this.#hasEnded = true
    clearInterval(this.#renewal)
  }

  #endOfLease(from: Milliseconds): Milliseconds {
    return addMilliseconds(from, this.#lifetimeMilliseconds - CLAIM_RESERVE_MILLISECONDS)
  }
}

export class PrimaryClaims {
  readonly #context: HostContext
  readonly #store: StoreLink
  readonly #service: string
  readonly #onConflict: ConflictListener
  #attempts = 0

  constructor(
    context: HostContext,
    store: StoreLink,
    service: string,
    onConflict: ConflictListener,
  ) {
    this.#context = context
    this.#store = store
    this.#service = service
    this.#onConflict = onConflict
  }

  get lifetimeMilliseconds(): number {
    return Math.max(CLAIM_MILLISECONDS, this.#context.settings.store.shortestLeaseMilliseconds)
  }

  /** A record written since `basis` may be another host's claim, which must not be overwritten. */
  async claim(basis: ClaimBasis, received: ServerPosition | null): Promise<Claim | null> {
    const grantedAt = this.#context.clock.now()
    const lease = await this.#store.grantLease(this.lifetimeMilliseconds, CALL_LIMIT_MILLISECONDS)
    if (lease.isErr()) return this.#failed(lease.error.kind)
    const { entryHost: holder } = this.#context.settings
    this.#attempts += 1
    const attempt = attemptId(`${holder}/${String(this.#attempts)}/${String(lease.value)}`)
    const record = { phase: 'claimed', holder, attempt } as const
    const granted = { record, received, lease: lease.value, grantedAt }
    const key = changeKey(this.#service)
    const marker = unfinishedKey(this.#service)
    const made = await this.#store.change(
      {
        expected: [
          { key, revision: basis.change },
          { key: marker, revision: basis.unfinished },
        ],
        puts: [
          { key: marker, value: writeRecord({ holder, attempt, received }), lease: 0 },
          { key, value: writeRecord(record), lease: lease.value },
        ],
        removes: [],
      },
      CALL_LIMIT_MILLISECONDS,
    )
    if (made.isErr()) {
      if (made.error.kind !== 'noAnswer') return this.#failed(made.error.kind)
      return this.#resolveUnanswered(granted)
    }
    if (made.value.kind === 'made') return this.#made(made.value.revision, granted)
    if (made.value.kind === 'conflict') this.#reportConflict(made.value.records)
    return this.#failed(made.value.kind)
  }

  #made(token: number, granted: GrantedClaim): Claim {
    return new Claim(this.#context, this.#store, {
      ...granted,
      service: this.#service,
      token,
      lifetimeMilliseconds: this.lifetimeMilliseconds,
    })
  }

  #reportConflict(records: readonly StoredRecord[]): void {
    const find = (wanted: string): StoredRecord | null =>
      records.find(({ key }) => key === wanted) ?? null
    this.#onConflict(find(changeKey(this.#service)), find(unfinishedKey(this.#service)))
  }

  /** Reads the record after a claim got no answer, to find out whether the store made it. */
  async #resolveUnanswered(granted: GrantedClaim): Promise<Claim | null> {
    const read = await this.#store.read(changeKey(this.#service), CALL_LIMIT_MILLISECONDS)
    if (read.isErr()) return this.#failed(read.error.kind)
    const record = read.value === null ? null : readChangeRecord(read.value.value)
    const isOwn = record?.phase === 'claimed' && record.attempt === granted.record.attempt
    if (!isOwn || read.value === null) return this.#failed('lost')
    return this.#made(read.value.revision, granted)
  }

  #failed(why: string): null {
    this.#context.log.write('claim_failed', { service: this.#service, why })
    return null
  }

  /**
   * Replaces the claim by a record of the new primary, which all hosts receive. Repeated while it fails, as long as the
   * lease lasts: without the record the next host takes the change for abandoned.
   */
  async recordDone(claim: Claim, done: DoneChange): Promise<void> {
    const { clock, log } = this.#context
    const limit = addMilliseconds(clock.now(), this.lifetimeMilliseconds)
    let recorded = await this.#putDone(claim, done)
    while (recorded !== 'made' && recorded !== 'conflict' && clock.now() < limit) {
      log.write('done_not_recorded', { service: this.#service, token: claim.token, why: recorded })
      await sleep(DONE_RETRY_PAUSE_MILLISECONDS)
      recorded = await this.#putDone(claim, done)
    }
    log.write('change_done', {
      service: this.#service,
      primary: done.primary,
      token: claim.token,
      recorded,
    })
  }

  async #putDone(claim: Claim, done: DoneChange): Promise<DoneOutcome> {
    const key = changeKey(this.#service)
    const { entryHost: holder } = this.#context.settings
    const value = writeRecord({ phase: 'done', holder, primary: done.primary })
    const made = await this.#store.change(
      {
        expected: [{ key, revision: claim.token }],
        puts: [{ key, value, lease: 0 }],
        // The next holder has to allow for an order that may be carried out again.
        removes: done.hasUnansweredOrder ? [] : [unfinishedKey(this.#service)],
      },
      CALL_LIMIT_MILLISECONDS,
    )
    if (made.isErr()) return made.error.kind
    // An earlier attempt may have been carried out without an answer.
    const isOwn = made.value.kind === 'conflict' && made.value.records[0]?.value === value
    return isOwn ? 'made' : made.value.kind
  }
}
