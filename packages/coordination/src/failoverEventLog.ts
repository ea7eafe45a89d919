/** Keeps the steps of a database's changes of primary for `nutmegcoursectl explain` and the log. */
import type { DatabaseId, Milliseconds, Term } from '@nutmegcourse/shared'

import type { FailoverClock } from './failoverClock.js'
import type { FailoverEvent } from './failoverMessages.js'
import type { FailoverEffectQueue } from './failoverEffectQueue.js'

const MAX_EVENTS = 200

export class FailoverEventLog {
  readonly #database: DatabaseId
  readonly #clock: FailoverClock
  readonly #effects: FailoverEffectQueue
  readonly #events: FailoverEvent[] = []

  constructor(database: DatabaseId, clock: FailoverClock, effects: FailoverEffectQueue) {
    this.#database = database
    this.#clock = clock
    this.#effects = effects
  }

  /** The most recent steps, oldest first. */
  get events(): readonly FailoverEvent[] {
    return this.#events
  }

  append(step: FailoverEvent['step'], term: Term, detail: string, now: Milliseconds): void {
    const at = this.#clock.toClockTime(now)
    const event = { at, database: this.#database, step, term, detail }
    this.#events.push(event)
    if (this.#events.length > MAX_EVENTS) this.#events.shift()
    this.#effects.emit({ kind: 'event', event })
  }
}
