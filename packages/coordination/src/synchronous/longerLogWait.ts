/**
 * Tells when a change of primary has to wait because the chosen server lacks what a replica was seen to have received,
 * and another server may still bring it.
 *
 * @internal
 */
import { addMilliseconds, type Clock, type Milliseconds } from '@nutmegcourse/shared'
import type { ChoiceFailure, ChosenPrimary } from './primaryChange.js'
import type { ReceivedBound } from './receivedBound.js'

/**
 * How long a server without a log is waited for, which may take over that of a leaving one. Servers that may return with
 * a log are waited for until they count as gone.
 */
const TAKE_OVER_MILLISECONDS = 4000

export class LongerLogWait {
  readonly #received: ReceivedBound
  readonly #clock: Clock
  /** Since when the choice is known to lack something; null if the last one was not. */
  #since: Milliseconds | null = null

  constructor(received: ReceivedBound, clock: Clock) {
    this.#received = received
    this.#clock = clock
  }

  /** Null if the chosen server has reached the bound, or if no unavailable server can supply the missing records. */
  findLacking(chosen: ChosenPrimary): ChoiceFailure | null {
    const { server, position, newestTerm, mayReturn, mayTakeOver } = chosen
    const known = this.#received.beyond(position, newestTerm)
    if (known === null) {
      this.#since = null
      return null
    }
    const now = this.#clock.now()
    this.#since ??= now
    const mayStillTakeOver = now < addMilliseconds(this.#since, TAKE_OVER_MILLISECONDS)
    const awaited = [...mayReturn, ...(mayStillTakeOver ? mayTakeOver : [])]
    return awaited.length === 0 ? null : { kind: 'shortLog', server, position, known, awaited }
  }
}
