/**
 * Keeps the newest targets document that this host has received, tracks whether it is still confirmed
 * as the newest, and repairs a store that was restored with an older one.
 * Sans-I/O: takes one message and the time, returns effects.
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
  /** The newest version counts as confirmed for this long after its last confirmation. */
  readonly confirmationMilliseconds: number
}

export const DEFAULT_CONFIGURATION_OPTIONS: ConfigurationOptions = {
  confirmationMilliseconds: 13_000,
}

/** Versions whose change id is kept, to tell a restored store from a change made on top of one. */
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

  /** Milliseconds since the newest version was last confirmed as the store's; null if it never was. */
  confirmationAge(now: Milliseconds): number | null {
    return this.#confirmedAt === null ? null : now - this.#confirmedAt
  }

  confirmed(now: Milliseconds): boolean {
    const age = this.confirmationAge(now)
    return age !== null && age <= this.#options.confirmationMilliseconds
  }

  /**
   * The targets that this host applies: the newest ones while they are confirmed. Without
   * confirmation a newer version may be in force elsewhere, and this host may be the only one that
   * still applies a target loosened by the last change it received; it applies the stricter of that
   * version and the one before.
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
   * The store holds an older version than this host has read: it was restored from an older copy.
   * Without a repair, a change that an operator saw accepted would be lost silently, so the newest
   * document is written back. A document whose version this host knows under another change id was
   * written on top of the restored copy. It was accepted too, so it is not overwritten but given a
   * version above all others.
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

  /** A host that has no change id for the version assumes an older copy, the more common case. */
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
    // A confirmation of the previous version does not apply to this one.
    this.#confirmedAt = null
    this.#remember(document)
  }

  #peerConfirmed(name: DocumentName, askedAt: Milliseconds, ageMilliseconds: number): void {
    if (this.#newest === null) return
    if (name.version !== this.#newest.version || name.changeId !== this.#newest.changeId) return
    // The age counts from the request, so that an answer delayed by a stalled process or a cut link
    // does not make an old confirmation look recent.
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

/** The change id of `version`, from the history that a later document carries. */
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
