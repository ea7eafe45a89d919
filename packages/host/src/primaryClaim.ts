/**
 * One host's claim to change the primary of a service: a record in the store under a lease, written by
 * compare-and-swap. Its revision is the fencing token.
 *
 * @internal
 */
import { changeKey, readChangeRecord, writeRecord } from '@nutmegcourse/coordination'
import { addMilliseconds, attemptId, type BackendServerId } from '@nutmegcourse/shared'
import type { ChangeOutcome, StoreFailure, StoreLink } from '@nutmegcourse/protocol'
import type { HostContext } from './hostContext.js'
import { sleep } from './waiting.js'

/** Limit of one call to the store; a slow call takes some hundred milliseconds. */
export const CALL_LIMIT_MILLISECONDS = 1000

/** A change of primary takes one to two seconds; the lease covers its slowest step and is renewed between steps. */
const CLAIM_MILLISECONDS = 4000

/** Pause before a record that the change is done is written again. */
const DONE_RETRY_PAUSE_MILLISECONDS = 100

type DoneOutcome = ChangeOutcome['kind'] | StoreFailure['kind']

export interface Claim {
  /** The fencing token. */
  readonly token: number
  readonly lease: number
}

/** Receives the record that a failed claim found in the store. */
export type ConflictListener = (value: string | null, revision: number) => void

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

  /**
   * `revision` is that of the record on which the decision to claim is based. A record written since then may be
   * another host's claim, which must not be overwritten.
   */
  async claim(revision: number): Promise<Claim | null> {
    const lease = await this.#store.grantLease(this.lifetimeMilliseconds, CALL_LIMIT_MILLISECONDS)
    if (lease.isErr()) return this.#failed(lease.error.kind)
    const { entryHost } = this.#context.settings
    this.#attempts += 1
    const attempt = attemptId(`${entryHost}/${String(this.#attempts)}/${String(lease.value)}`)
    const key = changeKey(this.#service)
    const value = writeRecord({ phase: 'claimed', holder: entryHost, attempt })
    const made = await this.#store.change(
      { expected: [{ key, revision }], puts: [{ key, value, lease: lease.value }], removes: [] },
      CALL_LIMIT_MILLISECONDS,
    )
    if (made.isErr()) {
      if (made.error.kind !== 'noAnswer') return this.#failed(made.error.kind)
      return this.#resolveUnanswered(attempt, lease.value)
    }
    if (made.value.kind === 'made') return { token: made.value.revision, lease: lease.value }
    if (made.value.kind === 'conflict') {
      const [record] = made.value.records
      this.#onConflict(record?.value ?? null, record?.revision ?? 0)
    }
    return this.#failed(made.value.kind)
  }

  /** Reads the record after a claim got no answer, to find out whether the store made it. */
  async #resolveUnanswered(attempt: string, lease: number): Promise<Claim | null> {
    const read = await this.#store.read(changeKey(this.#service), CALL_LIMIT_MILLISECONDS)
    if (read.isErr()) return this.#failed(read.error.kind)
    const record = read.value === null ? null : readChangeRecord(read.value.value)
    const isOwn = record?.phase === 'claimed' && record.attempt === attempt
    if (!isOwn || read.value === null) return this.#failed('lost')
    return { token: read.value.revision, lease }
  }

  #failed(why: string): null {
    this.#context.log.write('claim_failed', { service: this.#service, why })
    return null
  }

  /** Renews the lease. False when the claim is gone; true also when the store is unavailable. */
  async renew(claim: Claim): Promise<boolean> {
    const renewed = await this.#store.renewLease(claim.lease, CALL_LIMIT_MILLISECONDS)
    if (renewed.isErr() || renewed.value) return true
    this.#context.log.write('claim_lost', { service: this.#service, token: claim.token })
    return false
  }

  /**
   * Replaces the claim by a record of the new primary, which all hosts receive. Repeated while it fails, as long as the
   * lease lasts: without the record the next host takes the change for abandoned and replaces the new primary.
   */
  async recordDone(claim: Claim, primary: BackendServerId): Promise<void> {
    const { clock, log } = this.#context
    const limit = addMilliseconds(clock.now(), this.lifetimeMilliseconds)
    let recorded = await this.#putDone(claim, primary)
    while (recorded !== 'made' && recorded !== 'conflict' && clock.now() < limit) {
      log.write('done_not_recorded', { service: this.#service, token: claim.token, why: recorded })
      await sleep(DONE_RETRY_PAUSE_MILLISECONDS)
      recorded = await this.#putDone(claim, primary)
    }
    log.write('change_done', {
      service: this.#service,
      primary,
      token: claim.token,
      recorded,
    })
  }

  async #putDone(claim: Claim, primary: BackendServerId): Promise<DoneOutcome> {
    const key = changeKey(this.#service)
    const { entryHost: holder } = this.#context.settings
    const value = writeRecord({ phase: 'done', holder, primary })
    const made = await this.#store.change(
      {
        expected: [{ key, revision: claim.token }],
        puts: [{ key, value, lease: 0 }],
        removes: [],
      },
      CALL_LIMIT_MILLISECONDS,
    )
    if (made.isErr()) return made.error.kind
    // An earlier attempt may have been carried out without an answer.
    const isOwn = made.value.kind === 'conflict' && made.value.records[0]?.value === value
    return isOwn ? 'made' : made.value.kind
  }
}
