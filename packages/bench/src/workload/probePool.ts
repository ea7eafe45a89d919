/** Callers that wait for their turn to probe one proxy. */
import type { SessionCaller } from './sessionCaller.js'

/** Probes that hang longer than this many intervals leave the proxy without new ones. */
const MAX_CALLERS = 60

export class ProbePool {
  readonly #make: (index: number) => SessionCaller
  readonly #idle: SessionCaller[] = []
  #made = 0

  constructor(make: (index: number) => SessionCaller) {
    this.#make = make
  }

  /** Null when too many are under way. */
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
