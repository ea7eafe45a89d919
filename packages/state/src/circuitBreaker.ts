/**
 * Keeps requests away from a backend server that keeps failing.
 *
 * @internal
 */
import {
  addMilliseconds,
  drawnApart,
  milliseconds,
  type Milliseconds,
  type RandomSource,
} from '@nutmegcourse/shared'

const FAILURES_TO_OPEN = 3
const SHORTEST_PAUSE_MILLISECONDS = 100
const LONGEST_PAUSE_MILLISECONDS = 1000

type BreakerState = 'closed' | 'open' | 'halfOpen'

/**
 * Opens after consecutive failures. After a pause one question is let through; its answer closes
 * the breaker, its failure doubles the pause. The pause is jittered, so that the proxies of a fleet
 * do not all come back to a recovering server at once.
 */
export class CircuitBreaker {
  readonly #random: RandomSource
  #state: BreakerState = 'closed'
  #failures = 0
  #pause = SHORTEST_PAUSE_MILLISECONDS
  #probeAt: Milliseconds = milliseconds(0)

  constructor(random: RandomSource) {
    this.#random = random
  }

  get isClosed(): boolean {
    return this.#state === 'closed'
  }

  /** When a question may be tried; null while the breaker is closed or a try is under way. */
  get probeAt(): Milliseconds | null {
    return this.#state === 'open' ? this.#probeAt : null
  }

  /** Marks that the one question is under way. */
  startProbe(): void {
    if (this.#state === 'open') this.#state = 'halfOpen'
  }

  /** True when this failure opened the breaker. */
  recordFailure(now: Milliseconds): boolean {
    this.#failures += 1
    if (this.#state === 'open') return false
    if (this.#state === 'closed' && this.#failures < FAILURES_TO_OPEN) return false
    const opened = this.#state === 'closed'
    this.#state = 'open'
    this.#probeAt = addMilliseconds(now, drawnApart(this.#pause, this.#random))
    this.#pause = Math.min(this.#pause * 2, LONGEST_PAUSE_MILLISECONDS)
    return opened
  }

  /** True when this success closed the breaker. */
  recordSuccess(): boolean {
    const closed = this.#state !== 'closed'
    this.#state = 'closed'
    this.#failures = 0
    this.#pause = SHORTEST_PAUSE_MILLISECONDS
    return closed
  }
}
