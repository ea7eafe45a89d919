/** An open transaction of one session with its uncommitted changes, which only it sees. */
import { err, ok, type Result } from 'neverthrow'
import type { Change } from './logRecord.js'
import type { EventRow, Tables } from './tables.js'
import type { SqlError } from './wire/backendFrames.js'

const duplicateKey = (key: string): SqlError => ({
  code: '23505',
  message: `duplicate key value violates unique constraint "entries_pkey": ${key}`,
})

/** Isolation level read committed: reads see committed data and the changes of this transaction. */
export class Transaction {
  readonly readOnly: boolean
  readonly #tables: Tables
  readonly #changes: Change[] = []
  readonly #inserted = new Set<string>()
  readonly #ownEntries = new Map<string, string | null>()
  readonly #ownEvents: EventRow[] = []

  constructor(tables: Tables, readOnly: boolean) {
    this.#tables = tables
    this.readOnly = readOnly
  }

  entry(key: string): string | null {
    const own = this.#ownEntries.get(key)
    return own !== undefined ? own : (this.#tables.entries.get(key) ?? null)
  }

  entries(): readonly (readonly [string, string])[] {
    const all = new Map<string, string | null>([...this.#tables.entries, ...this.#ownEntries])
    return [...all].flatMap(([key, value]) => (value === null ? [] : [[key, value] as const]))
  }

  /** With a null `id`, all events. */
  events(id: string | null): readonly EventRow[] {
    if (id === null) return [...this.#tables.events, ...this.#ownEvents]
    return [...this.#tables.eventsOf(id), ...this.#ownEvents.filter(event => event.id === id)]
  }

  insert(key: string, value: string): Result<void, SqlError> {
    if (this.entry(key) !== null) return err(duplicateKey(key))
    this.#inserted.add(key)
    this.put(key, value)
    return ok(undefined)
  }

  put(key: string, value: string): void {
    this.#ownEntries.set(key, value)
    this.#changes.push({ kind: 'put', key, value })
  }

  remove(key: string): void {
    this.#ownEntries.set(key, null)
    this.#changes.push({ kind: 'remove', key })
  }

  addEvent(id: string, value: string): void {
    this.#ownEvents.push({ id, value })
    this.#changes.push({ kind: 'addEvent', id, value })
  }

  /**
   * The changes to commit; an error when the committed table holds an inserted key: one that another
   * transaction has committed, or one that this transaction removed before it inserted it again.
   */
  finish(): Result<readonly Change[], SqlError> {
    const duplicate = [...this.#inserted].find(key => this.#tables.entries.has(key))
    return duplicate === undefined ? ok(this.#changes) : err(duplicateKey(duplicate))
  }
}
