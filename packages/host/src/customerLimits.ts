/**
 * Enforces customers' limits: each operation needs a grant from one of the hosts that hold a part of the limit.
 *
 * @internal
 */
import type { OperationLimit, StatementId } from '@nutmegcourse/protocol'
import type { CustomerName } from '@nutmegcourse/shared'
import type { SearchResult } from '@nutmegcourse/state'
import type { LogFields } from './decisionLog.js'
import type { HostContext } from './hostContext.js'
import type { GrantAnswer, OwnParts } from './limitGranter.js'
import { Backoffs } from './backoffs.js'
import { CustomerTally } from './customerTally.js'
import { CustomerGrants, type LimitPeers } from './customerGrants.js'

export type Admission =
  { readonly kind: 'admitted' } | { readonly kind: 'overLimit'; readonly waitMilliseconds: number }

/** The statement with which an operation begins. */
export interface OperationStart {
  readonly request: StatementId
  readonly route: string
  readonly priority: number
}

const ADMITTED: Admission = { kind: 'admitted' }

/** Holders answer immediately; a round trip between regions takes tens of milliseconds. */
const GRANT_TIMEOUT_MILLISECONDS = 200

/** A holder that did not answer is not asked again for this long. */
const HOLDER_BACKOFF_MILLISECONDS = 1000

/** The retry delay sent to callers when every holder of a part is unreachable or declines. */
const UNREACHABLE_RETRY_MILLISECONDS = 500

export class CustomerLimits {
  readonly #context: HostContext
  readonly #granter: OwnParts
  readonly #peers: LimitPeers
  /** Customers whose limits every holder that answered reported as exhausted. */
  readonly #spent: Backoffs<CustomerName>
  readonly #unresponsive: Backoffs<string>
  /** Null where slots are not scheduled: then each operation asks one holder after the other. */
  readonly #grants: CustomerGrants | null
  /** Counted where slots are scheduled, as are operations refused under a limit, or because it was unknown. */
  readonly admitted = new CustomerTally()
  readonly reached = new CustomerTally()
  readonly unknown = new CustomerTally()

  constructor(context: HostContext, granter: OwnParts, peers: LimitPeers) {
    this.#context = context
    this.#granter = granter
    this.#peers = peers
    this.#spent = new Backoffs(context.clock)
    this.#unresponsive = new Backoffs(context.clock)
    const { schedulesSlots } = context.settings
    this.#grants = schedulesSlots ? new CustomerGrants(context, granter, peers) : null
  }

  /** Whether one more operation of the customer may run now. */
  async admit(customer: CustomerName, start: OperationStart | null = null): Promise<Admission> {
    const limit = this.#peers.limitOf(customer)
    if (limit === null) return ADMITTED
    if (this.#grants !== null) {
      const result = await this.#grants.request(customer, limit)
      return this.#admissionOf(customer, limit, result, start)
    }
    const spentFor = this.#spent.remainingMilliseconds(customer)
    if (spentFor > 0) return this.#overLimit(customer, spentFor)
    let shortest: number | null = null
    for (const holder of this.#peers.limitHolders(customer)) {
      const answer = await this.#requestGrant(holder, customer)
      if (answer?.kind === 'granted') return ADMITTED
      if (answer?.kind !== 'spent') continue
      shortest = Math.min(shortest ?? answer.waitMilliseconds, answer.waitMilliseconds)
    }
    if (shortest === null) return this.#unreachable(customer)
    this.#spent.begin(customer, shortest)
    return this.#overLimit(customer, shortest)
  }

  #admissionOf(
    customer: CustomerName,
    { operationsPerSecond }: OperationLimit,
    result: SearchResult,
    start: OperationStart | null,
  ): Admission {
    const now = this.#context.clock.now()
    switch (result.kind) {
      case 'granted':
        this.admitted.count(customer, now)
        return ADMITTED
      case 'spent':
        this.reached.count(customer, now)
        return this.#overLimit(customer, result.waitMilliseconds, { ...start, operationsPerSecond })
      case 'unknown': {
        this.unknown.count(customer, now)
        const holders = this.#peers.limitHolders(customer)
        return this.#unreachable(customer, { ...start, holders })
      }
    }
  }

  async #requestGrant(holder: string, customer: CustomerName): Promise<GrantAnswer | null> {
    if (holder === this.#context.settings.entryHost) return this.#granter.answer({ customer })
    const peer = this.#peers.peer(holder)
    if (peer?.isUp !== true || this.#unresponsive.remainingMilliseconds(holder) > 0) return null
    const answer = await peer.askGrant({ customer }, GRANT_TIMEOUT_MILLISECONDS)
    if (answer === null) this.#unresponsive.begin(holder, HOLDER_BACKOFF_MILLISECONDS)
    return answer
  }

  #overLimit(customer: CustomerName, waitMilliseconds: number, details: LogFields = {}): Admission {
    this.#context.log.write('limit_reached', {
      ...details,
      customer,
      waitMilliseconds: Math.round(waitMilliseconds),
    })
    return { kind: 'overLimit', waitMilliseconds }
  }

  #unreachable(customer: CustomerName, details: LogFields = {}): Admission {
    this.#context.log.write('limit_unknown', { ...details, customer })
    return { kind: 'overLimit', waitMilliseconds: UNREACHABLE_RETRY_MILLISECONDS }
  }
}
