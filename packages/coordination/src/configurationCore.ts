/**
 * Keeps the newest targets that this host ever learned, tells whether it can still confirm that
 * they are the newest, and mends a store that came back with older ones.
 * Sans-I/O: one message and the time in, effects out.
 */
import { RECENT_CHANGES_KEPT, type VersionedTargets } from '@nutmegcourse/protocol'
import { assertNever, type Milliseconds } from '@nutmegcourse/shared'
import type {
  ConfigurationEffect,
  ConfigurationMessage,
  DocumentName,
} from './configurationMessages.js'
import { stricterTargets } from './stricterTargets.js'

export interface ConfigurationOptions {
  /** Longest time since the newest version was last confirmed. */
  readonly confirmationMilliseconds: number
}

export const DEFAULT_CONFIGURATION_OPTIONS: ConfigurationOptions = {
  confirmationMilliseconds: 13_000,
}

/** Versions whose change is remembered, to tell a restored store from a change made on top of one. */
const REMEMBERED_VERSIONS = 256

export class ConfigurationCore {
  readonly #options: ConfigurationOptions
  readonly #changeIdByVersion = new Map<number, string>()
  #newest: VersionedTargets | null = null
  #previous: VersionedTargets | null = null
  #confirmedAt: Milliseconds | null = null
  #reportedConfirmed = false
  #isRepairing = false

  constructor(options: ConfigurationOptions = DEFAULT_CONFIGURATION_OPTIONS) {
    this.#options = options
  }

  get newest(): VersionedTargets | null {
    return this.#newest
  }

  /** How long ago the newest version was known to be the store's, in milliseconds; null for never. */
  confirmationAge(now: Milliseconds): number | null {
    return this.#confirmedAt === null ? null : now - this.#confirmedAt
  }

  confirmed(now: Milliseconds): boolean {
    const age = this.confirmationAge(now)
    return age !== null && age <= this.#options.confirmationMilliseconds
  }

  /**
   * What this host acts on: the newest targets while it can confirm them. Otherwise something newer
   * may be in force elsewhere, and a host that loosened a target by the last change it saw may be
   * the only one that still does; it keeps to the stricter of that change and the one before.
   */
  inForce(now: Milliseconds): VersionedTargets | null {
    if (this.#newest === null) return null
    if (this.#previous === null || this.confirmed(now)) return this.#newest
    const targets = stricterTargets(this.#newest.targets, this.#previous.targets)
    return { ...this.#newest, targets }
  }

  handle(message: ConfigurationMessage, now: Milliseconds): readonly ConfigurationEffect[] {
    switch (message.kind) {
      case 'storeAnswered':
        return [...this.#storeAnswered(message), ...this.#reportConfirmation(now)]
      case 'learned':
        return [...this.#learn(message.document), ...this.#reportConfirmation(now)]
      case 'peerConfirmed':
        this.#peerConfirmed(message.name, message.askedAt, message.ageMilliseconds)
        return this.#reportConfirmation(now)
      case 'repairEnded':
        this.#isRepairing = false
        return []
      case 'tick':
        return this.#reportConfirmation(now)
      default:
        return assertNever(message)
    }
  }

  #storeAnswered(
    answer: Extract<ConfigurationMessage, { kind: 'storeAnswered' }>,
  ): readonly ConfigurationEffect[] {
    const { document, revision, askedAt } = answer
    if (document !== null && this.#isNewer(document)) {
      this.#adopt(document)
      this.#confirm(askedAt)
      return [{ kind: 'adopt', document }]
    }
    if (this.#newest === null || isSame(document, this.#newest)) {
      this.#confirm(askedAt)
      return []
    }
    return this.#repair(this.#newest, document, revision)
  }

  /**
   * The store holds less than this host once saw: it was restored from an older copy. Seen as an
   * operator, an accepted change would silently be gone. Putting the newest back keeps it in force.
   * A document whose version this host knows to belong to another change was made on top of the
   * restored copy; it was accepted too, so it is not overwritten but moved to a version above all.
   */
  #repair(
    newest: VersionedTargets,
    stored: VersionedTargets | null,
    revision: number,
  ): readonly ConfigurationEffect[] {
    if (this.#isRepairing) return []
    this.#isRepairing = true
    const document = this.#isFork(stored, newest) ? renumberAbove(stored, newest) : newest
    return [{ kind: 'repairStore', document, expectedRevision: revision }]
  }

  /** A host that can not tell takes the document for the older copy that it mostly is. */
  #isFork(stored: VersionedTargets | null, newest: VersionedTargets): stored is VersionedTargets {
    if (stored === null) return false
    const known =
      this.#changeIdByVersion.get(stored.version) ?? recordedChangeId(newest, stored.version)
    return known !== undefined && known !== stored.changeId
  }

  #learn(document: VersionedTargets): readonly ConfigurationEffect[] {
    if (!this.#isNewer(document)) return []
    this.#adopt(document)
    return [{ kind: 'adopt', document }]
  }

  #adopt(document: VersionedTargets): void {
    this.#previous = this.#newest
    this.#newest = document
    // The word that confirmed the former version says nothing of this one.
    this.#confirmedAt = null
    this.#remember(document)
  }

  #peerConfirmed(name: DocumentName, askedAt: Milliseconds, ageMilliseconds: number): void {
    if (this.#newest === null) return
    if (name.version !== this.#newest.version || name.changeId !== this.#newest.changeId) return
    // Counted from the question, so that an answer that was held up in a frozen process or a cut
    // link does not make old knowledge look fresh.
    this.#confirm((askedAt - ageMilliseconds) as Milliseconds)
  }

  #confirm(at: Milliseconds): void {
    if (this.#confirmedAt === null || at > this.#confirmedAt) this.#confirmedAt = at
  }

  #isNewer(document: VersionedTargets): boolean {
    return this.#newest === null || document.version > this.#newest.version
  }

  #remember(document: VersionedTargets): void {
    this.#changeIdByVersion.set(document.version, document.changeId)
    if (this.#changeIdByVersion.size <= REMEMBERED_VERSIONS) return
    const [oldest] = this.#changeIdByVersion.keys()
    if (oldest !== undefined) this.#changeIdByVersion.delete(oldest)
  }

  #reportConfirmation(now: Milliseconds): readonly ConfigurationEffect[] {
    const confirmed = this.confirmed(now)
    if (confirmed === this.#reportedConfirmed) return []
    this.#reportedConfirmed = confirmed
    return [{ kind: 'confirmationChanged', confirmed }]
  }
}

/** The change that `version` was, by the history that a later document carries. */
function recordedChangeId(document: VersionedTargets, version: number): string | undefined {
  return document.recentChangeIds.at(version - document.version)
}

function renumberAbove(change: VersionedTargets, newest: VersionedTargets): VersionedTargets {
  const recentChangeIds = [...newest.recentChangeIds, newest.changeId].slice(-RECENT_CHANGES_KEPT)
  return { ...change, version: newest.version + 1, recentChangeIds }
}

function isSame(left: VersionedTargets | null, right: VersionedTargets): boolean {
  return left !== null && left.version === right.version && left.changeId === right.changeId
}
