/**
 * What the store holds and its latest changes, as one host heard of them, for hosts that watch the store through it.
 * Gives the changes after a revision, or everything where the history does not reach so far back.
 */
import { eraOf, type RevisedChange } from '@nutmegcourse/protocol'
import type { Milliseconds } from '@nutmegcourse/shared'

/** Bounds the memory; a host that lags by more changes gets everything. */
const MOST_CHANGES = 2000

/** Changes, and the earliest time at which one of them may have been made; null for no change. */
export interface DatedChanges {
  /** Everything is listed: what is not named does not exist. */
  readonly isWhole: boolean
  readonly changes: readonly RevisedChange[]
  readonly madeSince: Milliseconds | null
}

interface DatedChange {
  readonly change: RevisedChange
  readonly madeSince: Milliseconds
}

export class DirectoryHistory {
  /** The history holds all changes after this revision; null before the first list. */
  #start: number | null = null
  #revision = 0
  #changes: DatedChange[] = []
  /** The latest change of each subject that exists. */
  readonly #standing = new Map<string, DatedChange>()

  /** The store's revision up to which everything is known. */
  get revision(): number {
    return this.#revision
  }

  /** Everything was listed; what came before is not kept. */
  begin(changes: readonly RevisedChange[], revision: number, madeSince: Milliseconds): void {
    this.#start = revision
    this.#revision = revision
    this.#changes = []
    this.#standing.clear()
    for (const change of changes) this.#stand({ change, madeSince })
  }

  /** Everything from the revision known so far up to this one; any of it may have been made as early as `madeSince`. */
  note(changes: readonly RevisedChange[], revision: number, madeSince: Milliseconds): void {
    if (revision <= this.#revision) return
    for (const change of changes) {
      if (change.revision <= this.#revision) continue
      this.#changes.push({ change, madeSince })
      this.#stand({ change, madeSince })
    }
    this.#revision = revision
    const surplus = this.#changes.length - MOST_CHANGES
    if (surplus <= 0) return
    this.#start = this.#changes[surplus - 1]?.change.revision ?? this.#start
    this.#changes = this.#changes.slice(surplus)
  }

  /** What was made after a revision, of each subject the newest only; null where this host knows less. */
  after(revision: number): DatedChanges | null {
    if (this.#start === null) return null
    // The asker knows of a restored store; this host will list it soon.
    if (eraOf(revision) > eraOf(this.#revision)) return null
    if (revision < this.#start) return dated([...this.#standing.values()], true)
    const newest = new Map<string, DatedChange>()
    for (const each of this.#changes) {
      if (each.change.revision <= revision) continue
      const subject = subjectOf(each.change)
      newest.delete(subject)
      newest.set(subject, each)
    }
    return dated([...newest.values()], false)
  }

  #stand(each: DatedChange): void {
    const { change } = each
    const subject = subjectOf(change)
    const isGone =
      change.kind === 'serverGone' || (change.kind === 'record' && change.value === null)
    if (isGone) this.#standing.delete(subject)
    else this.#standing.set(subject, each)
  }
}

function dated(changes: readonly DatedChange[], isWhole: boolean): DatedChanges {
  let madeSince: Milliseconds | null = null
  for (const each of changes) {
    if (madeSince === null || each.madeSince < madeSince) madeSince = each.madeSince
  }
  return { isWhole, changes: changes.map(({ change }) => change), madeSince }
}

function subjectOf(change: RevisedChange): string {
  switch (change.kind) {
    case 'configuration':
      return 'configuration'
    case 'server':
      return `server ${change.entry.server}`
    case 'serverGone':
      return `server ${change.server}`
    case 'record':
      return `record ${change.key}`
    case 'unreadable':
      return `unreadable ${change.key}`
  }
}
