/**
 * Holds callers to their customers' limits: each operation needs a grant from one of the hosts that hold a part of
 * the limit.
 *
 * @internal
 */
import type { CustomerName } from '@nutmegcourse/shared'
import type { HostContext } from './hostContext.js'
import type { GrantAnswer, LimitDesk, LimitPlan } from './limitDesk.js'
import { Pauses } from './pauses.js'
import type { RelayPeer } from './relayPeer.js'

export type Admission =
  { readonly kind: 'admitted' } | { readonly kind: 'overLimit'; readonly waitMilliseconds: number }

const ADMITTED: Admission = { kind: 'admitted' }

/** A host that holds a part answers at once; past the link between regions that takes tens of milliseconds. */
const ANSWER_LIMIT_MILLISECONDS = 200

/** A holder that did not answer is left alone for so long. */
const AVOID_MILLISECONDS = 1000

/** What callers are told to wait where no holder of a part can be reached. */
const UNREACHABLE_WAIT_MILLISECONDS = 500

/** Ways to the hosts that hold parts. */
export interface LimitPeers extends LimitPlan {
  peer(host: string): RelayPeer | null
}

export class CustomerLimits {
  readonly #context: HostContext
  readonly #desk: LimitDesk
  readonly #peers: LimitPeers
  /** Customers whose limits are used up, as all holders said. */
  readonly #spent: Pauses<CustomerName>
  readonly #avoided: Pauses<string>

  constructor(context: HostContext, desk: LimitDesk, peers: LimitPeers) {
    this.#context = context
    this.#desk = desk
    this.#peers = peers
    this.#spent = new Pauses(context.clock)
    this.#avoided = new Pauses(context.clock)
  }

  /** Whether one more operation of the customer may run now. */
  async admit(customer: CustomerName): Promise<Admission> {
    if (this.#peers.limitOf(customer) === null) return ADMITTED
    const spentFor = this.#spent.left(customer)
    if (spentFor > 0) return this.#overLimit(customer, spentFor)
    let shortest: number | null = null
    for (const holder of this.#peers.limitHolders(customer)) {
      const answer = await this.#ask(holder, customer)
      if (answer?.kind === 'granted') return ADMITTED
      if (answer?.kind !== 'spent') continue
      shortest = Math.min(shortest ?? answer.waitMilliseconds, answer.waitMilliseconds)
    }
    if (shortest === null) return this.#unreachable(customer)
    this.#spent.begin(customer, shortest)
    return this.#overLimit(customer, shortest)
  }

  async #ask(holder: string, customer: CustomerName): Promise<GrantAnswer | null> {
    if (holder === this.#context.settings.entryHost) return this.#desk.answer({ customer })
    const peer = this.#peers.peer(holder)
    if (peer?.isUp !== true || this.#avoided.left(holder) > 0) return null
    const answer = await peer.askGrant({ customer }, ANSWER_LIMIT_MILLISECONDS)
    if (answer === null) this.#avoided.begin(holder, AVOID_MILLISECONDS)
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
    return { kind: 'overLimit', waitMilliseconds: UNREACHABLE_WAIT_MILLISECONDS }
  }
}
