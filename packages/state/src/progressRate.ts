/**
 * Measures the growth rate of a log.
 *
 * @internal
 */
import type { LogPosition, Milliseconds } from '@nutmegcourse/shared'

/** Rates over shorter spans fluctuate with each batch of records. */
const LEAST_SPAN_MILLISECONDS = 200
const WEIGHT_OF_NEWEST = 0.5

export class ProgressRate {
  #from: { readonly position: LogPosition; readonly at: Milliseconds } | null = null
  #rate: number | null = null

  /** Null until the log has been observed over a long enough span of one term. */
  get recordsPerSecond(): number | null {
    return this.#rate
  }

  record(position: LogPosition, at: Milliseconds): void {
    const from = this.#from
    if (from?.position.term !== position.term) {
      this.#rate = null
      this.#from = { position, at }
      return
    }
    const span = at - from.at
    if (span < LEAST_SPAN_MILLISECONDS) return
    const measured = ((position.offset - from.position.offset) / span) * 1000
    this.#rate =
      this.#rate === null ? measured : this.#rate + (measured - this.#rate) * WEIGHT_OF_NEWEST
    this.#from = { position, at }
  }
}
