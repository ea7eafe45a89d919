/**
 * Gets operations of customers granted from the parts of their limits while some holders may be silent: tokens that
 * were handed ahead first, then the holders that are expected to answer.
 *
 * @internal
 */
import type { OperationLimit } from '@nutmegcourse/protocol'
import type { CustomerName, Milliseconds } from '@nutmegcourse/shared'
import { GrantSearch, HolderSilence, IdleMap, type SearchResult } from '@nutmegcourse/state'
import { startReadTimeout } from '@nutmegcourse/transport'
import { CustomerUse } from './customerUse.js'
import type { HostContext } from './hostContext.js'
import type { GrantAnswer, GrantRequest, LimitPlan, OwnParts } from './limitGranter.js'

/** Holders answer immediately; a round trip between regions takes tens of milliseconds. */
const GRANT_TIMEOUT_MILLISECONDS = 200

/** A round trip to a holder, with some margin. The next one is asked when no answer has arrived by then. */
const HEDGE_MILLISECONDS = 60

/** The retry delay sent to callers of a customer that may run nothing. */
const NO_OPERATIONS_RETRY_MILLISECONDS = 5000

/** The connection to another host that may hold a part. */
export interface GrantPeer {
  readonly isUp: boolean
  /** Null without an answer. */
  askGrant(request: GrantRequest, timeout: number): Promise<GrantAnswer | null>
}

/** Limits, their holders, and the connections to these hosts. */
export interface LimitPeers extends LimitPlan {
  peer(host: string): GrantPeer | null
}

export class CustomerGrants {
  readonly #context: HostContext
  readonly #granter: OwnParts
  readonly #peers: LimitPeers
  readonly #silence = new HolderSilence()
  readonly #uses = new IdleMap<CustomerName, CustomerUse>()

  constructor(context: HostContext, granter: OwnParts, peers: LimitPeers) {
    this.#context = context
    this.#granter = granter
    this.#peers = peers
  }

  async request(customer: CustomerName, limit: OperationLimit): Promise<SearchResult> {
    if (limit.operationsPerSecond === 0) {
      return { kind: 'spent', waitMilliseconds: NO_OPERATIONS_RETRY_MILLISECONDS }
    }
    const now = this.#now
    this.#uses.forgetIdle(now)
    const use = this.#uses.use(customer, () => new CustomerUse())
    use.setLimit(limit)
    const result = use.reserve.take(now) ? GRANTED : await this.#search(customer, use)
    if (result.kind === 'granted') {
      use.reserve.recordUse(this.#now)
      void this.#requestAhead(customer, use)
    }
    return result
  }

  get #now(): Milliseconds {
    return this.#context.clock.now()
  }

  #search(customer: CustomerName, use: CustomerUse): Promise<SearchResult> {
    const now = this.#now
    const holders = this.#peers.limitHolders(customer).map(name => ({
      name,
      state: this.#isConnected(name) ? this.#silence.stateOf(name, now) : 'silent',
      spentMilliseconds: use.spentMilliseconds(name, now),
    }))
    const search = new GrantSearch(holders)
    return new Promise(resolve => {
      const advance = (): void => {
        for (const name of search.next()) void ask(name)
        const { result } = search
        if (result !== null) resolve(result)
      }
      const ask = async (name: string): Promise<void> => {
        const answer = await this.#ask(name, { customer }, () => {
          search.expectNone(name)
          advance()
        })
        if (answer.kind === 'spent') use.setSpent(name, answer.waitMilliseconds, this.#now)
        search.receive(name, answer)
        advance()
      }
      advance()
    })
  }

  /** Requests tokens in the background if the reserve needs some, from one holder after the other. */
  async #requestAhead(customer: CustomerName, use: CustomerUse): Promise<void> {
    const sentAt = this.#now
    const count = use.reserve.request(sentAt)
    if (count === 0) return
    const holder = use.nextAhead(this.#peers.limitHolders(customer), name => {
      const state = this.#isConnected(name) ? this.#silence.stateOf(name, sentAt) : 'silent'
      return state === 'ready' || state === 'probed'
    })
    const answer = holder === null ? DECLINED : await this.#ask(holder, { customer, count })
    // A granted answer without a count is for one operation that waits; its holder does not count it as handed ahead.
    const gained = answer.kind === 'granted' ? (answer.count ?? 0) : 0
    if (gained < count) use.moveAhead()
    use.reserve.receive(gained, sentAt, this.#now)
  }

  async #ask(holder: string, request: GrantRequest, onDelay?: () => void): Promise<GrantAnswer> {
    if (holder === this.#context.settings.entryHost) return this.#granter.answer(request)
    const peer = this.#peers.peer(holder)
    if (peer === null) return DECLINED
    const answersLate = this.#silence.answersLate(holder, this.#now)
    this.#silence.recordRequest(holder, this.#now)
    const delay = { isOver: false }
    const stopHedge = startReadTimeout(() => {
      delay.isOver = true
      this.#silence.recordDelay(holder)
      if (!answersLate) onDelay?.()
    }, HEDGE_MILLISECONDS)
    const answer = await peer.askGrant(request, GRANT_TIMEOUT_MILLISECONDS)
    stopHedge()
    if (answer === null) this.#silence.recordSilence(holder, this.#now)
    else if (delay.isOver) this.#silence.recordLateAnswer(holder, this.#now)
    else this.#silence.recordAnswer(holder)
    return answer ?? DECLINED
  }

  #isConnected(holder: string): boolean {
    if (holder === this.#context.settings.entryHost) return true
    return this.#peers.peer(holder)?.isUp === true
  }
}

const GRANTED: SearchResult = { kind: 'granted' }
const DECLINED: GrantAnswer = { kind: 'declined' }
