/**
 * The store's current content and its latest changes as one host received them, for the hosts that watch the store
 * through it. Returns the changes after a revision, or the whole content if the history does not reach that far back.
 */
import { eraOf, type RevisedChange } from '@nutmegcourse/protocol'
import type { Milliseconds } from '@nutmegcourse/shared'

/** Bounds memory use; a host that lags by more changes gets the whole content. */
const MAX_CHANGES = 2000

/** Changes of the store, with the earliest time at which one of them may have been made. */
export interface DatedChanges {
  /** The whole content is listed: what is not named does not exist. */
  readonly isWhole: boolean
  readonly changes: readonly RevisedChange[]
  /** The earliest time at which any of the changes may have been made; null if there are none. */
  readonly madeSince: Milliseconds | null
}

interface DatedChange {
  readonly change: RevisedChange
  readonly madeSince: Milliseconds
}

export class DirectoryHistory {
  /** The history holds all changes after this revision; null before the first full list. */
  #startRevision: number | null = null
  #revision = 0
  #changes: DatedChange[] = []
  /** The latest change of each subject that currently exists. */
  readonly #latestBySubject = new Map<string, DatedChange>()

  /** The store revision up to which all changes are known. */
  get revision(): number {
    return this.#revision
  }

  /** Starts anew from a full list; earlier changes are dropped. */
  reset(changes: readonly RevisedChange[], revision: number, madeSince: Milliseconds): void {
    this.#startRevision = revision
    this.#revision = revision
    this.#changes = []
    this.#latestBySubject.clear()
    for (const change of changes) this.#updateLatest({ change, madeSince })
  }

  /**
   * Adds all changes from the revision known so far up to `revision`; any of them may have been made as early as
   * `madeSince`.
   */
  append(changes: readonly RevisedChange[], revision: number, madeSince: Milliseconds): void {
    if (revision <= this.#revision) return
    for (const change of changes) {
      if (change.revision <= this.#revision) continue
      this.#changes.push({ change, madeSince })
      this.#updateLatest({ change, madeSince })
    }
    this.#revision = revision
    const surplus = this.#changes.length - MAX_CHANGES
    if (surplus <= 0) return
    this.#startRevision = this.#changes[surplus - 1]?.change.revision ?? this.#startRevision
    this.#changes = this.#changes.slice(surplus)
  }

  /** The newest change of each subject after a revision; null if this host's knowledge cannot answer that. */
  changesAfter(revision: number): DatedChanges | null {
    if (this.#startRevision === null) return null
    // The revision is of a restored store that this host has not listed yet.
    if (eraOf(revision) > eraOf(this.#revision)) return null
    if (revision < this.#startRevision)
      return toDatedChanges([...this.#latestBySubject.values()], true)
    const newest = new Map<string, DatedChange>()
    for (const each of this.#changes) {
      if (each.change.revision <= revision) continue
      const subject = subjectOf(each.change)
      newest.delete(subject)
      newest.set(subject, each)
    }
    return toDatedChanges([...newest.values()], false)
  }

  #updateLatest(each: DatedChange): void {
    const { change } = each
    const subject = subjectOf(change)
    const isRemoval =
      change.kind === 'serverGone' || (change.kind === 'record' && change.value === null)
    if (isRemoval) this.#latestBySubject.delete(subject)
    else this.#latestBySubject.set(subject, each)
  }
}

function toDatedChanges(changes: readonly DatedChange[], isWhole: boolean): DatedChanges {
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
