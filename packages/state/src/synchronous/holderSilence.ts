/** Which holders of limits do not answer. */
import { addMilliseconds, type Milliseconds } from '@nutmegcourse/shared'
import type { HolderState } from './grantSearch.js'

/** A holder that did not answer is not asked for this long, and then by one operation only. */
const SILENCE_MILLISECONDS = 1000

/** A holder that answered late is expected to do so again for this long. */
const LATENESS_MILLISECONDS = 1000

export class HolderSilence {
  readonly #late = new Set<string>()
  readonly #silentUntil = new Map<string, Milliseconds>()
  readonly #answersLateUntil = new Map<string, Milliseconds>()

  stateOf(holder: string, now: Milliseconds): HolderState {
    const until = this.#silentUntil.get(holder)
    if (until !== undefined) return now < until ? 'silent' : 'probed'
    return this.#late.has(holder) || this.answersLate(holder, now) ? 'slow' : 'ready'
  }

  /**
   * Whether it answers, but late. Another holder is not to be asked meanwhile: both would grant the operation, and one of
   * the tokens would be lost to the customer.
   */
  answersLate(holder: string, now: Milliseconds): boolean {
    return now < (this.#answersLateUntil.get(holder) ?? now)
  }

  /** A request was sent. While a holder is probed, nothing else is sent to it. */
  recordRequest(holder: string, now: Milliseconds): void {
    if (this.#silentUntil.has(holder)) this.recordSilence(holder, now)
  }

  /** Its answer takes longer than a round trip should. */
  recordDelay(holder: string): void {
    this.#late.add(holder)
  }

  recordAnswer(holder: string): void {
    this.#late.delete(holder)
    this.#answersLateUntil.delete(holder)
    this.#silentUntil.delete(holder)
  }

  recordLateAnswer(holder: string, now: Milliseconds): void {
    this.recordAnswer(holder)
    this.#answersLateUntil.set(holder, addMilliseconds(now, LATENESS_MILLISECONDS))
  }

  recordSilence(holder: string, now: Milliseconds): void {
    this.#late.delete(holder)
    this.#answersLateUntil.delete(holder)
    this.#silentUntil.set(holder, addMilliseconds(now, SILENCE_MILLISECONDS))
  }
}
