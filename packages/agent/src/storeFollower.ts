/** Reads the store for this host, and for the others when this host is one of those that do. */
import {
  CONFIGURATION_KEY_PREFIX,
  GROUP_KEY_PREFIX,
  TARGETS_KEY,
  readGroupRecord,
  type GossipItem,
  type StoredValue,
  type VersionedTargets,
} from '@nutmegcourse/protocol'
import type { Clock, Milliseconds } from '@nutmegcourse/shared'
import type { StoreClient } from '@nutmegcourse/transport'
import { readDrains, readTargetsDocument } from './configurationStore.js'
import { StoreWatch } from './storeWatch.js'

export interface StoreFollowerListener {
  learned(item: GossipItem): void
  /** The store's targets as of `askedAt`. */
  targetsRead(document: VersionedTargets | null, revision: number, askedAt: Milliseconds): void
  /** A value that no agent can use; operators see it in the log. */
  unreadable(key: string): void
}

export class StoreFollower {
  readonly #configuration: StoreWatch
  readonly #groups: StoreWatch
  readonly #listener: StoreFollowerListener
  #targets: StoredValue | null = null
  #reachable = false
  #reportedRevision = 0

  constructor(client: StoreClient, clock: Clock, listener: StoreFollowerListener) {
    this.#listener = listener
    this.#configuration = new StoreWatch(client, CONFIGURATION_KEY_PREFIX, clock, {
      storeAnswered: (values, askedAt) => {
        this.#configurationRead(values, askedAt)
      },
      storeFailed: () => {
        this.#failed()
      },
    })
    this.#groups = new StoreWatch(client, GROUP_KEY_PREFIX, clock, {
      storeAnswered: values => {
        this.#groupsRead(values)
      },
      storeFailed: () => {
        this.#failed()
      },
    })
  }

  get reachable(): boolean {
    return this.#reachable
  }

  get following(): boolean {
    return this.#configuration.running
  }

  follow(wanted: boolean): void {
    if (wanted) {
      this.#configuration.start()
      this.#groups.start()
    } else {
      this.#configuration.stop()
      this.#groups.stop()
    }
  }

  #failed(): void {
    this.#reachable = false
    // After an outage everything is read anew, and an absent key is then really absent.
    this.#targets = null
  }

  #configurationRead(values: readonly StoredValue[], askedAt: Milliseconds): void {
    this.#reachable = true
    for (const stored of values) {
      if (stored.key === TARGETS_KEY) this.#targets = stored
      const drains = readDrains(stored)
      if (drains !== null) this.#listener.learned({ kind: 'drains', drains })
    }
    this.#tellTargets(askedAt)
  }

  #tellTargets(askedAt: Milliseconds): void {
    if (this.#targets === null) {
      this.#listener.targetsRead(null, 0, askedAt)
      return
    }
    const document = readTargetsDocument(this.#targets)
    if (document === null) this.#reportUnreadable(this.#targets)
    else this.#listener.targetsRead(document, this.#targets.revision, askedAt)
  }

  /** Once for each value: the same one is looked at again with every answer of the store. */
  #reportUnreadable({ key, revision }: StoredValue): void {
    if (this.#reportedRevision === revision) return
    this.#reportedRevision = revision
    this.#listener.unreadable(key)
  }

  #groupsRead(values: readonly StoredValue[]): void {
    this.#reachable = true
    for (const { key, value, revision } of values) {
      const record = readGroupRecord(value)
      if (record === null) this.#listener.unreadable(key)
      else this.#listener.learned({ kind: 'group', record, revision })
    }
  }
}
