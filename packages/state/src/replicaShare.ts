/**
 * Keeps one class's share of replica reads at, and not above, the share that its targets permit,
 * as long as the primary can serve the rest.
 *
 * @internal
 */

/**
 * Most replica turns that are made up for after no replica qualified, as during a change of
 * primary. The share over all reads is never exceeded by that; a higher value would send every read
 * to replicas for too long.
 */
const MOST_CREDIT = 20
/** Most replica reads above the share, for lack of a primary, that are compensated afterwards. */
const MOST_DEBT = -2
/** Tolerance for floating-point sums of shares such as 0.1, which fall short of whole numbers. */
const ROUNDING = 1e-9

/**
 * A deficit counter: every read adds the permitted share as credit, every replica read costs one
 * credit. Of N reads at most N times the share, rounded down, go to replicas, except for reads that
 * replicas serve in place of an unusable or unresponsive primary.
 */
export class ReplicaShare {
  #credit = 0

  /** Counts a read and returns the role that should serve it. */
  takeTurn(permitted: number): 'replica' | 'primary' {
    this.#credit = Math.min(this.#credit + permitted, MOST_CREDIT)
    if (this.#credit < 1 - ROUNDING) return 'primary'
    this.#credit -= 1
    return 'replica'
  }

  /** Returns the credit of a read that was assigned to a replica but went to the primary. */
  refund(): void {
    this.#credit = Math.min(this.#credit + 1, MOST_CREDIT)
  }

  /** Charges a read that was assigned to the primary but went to a replica. */
  overdraw(): void {
    this.#credit = Math.max(this.#credit - 1, MOST_DEBT)
  }
}
