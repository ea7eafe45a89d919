/**
 * Gives each class with waiting requests a minimum share of the slot time, so that none starves.
 *
 * @internal
 */

/** Part of the slot time that each class with waiting requests gets at least. */
export const MINIMUM_SHARE = 0.1
/** A class saves up no more than this, or than its next request needs. */
const MAXIMUM_CREDIT_MILLISECONDS = 100

export class MinimumShare {
  /** Slot time that each class is still owed; negative where it was given more. */
  readonly #credits = new Map<number, number>()

  /** The share that each of this many classes with waiting requests gets. */
  static of(waitingClasses: number): number {
    return Math.min(MINIMUM_SHARE, 1 / Math.max(1, waitingClasses))
  }

  credit(classPriority: number): number {
    return this.#credits.get(classPriority) ?? 0
  }

  isDue(classPriority: number, costMilliseconds: number): boolean {
    return this.credit(classPriority) >= Math.min(costMilliseconds, MAXIMUM_CREDIT_MILLISECONDS)
  }

  /** Slot time was given to any class: each waiting class is owed its share of it. */
  accrue(milliseconds: number, waitingClasses: ReadonlySet<number>): void {
    const owed = milliseconds * MinimumShare.of(waitingClasses.size)
    for (const classPriority of waitingClasses) this.#add(classPriority, owed, waitingClasses)
    for (const [classPriority, credit] of this.#credits) {
      if (credit < 0 && !waitingClasses.has(classPriority)) {
        this.#add(classPriority, owed, waitingClasses)
      }
    }
  }

  /** A class was given slot time because it was due. */
  spend(classPriority: number, milliseconds: number): void {
    this.#credits.set(classPriority, this.credit(classPriority) - milliseconds)
  }

  /** A class was given slot time in its turn, which pays what it is owed but creates no debt. */
  settle(classPriority: number, milliseconds: number): void {
    const credit = this.credit(classPriority)
    if (credit > 0) this.#credits.set(classPriority, Math.max(0, credit - milliseconds))
  }

  /** A class without waiting requests keeps its debt, but no credit. */
  forfeit(classPriority: number): void {
    if (this.credit(classPriority) >= 0) this.#credits.delete(classPriority)
  }

  #add(classPriority: number, milliseconds: number, waitingClasses: ReadonlySet<number>): void {
    const maximum = waitingClasses.has(classPriority) ? MAXIMUM_CREDIT_MILLISECONDS : 0
    const credit = Math.min(maximum, this.credit(classPriority) + milliseconds)
    if (credit === 0) this.#credits.delete(classPriority)
    else this.#credits.set(classPriority, credit)
  }
}
