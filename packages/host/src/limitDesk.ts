/**
 * The parts of customers' limits that this host holds: grants operations to every host that asks.
 *
 * @internal
 */
import { LimitPart } from '@nutmegcourse/state'
import { addMilliseconds, milliseconds, type CustomerName } from '@nutmegcourse/shared'
import type { LimitTolerance, OperationLimit } from '@nutmegcourse/protocol'
import type { HostContext } from './hostContext.js'

export interface GrantQuestion {
  readonly customer: CustomerName
}

export type GrantAnswer =
  | { readonly kind: 'granted' }
  /** The part is used up for so long. */
  | { readonly kind: 'spent'; readonly waitMilliseconds: number }
  /** This host holds no part, or knows of no limit. */
  | { readonly kind: 'declined' }

/** What the desk has to know of the fleet. */
export interface LimitPlan {
  limitOf(customer: CustomerName): OperationLimit | null
  /** The hosts that hold a part, in the order in which to ask them; this host may be one of them. */
  limitHolders(customer: CustomerName): readonly string[]
}

/** Clocks begin with their process. Whatever ran at this host before granted nothing since. */
const PROCESS_START = milliseconds(0)

export class LimitDesk {
  readonly #context: HostContext
  readonly #plan: LimitPlan
  readonly #parts = new Map<CustomerName, LimitPart>()
  #fillsSince = PROCESS_START
  #isLeaving = false

  constructor(context: HostContext, plan: LimitPlan) {
    this.#context = context
    this.#plan = plan
  }

  /**
   * Other hosts have not known this one before. Until they hear of it, the host whose place it takes may go on
   * granting the same part.
   */
  joined(): void {
    const { clock, settings } = this.#context
    this.#parts.clear()
    this.#fillsSince = addMilliseconds(clock.now(), settings.configurationMilliseconds)
  }

  /** This host stops: its parts pass to other hosts. */
  leave(): void {
    this.#isLeaving = true
  }

  answer({ customer }: GrantQuestion): GrantAnswer {
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
    const known = this.#parts.get(customer)
    if (known !== undefined) {
      known.divide(limit, parts)
      return known
    }
    const part = new LimitPart(limit, parts, tolerance, this.#fillsSince)
    this.#parts.set(customer, part)
    return part
  }
}
