/** Pool of callers that probe one proxy. */
import type { SessionCaller } from './sessionCaller.js'

/** No new probe is sent to the proxy while this many are unanswered. */
const MAX_CALLERS = 60

export class ProbePool {
  readonly #make: (index: number) => SessionCaller
  readonly #idle: SessionCaller[] = []
  #made = 0

  constructor(make: (index: number) => SessionCaller) {
    this.#make = make
  }

  /** Returns null if too many callers are in use. */
  acquire(): SessionCaller | null {
    const idle = this.#idle.pop()
    if (idle !== undefined) return idle
    if (this.#made >= MAX_CALLERS) return null
    this.#made += 1
    return this.#make(this.#made)
  }

  release(caller: SessionCaller): void {
    this.#idle.push(caller)
  }
}
