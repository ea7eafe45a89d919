/**
 * Enforces customers' limits: each operation needs a grant from one of the hosts that hold a part of the limit.
 *
 * @internal
 */
import type { CustomerName } from '@nutmegcourse/shared'
import type { HostContext } from './hostContext.js'
import type { GrantAnswer, LimitGranter, LimitPlan } from './limitGranter.js'
import { Backoffs } from './backoffs.js'
import type { RelayPeer } from './relayPeer.js'

export type Admission =
  { readonly kind: 'admitted' } | { readonly kind: 'overLimit'; readonly waitMilliseconds: number }

const ADMITTED: Admission = { kind: 'admitted' }

/** Holders answer immediately; a round trip between regions takes tens of milliseconds. */
const GRANT_TIMEOUT_MILLISECONDS = 200

/** A holder that did not answer is not asked again for this long. */
const HOLDER_BACKOFF_MILLISECONDS = 1000

/** The retry delay sent to callers when every holder of a part is unreachable or declines. */
const UNREACHABLE_RETRY_MILLISECONDS = 500

/** Limits, their holders, and the connections to these hosts. */
export interface LimitPeers extends LimitPlan {
  peer(host: string): RelayPeer | null
}

export class CustomerLimits {
  readonly #context: HostContext
  readonly #granter: LimitGranter
  readonly #peers: LimitPeers
  /** Customers whose limits every holder that answered reported as exhausted. */
  readonly #spent: Backoffs<CustomerName>
  readonly #unresponsive: Backoffs<string>

  constructor(context: HostContext, granter: LimitGranter, peers: LimitPeers) {
    this.#context = context
    this.#granter = granter
    this.#peers = peers
    this.#spent = new Backoffs(context.clock)
    this.#unresponsive = new Backoffs(context.clock)
  }

  /** Whether one more operation of the customer may run now. */
  async admit(customer: CustomerName): Promise<Admission> {
    if (this.#peers.limitOf(customer) === null) return ADMITTED
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

  async #requestGrant(holder: string, customer: CustomerName): Promise<GrantAnswer | null> {
    if (holder === this.#context.settings.entryHost) return this.#granter.answer({ customer })
    const peer = this.#peers.peer(holder)
    if (peer?.isUp !== true || this.#unresponsive.remainingMilliseconds(holder) > 0) return null
    const answer = await peer.askGrant({ customer }, GRANT_TIMEOUT_MILLISECONDS)
    if (answer === null) this.#unresponsive.begin(holder, HOLDER_BACKOFF_MILLISECONDS)
    return answer
  }

  #overLimit(customer: CustomerName, waitMilliseconds: number): Admission {
    this.#context.log.write('limit_reached', {
      customer,
      waitMilliseconds: Math.round(waitMilliseconds),
    })
    return { kind: 'overLimit', waitMilliseconds }
  }

  #unreachable(customer: CustomerName): Admission {
    this.#context.log.write('limit_unknown', { customer })
    return { kind: 'overLimit', waitMilliseconds: UNREACHABLE_RETRY_MILLISECONDS }
  }
}
