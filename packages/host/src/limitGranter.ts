/**
 * Grants operations from the parts of customers' limits that this host holds, to every host that requests one.
 *
 * @internal
 */
import { LimitPart } from '@nutmegcourse/state'
import { addMilliseconds, milliseconds, type CustomerName } from '@nutmegcourse/shared'
import type { LimitTolerance, OperationLimit } from '@nutmegcourse/protocol'
import type { HostContext } from './hostContext.js'

export interface GrantRequest {
  readonly customer: CustomerName
}

export type GrantAnswer =
  | { readonly kind: 'granted' }
  /** The part is exhausted; the next operation is available after the wait. */
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

export class LimitGranter {
  readonly #context: HostContext
  readonly #plan: LimitPlan
  readonly #parts = new Map<CustomerName, LimitPart>()
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

  answer({ customer }: GrantRequest): GrantAnswer {
    const { limitTolerance, entryHost } = this.#context.settings
    const limit = this.#plan.limitOf(customer)
    const holders = this.#plan.limitHolders(customer)
    const isHolder = holders.includes(entryHost)
    if (this.#isLeaving || !isHolder || limit === null || limitTolerance === null) {
      return { kind: 'declined' }
    }
    const part = this.#part(customer, limit, holders.length, limitTolerance)
    const waitMilliseconds = part.take(this.#context.clock.now())
    return waitMilliseconds === 0 ? { kind: 'granted' } : { kind: 'spent', waitMilliseconds }
  }

  #part(
    customer: CustomerName,
    limit: OperationLimit,
    parts: number,
    tolerance: LimitTolerance,
  ): LimitPart {
    const existing = this.#parts.get(customer)
    if (existing !== undefined) {
      existing.reconfigure(limit, parts)
      return existing
    }
    const part = new LimitPart(limit, parts, tolerance, this.#refillsFrom)
    this.#parts.set(customer, part)
    return part
  }
}
