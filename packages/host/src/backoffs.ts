/**
 * Backoffs by key, such as hosts that did not answer or limits that are exhausted: a key is not to be tried again until
 * its backoff has expired.
 *
 * @internal
 */
import { addMilliseconds, type Clock, type Milliseconds } from '@nutmegcourse/shared'

export class Backoffs<Name> {
  readonly #clock: Clock
  readonly #until = new Map<Name, Milliseconds>()

  constructor(clock: Clock) {
    this.#clock = clock
  }

  begin(name: Name, milliseconds: number): void {
    this.#until.set(name, addMilliseconds(this.#clock.now(), milliseconds))
  }

  /** Milliseconds until the backoff of `name` expires; 0 if there is none. */
  remainingMilliseconds(name: Name): number {
    const until = this.#until.get(name)
    if (until === undefined) return 0
    const remaining = until - this.#clock.now()
    if (remaining > 0) return remaining
    this.#until.delete(name)
    return 0
  }
}
