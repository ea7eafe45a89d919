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

/** Pause after a failed test, and after one that succeeded and does not end the term. */
const FAILED_TEST_PAUSE_MILLISECONDS = 500
const TEST_PAUSE_MILLISECONDS = 200

/**
 * So many tests that succeed one after the other end a longer term early: a server that fails a third of its statements
 * seldom passes them, and one that has recovered has within 2 s.
 */
const CONVINCING_TESTS = 5

/** Time for the chosen statement to get a connection, while which no other one is chosen. */
const RESERVATION_MILLISECONDS = 250

const NEVER = milliseconds(Number.NEGATIVE_INFINITY)

export class EjectionTerm {
  #since: Milliseconds | null = null
  /** When the first success ends it. */
  #untilAt = NEVER
  #countsFrom = NEVER
  #nextTestAt = NEVER
  #successes = 0
  #endedAt = NEVER
  #termMilliseconds = 0
  #reservedUntil = NEVER
  #openTests = 0

  get isEjected(): boolean {
    return this.#since !== null
  }

  /** Statements sent earlier than this tell nothing about the server any more. */
  get countsFrom(): Milliseconds {
    return this.#countsFrom
  }

  /** Returns for how long. */
  begin(now: Milliseconds): number {
    const isRepeated = now < addMilliseconds(this.#endedAt, MEMORY_MILLISECONDS)
    this.#termMilliseconds = isRepeated
      ? Math.min(this.#termMilliseconds * 2, LONGEST_TERM_MILLISECONDS)
      : FIRST_TERM_MILLISECONDS
    this.#since = now
    this.#untilAt = addMilliseconds(now, this.#termMilliseconds)
    this.#testFrom(addMilliseconds(now, FIRST_TERM_MILLISECONDS))
    return this.#termMilliseconds
  }

  /** Returns how long it lasted. */
  end(now: Milliseconds): number {
    const lasted = now - (this.#since ?? now)
    this.#since = null
    this.#endedAt = now
    return lasted
  }

  /** Whether it is time for a test and no statement tests the server. */
  mayTest(now: Milliseconds): boolean {
    if (this.#since === null || now < this.#nextTestAt) return false
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

  /** Whether the ejection may end. Successes in quick succession, such as of writes at a primary, count as one. */
  testSucceeded(now: Milliseconds): boolean {
    if (now >= this.#untilAt) return true
    if (now < this.#nextTestAt) return false
    this.#successes += 1
    this.#nextTestAt = addMilliseconds(now, TEST_PAUSE_MILLISECONDS)
    return this.#successes >= CONVINCING_TESTS
  }

  testFailed(now: Milliseconds): void {
    this.#testFrom(addMilliseconds(now, FAILED_TEST_PAUSE_MILLISECONDS))
  }

  #testFrom(start: Milliseconds): void {
    this.#countsFrom = start
    this.#nextTestAt = start
    this.#successes = 0
  }
}
