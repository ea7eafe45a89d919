/**
 * The limits of customers as this host enforces them, where some may not be valid.
 *
 * @internal
 */
import type { Customer, OperationLimit } from '@nutmegcourse/protocol'
import type { CustomerName } from '@nutmegcourse/shared'
import { isValidLimit, limitInForce } from '@nutmegcourse/state'
import type { HostContext } from './hostContext.js'

export class LimitsInForce {
  readonly #context: HostContext
  /** Customers whose limits were logged as invalid and have not been valid since. */
  #invalid: ReadonlySet<CustomerName> = new Set()

  constructor(context: HostContext) {
    this.#context = context
  }

  /** Logs limits of a new configuration that became invalid. */
  check(customers: readonly Customer[]): void {
    if (!this.#context.settings.schedulesSlots) return
    const invalid = customers.filter(({ limit }) => limit !== null && !isValidLimit(limit))
    for (const { name, limit } of invalid) {
      if (this.#invalid.has(name)) continue
      const operationsPerSecond = limit?.isUnreadable === true ? null : limit?.operationsPerSecond
      this.#context.log.write('limit_invalid', { customer: name, operationsPerSecond })
    }
    this.#invalid = new Set(invalid.map(({ name }) => name))
  }

  of(limit: OperationLimit | null): OperationLimit | null {
    if (limit === null) return null
    if (this.#context.settings.schedulesSlots) return limitInForce(limit)
    return limit.isUnreadable === true ? null : limit
  }
}
