/** How many statements one backend server may have in flight. */
import type { Milliseconds } from '@nutmegcourse/shared'

/** Without further refusals a limit grows by one statement in each such period. */
const RECOVERY_MILLISECONDS = 100

export class ConcurrencyLimit {
  readonly #slots: number
  #value: number
  #changedAt = Number.NEGATIVE_INFINITY

  /** `slots`: the number of statements that the server's entry says it processes concurrently. */
  constructor(slots: number) {
    this.#slots = Math.max(1, slots)
    this.#value = this.#slots
  }

  get value(): number {
    return this.#value
  }

  /** `inFlight`: statements in flight when it was sent, itself included. */
  recordAnswer(slotMilliseconds: number, inFlight: number, now: Milliseconds): void {
    const isUsed = slotMilliseconds > 0 && inFlight >= this.#value
    if (!isUsed || this.#value >= this.#slots) return
    if (now < this.#changedAt + RECOVERY_MILLISECONDS) return
    this.#value += 1
    this.#changedAt = now
  }

  /** The server refused a statement because its own queue is full. */
  recordBusy(inFlight: number, now: Milliseconds): void {
    this.#value = Math.max(1, Math.min(this.#value, inFlight) - 1)
    this.#changedAt = now
  }
}
