/**
 * What a host knows of one customer's limit: the tokens at hand, and which parts are exhausted.
 *
 * @internal
 */
import type { OperationLimit } from '@nutmegcourse/protocol'
import { addMilliseconds, type Milliseconds } from '@nutmegcourse/shared'
import { GrantReserve } from '@nutmegcourse/state'

/**
 * An exhausted part is asked again after this time at the latest: its holder may have learned of a higher limit since,
 * later than this host.
 */
const SPENT_KNOWN_MILLISECONDS = 1000

interface SpentPart {
  readonly until: Milliseconds
  readonly knownUntil: Milliseconds
}

export class CustomerUse {
  readonly reserve = new GrantReserve()
  readonly #spent = new Map<string, SpentPart>()
  #limit: OperationLimit | null = null
  /** How many holders have been asked for tokens ahead and gave fewer than requested. */
  #moves = 0

  /** After a change of the limit the parts are exhausted for another time than they said. */
  setLimit(limit: OperationLimit): void {
    const { operationsPerSecond, burst } = limit
    const known = this.#limit
    if (known?.operationsPerSecond !== operationsPerSecond || known.burst !== burst) {
      this.#spent.clear()
    }
    this.#limit = limit
  }

  setSpent(holder: string, waitMilliseconds: number, now: Milliseconds): void {
    this.#spent.set(holder, {
      until: addMilliseconds(now, waitMilliseconds),
      knownUntil: addMilliseconds(now, SPENT_KNOWN_MILLISECONDS),
    })
  }

  /** Until the part of a holder has an operation again; 0 if it is not known to be exhausted. */
  spentMilliseconds(holder: string, now: Milliseconds): number {
    const spent = this.#spent.get(holder)
    if (spent === undefined || spent.knownUntil <= now) return 0
    return Math.max(0, spent.until - now)
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
    const isAnySpent = [...this.#spent.keys()].some(
      holder => this.spentMilliseconds(holder, now) > 0,
    )
    return this.reserve.isIdle(now) && !isAnySpent
  }
}
