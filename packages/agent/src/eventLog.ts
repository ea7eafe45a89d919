/** The most recent steps of changes of primary in which this agent took part, for `explain`. */
import type { FailoverEvent } from '@nutmegcourse/coordination'
import type { ExplainedEvent } from '@nutmegcourse/protocol'
import type { DatabaseId, EntryHostId } from '@nutmegcourse/shared'

const MAX_EVENTS_PER_DATABASE = 100

export class EventLog {
  readonly #entryHost: EntryHostId
  readonly #events = new Map<DatabaseId, ExplainedEvent[]>()

  constructor(entryHost: EntryHostId) {
    this.#entryHost = entryHost
  }

  add(event: FailoverEvent): void {
    const events = this.#events.get(event.database) ?? []
    this.#events.set(event.database, events)
    events.push({
      entryHost: this.#entryHost,
      at: Math.round(performance.timeOrigin + event.at),
      step: event.step,
      term: event.term,
      detail: event.detail,
    })
    if (events.length > MAX_EVENTS_PER_DATABASE) events.shift()
  }

  of(database: DatabaseId): readonly ExplainedEvent[] {
    return this.#events.get(database) ?? []
  }
}
