/**
 * Holds callers to their customers' limits: each operation needs a grant from one of the hosts that hold a part of
 * the limit.
 *
 * @internal
 */
import { addMilliseconds, type CustomerName, type Milliseconds } from '@nutmegcourse/shared'
import type { HostContext } from './hostContext.js'
import type { GrantAnswer, LimitDesk, LimitPlan } from './limitDesk.js'
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
  /** Until when a customer's limit is used up, as all its holders said. */
  readonly #spentUntil = new Map<CustomerName, Milliseconds>()
  readonly #avoidedUntil = new Map<string, Milliseconds>()

  constructor(context: HostContext, desk: LimitDesk, peers: LimitPeers) {
    this.#context = context
    this.#desk = desk
    this.#peers = peers
  }

  /** Whether one more operation of the customer may run now. */
  async admit(customer: CustomerName): Promise<Admission> {
    if (this.#peers.limitOf(customer) === null) return ADMITTED
    const spentFor = this.#spentFor(customer)
    if (spentFor > 0) return this.#overLimit(customer, spentFor)
    let shortest: number | null = null
    for (const holder of this.#peers.limitHolders(customer)) {
      const answer = await this.#ask(holder, customer)
      if (answer?.kind === 'granted') return ADMITTED
      if (answer?.kind !== 'spent') continue
      shortest = Math.min(shortest ?? answer.waitMilliseconds, answer.waitMilliseconds)
    }
    if (shortest === null) return this.#unreachable(customer)
    const until = addMilliseconds(this.#context.clock.now(), shortest)
    this.#spentUntil.set(customer, until)
    return this.#overLimit(customer, shortest)
  }

  #spentFor(customer: CustomerName): number {
    const until = this.#spentUntil.get(customer)
    if (until === undefined) return 0
    const left = until - this.#context.clock.now()
    if (left <= 0) this.#spentUntil.delete(customer)
    return left
  }

  async #ask(holder: string, customer: CustomerName): Promise<GrantAnswer | null> {
    const { clock, settings } = this.#context
    if (holder === settings.entryHost) return this.#desk.answer({ customer })
    const peer = this.#peers.peer(holder)
    const avoidedUntil = this.#avoidedUntil.get(holder) ?? clock.now()
    if (peer?.isUp !== true || clock.now() < avoidedUntil) return null
    const answer = await peer.askGrant({ customer }, ANSWER_LIMIT_MILLISECONDS)
    if (answer === null) {
      this.#avoidedUntil.set(holder, addMilliseconds(clock.now(), AVOID_MILLISECONDS))
    }
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
