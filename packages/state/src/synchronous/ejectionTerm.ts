/**
 * How long a backend server is left out, and when one statement may test whether it is well again.
 *
 * @internal
 */
import { addMilliseconds, milliseconds, type Milliseconds } from '@nutmegcourse/shared'

const FIRST_TERM_MILLISECONDS = 500
const LONGEST_TERM_MILLISECONDS = 8000

/** An ejection that follows the end of another one within this time lasts twice as long. */
const MEMORY_MILLISECONDS = 10_000

/** Pause after a failed test; the server is given back within a second or so of its recovery. */
const TEST_PAUSE_MILLISECONDS = 500

/** Time for the chosen statement to get a connection, while which no other one is chosen. */
const RESERVATION_MILLISECONDS = 250

const NEVER = milliseconds(Number.NEGATIVE_INFINITY)

export class EjectionTerm {
  #since: Milliseconds | null = null
  #untilAt = NEVER
  #endedAt = NEVER
  #termMilliseconds = 0
  #reservedUntil = NEVER
  #openTests = 0

  get isEjected(): boolean {
    return this.#since !== null
  }

  /** Statements sent earlier than this tell nothing about the server any more. */
  get countsFrom(): Milliseconds {
    return this.#untilAt
  }

  /** Returns for how long. */
  begin(now: Milliseconds): number {
    const isRepeated = now < addMilliseconds(this.#endedAt, MEMORY_MILLISECONDS)
    this.#termMilliseconds = isRepeated
      ? Math.min(this.#termMilliseconds * 2, LONGEST_TERM_MILLISECONDS)
      : FIRST_TERM_MILLISECONDS
    this.#since = now
    this.#untilAt = addMilliseconds(now, this.#termMilliseconds)
    return this.#termMilliseconds
  }

  /** Returns how long it lasted. */
  end(now: Milliseconds): number {
    const lasted = now - (this.#since ?? now)
    this.#since = null
    this.#endedAt = now
    return lasted
  }

  /** Whether the term is over and no statement tests the server. */
  mayTest(now: Milliseconds): boolean {
    if (this.#since === null || now < this.#untilAt) return false
    return this.#openTests === 0 && now >= this.#reservedUntil
  }

  reserveTest(now: Milliseconds): void {
    this.#reservedUntil = addMilliseconds(now, RESERVATION_MILLISECONDS)
  }

  noteTestSent(): void {
    this.#openTests += 1
  }

  noteTestEnded(): void {
    this.#openTests -= 1
    this.#reservedUntil = NEVER
  }

  testFailed(now: Milliseconds): void {
    this.#untilAt = addMilliseconds(now, TEST_PAUSE_MILLISECONDS)
  }
}
