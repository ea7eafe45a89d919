/**
 * How often something happened to each customer in the recent past.
 *
 * @internal
 */
import type { CustomerName, Milliseconds } from '@nutmegcourse/shared'
import { SlidingTotals } from '@nutmegcourse/state'

/** The same as that of customers' shares of slot time. */
const PERIOD_MILLISECONDS = 10_000

const SECOND_MILLISECONDS = 1000

export class CustomerTally {
  readonly #totals = new SlidingTotals<CustomerName>(PERIOD_MILLISECONDS)

  /** Without effect where customers are not distinguished. */
  count(customer: CustomerName | null, now: Milliseconds): void {
    if (customer !== null) this.#totals.add(customer, 1, now)
  }

  /** Only customers to which it happened recently. */
  perSecond(now: Milliseconds): ReadonlyMap<CustomerName, number> {
    this.#totals.advance(now)
    const rates = [...this.#totals.keys()].map(
      customer => [customer, this.#totals.rate(customer) * SECOND_MILLISECONDS] as const,
    )
    return new Map(rates.filter(([, rate]) => rate > 0))
  }
}
