/** Maps API key digests to customers, and customers to their operation limits. */
import type { Customer, OperationLimit } from '@nutmegcourse/protocol'
import type { CustomerName, KeyDigest } from '@nutmegcourse/shared'

export class CustomerDirectory {
  readonly #customerByKey = new Map<KeyDigest, CustomerName>()
  readonly #limits = new Map<CustomerName, OperationLimit>()

  /** A key listed for several customers belongs to the first one. */
  constructor(customers: readonly Customer[]) {
    for (const { name, keys, limit } of customers) {
      for (const key of keys) if (!this.#customerByKey.has(key)) this.#customerByKey.set(key, name)
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
}
