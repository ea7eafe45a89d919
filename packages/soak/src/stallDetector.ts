/**
 * Detects stalls of this process. The servers and the store run in it, so during a stall none of them
 * responds to the hosts. Failed statements caused by a stall are not findings during planned operations.
 */

const CHECK_INTERVAL_MILLISECONDS = 50
const STALL_THRESHOLD_MILLISECONDS = 250

export interface Stall {
  /** When the stall ended. */
  readonly at: string
  readonly milliseconds: number
}

export class StallDetector {
  readonly #stalls: Stall[] = []
  readonly #timer: NodeJS.Timeout
  #lastCheckedAt = performance.now()
  #lastStallEndedAt = Number.NEGATIVE_INFINITY

  constructor() {
    this.#timer = setInterval(() => {
      this.#check()
    }, CHECK_INTERVAL_MILLISECONDS)
  }

  get stalls(): readonly Stall[] {
    return this.#stalls
  }

  /** Checks first, as below. */
  get lastStallEndedAt(): number {
    this.#check()
    return this.#lastStallEndedAt
  }

  /** Whether a stall ended at or after `time`. Checks first, since the timer may not have run yet. */
  hasStalledSince(time: number): boolean {
    this.#check()
    return this.#lastStallEndedAt >= time
  }

  close(): void {
    clearInterval(this.#timer)
  }

  #check(): void {
    const now = performance.now()
    const milliseconds = Math.round(now - this.#lastCheckedAt)
    this.#lastCheckedAt = now
    if (milliseconds <= STALL_THRESHOLD_MILLISECONDS) return
    this.#lastStallEndedAt = now
    this.#stalls.push({ at: new Date().toISOString(), milliseconds })
  }
}
