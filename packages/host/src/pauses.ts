/**
 * Things that are left alone for a while, each by its name: hosts that did not answer, limits that are used up.
 *
 * @internal
 */
import { addMilliseconds, type Clock, type Milliseconds } from '@nutmegcourse/shared'

export class Pauses<Name> {
  readonly #clock: Clock
  readonly #until = new Map<Name, Milliseconds>()

  constructor(clock: Clock) {
    this.#clock = clock
  }

  begin(name: Name, span: number): void {
    this.#until.set(name, addMilliseconds(this.#clock.now(), span))
  }

  /** Milliseconds until the pause is over; 0 when there is none. */
  left(name: Name): number {
    const until = this.#until.get(name)
    if (until === undefined) return 0
    const left = until - this.#clock.now()
    if (left > 0) return left
    this.#until.delete(name)
    return 0
  }
}
