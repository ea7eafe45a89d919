/** Reports each planned move to its coordinator once all proxies of this host hold their writes. */
import type { GroupRecord, HeldWrites } from '@nutmegcourse/protocol'
import type { AttemptId, DatabaseId, EntryHostId } from '@nutmegcourse/shared'

export interface MoveReporterOptions {
  /** The newest known records. */
  readonly records: () => readonly GroupRecord[]
  /** Whether every proxy of this host holds its writes; true without proxies. */
  readonly holdsWrites: (held: HeldWrites) => boolean
  readonly send: (coordinator: EntryHostId, held: HeldWrites) => void
}

export class MoveReporter {
  readonly #options: MoveReporterOptions
  readonly #reported = new Map<DatabaseId, AttemptId>()

  constructor(options: MoveReporterOptions) {
    this.#options = options
  }

  /** Called when a record or the set of holding proxies has changed; null stands for any database. */
  check(database: DatabaseId | null): void {
    for (const record of this.#options.records()) {
      if (record.phase.kind !== 'moving') continue
      if (database === null || record.database === database) this.#report(record)
    }
  }

  #report({ database, coordinator, attempt }: GroupRecord): void {
    if (coordinator === null || attempt === null) return
    const held = { database, attempt }
    if (this.#reported.get(database) === attempt || !this.#options.holdsWrites(held)) return
    this.#reported.set(database, attempt)
    this.#options.send(coordinator, held)
  }
}
