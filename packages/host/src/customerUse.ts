/**
 * What a host knows of one customer's limit: the tokens at hand, and which parts are exhausted.
 *
 * @internal
 */
import type { OperationLimit } from '@nutmegcourse/protocol'
import { addMilliseconds, type Milliseconds } from '@nutmegcourse/shared'
import { GrantReserve } from '@nutmegcourse/state'

export class CustomerUse {
  readonly reserve = new GrantReserve()
  readonly #spentUntil = new Map<string, Milliseconds>()
  #limit: OperationLimit | null = null
  /** How many holders have been asked for tokens ahead and gave fewer than requested. */
  #moves = 0

  /** After a change of the limit the parts are exhausted for another time than they said. */
  setLimit(limit: OperationLimit): void {
    const { operationsPerSecond, burst } = limit
    const known = this.#limit
    if (known?.operationsPerSecond !== operationsPerSecond || known.burst !== burst) {
      this.#spentUntil.clear()
    }
    this.#limit = limit
  }

  setSpent(holder: string, waitMilliseconds: number, now: Milliseconds): void {
    this.#spentUntil.set(holder, addMilliseconds(now, waitMilliseconds))
  }

  /** Until the part of a holder has an operation again; 0 if it is not known to be exhausted. */
  spentMilliseconds(holder: string, now: Milliseconds): number {
    return Math.max(0, (this.#spentUntil.get(holder) ?? now) - now)
  }

  /** The holder to ask for tokens ahead: the nearest, or the next one after each that had too few. Null for none. */
  nextAhead(holders: readonly string[], isUsable: (holder: string) => boolean): string | null {
    const first = this.#moves % Math.max(1, holders.length)
    const inOrder = [...holders.slice(first), ...holders.slice(0, first)]
    return inOrder.find(isUsable) ?? null
  }

  moveAhead(): void {
    this.#moves += 1
  }

  isIdle(now: Milliseconds): boolean {
    return this.reserve.isIdle(now) && [...this.#spentUntil.values()].every(until => until <= now)
  }
}
