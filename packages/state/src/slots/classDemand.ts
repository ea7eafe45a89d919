/**
 * What the callers of one class asked for in the recent past, which is taken for that of the near future.
 *
 * @internal
 */
import type { CustomerName, Milliseconds } from '@nutmegcourse/shared'
import { SlidingTotals } from './slidingTotals.js'

const PERIOD_MILLISECONDS = 2000
/** Demand varies: so much more than in the recent past is to be expected. */
const DEMAND_VARIATION = 1.2

export class ClassDemand {
  readonly #offered = new SlidingTotals<null>(PERIOD_MILLISECONDS)
  readonly #total = new SlidingTotals<null>(PERIOD_MILLISECONDS)
  readonly #byCustomer = new SlidingTotals<CustomerName | null>(PERIOD_MILLISECONDS)
  readonly #weights = new SlidingTotals<null>(PERIOD_MILLISECONDS)

  /** A request was submitted, whether admitted or not. */
  recordOffered(slotMilliseconds: number, now: Milliseconds): void {
    this.#offered.add(null, slotMilliseconds, now)
  }

  recordAdmitted(
    customer: CustomerName | null,
    weight: number,
    slotMilliseconds: number,
    now: Milliseconds,
  ): void {
    this.#total.add(null, slotMilliseconds, now)
    const isFirst = this.#byCustomer.add(customer, slotMilliseconds, now)
    this.#weights.add(null, isFirst ? weight : 0, now)
  }

  /** Slots that the class would keep busy if all were admitted. */
  offeredSlots(now: Milliseconds): number {
    this.#offered.advance(now)
    return this.#offered.rate(null)
  }

  /** Slots that the class keeps busy. */
  slots(now: Milliseconds): number {
    this.#total.advance(now)
    return DEMAND_VARIATION * this.#total.rate(null)
  }

  /** Slots that all customers but this one keep busy. */
  slotsOfOthers(customer: CustomerName | null, now: Milliseconds): number {
    this.#byCustomer.advance(now)
    return Math.max(0, this.slots(now) - DEMAND_VARIATION * this.#byCustomer.rate(customer))
  }

  /** The part of the class that a customer is entitled to while all of its recent customers compete. */
  fairShare(weight: number, now: Milliseconds): number {
    this.#weights.advance(now)
    return weight / Math.max(weight, this.#weights.peak(null))
  }
}
