/** Which customer a caller belongs to, and what that customer may ask. */
import type { Customer, OperationLimit } from '@nutmegcourse/protocol'
import type { CustomerName, KeyDigest } from '@nutmegcourse/shared'

export class CustomerDirectory {
  readonly #holders = new Map<KeyDigest, CustomerName>()
  readonly #limits = new Map<CustomerName, OperationLimit>()

  /** A key that several customers hold belongs to the first one. */
  constructor(customers: readonly Customer[]) {
    for (const { name, keys, limit } of customers) {
      for (const key of keys) if (!this.#holders.has(key)) this.#holders.set(key, name)
      if (limit !== null) this.#limits.set(name, limit)
    }
  }

  /** Null for a key that belongs to nobody, or no longer. */
  holderOf(key: KeyDigest): CustomerName | null {
    return this.#holders.get(key) ?? null
  }

  /** Null for a customer without a limit. */
  limitOf(customer: CustomerName): OperationLimit | null {
    return this.#limits.get(customer) ?? null
  }
}
