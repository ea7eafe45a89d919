/**
 * Grants operations from the parts of customers' limits that this host holds, to every host that requests one.
 *
 * @internal
 */
import { IdleMap, LimitPart, TokensAhead } from '@nutmegcourse/state'
import {
  addMilliseconds,
  milliseconds,
  type CustomerName,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type { LimitTolerance, OperationLimit } from '@nutmegcourse/protocol'
import type { HostContext } from './hostContext.js'

export interface GrantRequest {
  readonly customer: CustomerName
  /**
   * Operations to hand ahead, for use within `AHEAD_MILLISECONDS` after the request was sent. Without it, one operation
   * that waits for the answer is requested.
   */
  readonly count?: number
}

export type GrantAnswer =
  /** `count`: the operations that are handed ahead, if the request has a count. */
  | { readonly kind: 'granted'; readonly count?: number }
  /** The part is exhausted; the next operation is available after the wait. 0 if it has some, but none to hand ahead. */
  | { readonly kind: 'spent'; readonly waitMilliseconds: number }
  /** This host holds no part, is stopping, or knows no limit for the customer. */
  | { readonly kind: 'declined' }

/** Limits of customers, and the hosts that hold parts of them. */
export interface LimitPlan {
  limitOf(customer: CustomerName): OperationLimit | null
  /** The hosts that hold a part, in the order in which they are asked; this host may be one of them. */
  limitHolders(customer: CustomerName): readonly string[]
}

/** The clock starts at 0 with the process; an earlier process on this host has granted nothing since then. */
const PROCESS_START = milliseconds(0)

/** For a customer with a limit of 0. Its limit may be raised, so hosts ask again. */
const NOTHING_TO_GRANT: GrantAnswer = { kind: 'spent', waitMilliseconds: 1000 }

/** Answers for the parts that this host holds. */
export type OwnParts = Pick<LimitGranter, 'answer'>

export class LimitGranter {
  readonly #context: HostContext
  readonly #plan: LimitPlan
  readonly #parts = new IdleMap<CustomerName, LimitPart>()
  #refillsFrom = PROCESS_START
  #isLeaving = false

  constructor(context: HostContext, plan: LimitPlan) {
    this.#context = context
    this.#plan = plan
  }

  /**
   * Called when this host has registered as one that the others did not know. Until they have received the change, the
   * host that it replaces may continue to grant the same part, so the part is refilled only after that time.
   */
  joined(): void {
    const { clock, settings } = this.#context
    this.#parts.clear()
    this.#refillsFrom = addMilliseconds(clock.now(), settings.configurationMilliseconds)
  }

  /** Declines all further requests, because this host stops and its parts pass to other hosts. */
  leave(): void {
    this.#isLeaving = true
  }

  answer({ customer, count }: GrantRequest): GrantAnswer {
    const { limitTolerance, entryHost, schedulesSlots } = this.#context.settings
    const limit = this.#plan.limitOf(customer)
    const holders = this.#plan.limitHolders(customer)
    const isHolder = holders.includes(entryHost)
    if (this.#isLeaving || !isHolder || limit === null || limitTolerance === null) {
      return { kind: 'declined' }
    }
    if (schedulesSlots && limit.operationsPerSecond === 0) return NOTHING_TO_GRANT
    const now = this.#context.clock.now()
    if (schedulesSlots) this.#parts.forgetIdle(now)
    const part = this.#part(customer, limit, holders.length, limitTolerance)
    if (schedulesSlots && count !== undefined) return handAhead(part, count, now)
    const waitMilliseconds = part.take(now)
    return waitMilliseconds === 0 ? { kind: 'granted' } : { kind: 'spent', waitMilliseconds }
  }

  #part(
    customer: CustomerName,
    limit: OperationLimit,
    parts: number,
    tolerance: LimitTolerance,
  ): LimitPart {
    const part = this.#parts.use(customer, () => {
      const { schedulesSlots } = this.#context.settings
      const ahead = schedulesSlots ? new TokensAhead(this.#refillsFrom) : null
      return new LimitPart(limit, parts, tolerance, this.#refillsFrom, ahead)
    })
    part.reconfigure(limit, parts)
    return part
  }
}

function handAhead(part: LimitPart, count: number, now: Milliseconds): GrantAnswer {
  const taken = part.takeAhead(count, now)
  return taken === 0 ? { kind: 'spent', waitMilliseconds: 0 } : { kind: 'granted', count: taken }
}
