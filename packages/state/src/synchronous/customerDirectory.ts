/** Maps API key digests to customers, and customers to their operation limits. */
import type { Customer, OperationLimit } from '@nutmegcourse/protocol'
import type { CustomerName, KeyDigest } from '@nutmegcourse/shared'
import { customerWeight } from '../slots/slotRequest.js'

export class CustomerDirectory {
  readonly #customerByKey = new Map<KeyDigest, CustomerName>()
  readonly #limits = new Map<CustomerName, OperationLimit>()
  readonly #priorities = new Map<CustomerName, number>()

  /** A key listed for several customers belongs to the first one. */
  constructor(customers: readonly Customer[]) {
    for (const { name, keys, limit, priority } of customers) {
      for (const key of keys) if (!this.#customerByKey.has(key)) this.#customerByKey.set(key, name)
      this.#priorities.set(name, priority)
      if (limit !== null) this.#limits.set(name, limit)
    }
  }

  /** Null for a key that belongs to no customer, or no longer does. */
  customerOf(key: KeyDigest): CustomerName | null {
    return this.#customerByKey.get(key) ?? null
  }

  /** Null for a customer without a limit. */
  limitOf(customer: CustomerName): OperationLimit | null {
    return this.#limits.get(customer) ?? null
  }

  /** The customer's share of a contended server relative to other customers; an unknown one has priority 0. */
  weightOf(customer: CustomerName): number {
    return customerWeight(this.#priorities.get(customer) ?? 0)
  }
}
