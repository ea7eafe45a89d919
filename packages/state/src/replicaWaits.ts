/**
 * Decides whether reads of one class wait for replicas to catch up, from the success of past waits.
 *
 * @internal
 */
import { addMilliseconds, milliseconds, type Milliseconds } from '@nutmegcourse/shared'

const FAILURES_TO_STOP = 3
/** How long no read waits after repeated failures; then a single read tries again. */
const PAUSE_MILLISECONDS = 1000

/**
 * If a replica lags by more than the longest wait, each read would wait in full and then go to the
 * primary anyway. After a few such failures reads stop waiting for a while.
 */
export class ReplicaWaits {
  #failures = 0
  #pausedUntil: Milliseconds = milliseconds(0)

  /** Must be called once per read, before its wait begins. */
  mayStart(now: Milliseconds): boolean {
    if (now < this.#pausedUntil) return false
    if (this.#failures < FAILURES_TO_STOP) return true
    // A single read tries; the others do not wait until it succeeds or the pause ends.
    this.#pausedUntil = addMilliseconds(now, PAUSE_MILLISECONDS)
    return true
  }

  recordSuccess(): void {
    this.#failures = 0
    this.#pausedUntil = milliseconds(0)
  }

  recordFailure(now: Milliseconds): void {
    this.#failures += 1
    if (this.#failures >= FAILURES_TO_STOP) {
      this.#pausedUntil = addMilliseconds(now, PAUSE_MILLISECONDS)
    }
  }
}
