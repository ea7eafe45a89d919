/**
 * Circuit breaker that keeps requests away from a failing backend server.
 *
 * @internal
 */
import {
  addMilliseconds,
  jittered,
  milliseconds,
  type Milliseconds,
  type RandomSource,
} from '@nutmegcourse/shared'

const FAILURES_TO_OPEN = 3
const SHORTEST_PAUSE_MILLISECONDS = 100
const LONGEST_PAUSE_MILLISECONDS = 1000

type BreakerState = 'closed' | 'open' | 'halfOpen'

/**
 * Opens after consecutive failures. After a pause one position question is sent as a probe: an
 * answer closes the breaker, a failure doubles the pause. The pause is jittered, so that the
 * proxies of a fleet do not all return to a recovering server at once.
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

  /** When the next probe may be sent; null while the breaker is closed or a probe is open. */
  get probeAt(): Milliseconds | null {
    return this.#state === 'open' ? this.#probeAt : null
  }

  /** Marks the probe as sent. Does nothing unless the breaker is open. */
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
    this.#probeAt = addMilliseconds(now, jittered(this.#pause, this.#random))
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
