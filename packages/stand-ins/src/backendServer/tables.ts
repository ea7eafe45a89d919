/** The two tables of a backend server, built by applying its log. */
import { assertNever } from '@nutmegcourse/shared'
import type { Change } from './logRecord.js'

export interface EventRow {
  readonly id: string
  readonly value: string
}

export class Tables {
  readonly entries = new Map<string, string>()
  readonly events: EventRow[] = []
  readonly #eventsById = new Map<string, EventRow[]>()

  apply(changes: readonly Change[]): void {
    for (const change of changes) this.#applyOne(change)
  }

  clear(): void {
    this.entries.clear()
    this.events.length = 0
    this.#eventsById.clear()
  }

  eventsOf(id: string): readonly EventRow[] {
    return this.#eventsById.get(id) ?? []
  }

  #addEvent(event: EventRow): void {
    this.events.push(event)
    const sameId = this.#eventsById.get(event.id)
    if (sameId === undefined) this.#eventsById.set(event.id, [event])
    else sameId.push(event)
  }

  #applyOne(change: Change): void {
    switch (change.kind) {
      case 'put':
        this.entries.set(change.key, change.value)
        return
      case 'remove':
        this.entries.delete(change.key)
        return
      case 'addEvent':
        this.#addEvent({ id: change.id, value: change.value })
        return
      default:
        assertNever(change)
    }
  }
}
