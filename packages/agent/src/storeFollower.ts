/** Watches the store's configuration and group records while this host is a follower of the store. */
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
  /** The store's targets as of `askedAt`; null when the key is absent. */
  targetsRead(document: VersionedTargets | null, revision: number, askedAt: Milliseconds): void
  /** The value under the key is invalid; it is logged for operators. */
  valueUnreadable(key: string): void
}

export class StoreFollower {
  readonly #configuration: StoreWatch
  readonly #groups: StoreWatch
  readonly #listener: StoreFollowerListener
  #targets: StoredValue | null = null
  #reachable = false
  #reportedUnreadableRevision = 0

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

  setFollowing(isFollowing: boolean): void {
    if (isFollowing) {
      this.#configuration.start()
      this.#groups.start()
    } else {
      this.#configuration.stop()
      this.#groups.stop()
    }
  }

  #failed(): void {
    this.#reachable = false
    // After a failure all keys are read again; targets kept from before might be gone from the store.
    this.#targets = null
  }

  #configurationRead(values: readonly StoredValue[], askedAt: Milliseconds): void {
    this.#reachable = true
    for (const stored of values) {
      if (stored.key === TARGETS_KEY) this.#targets = stored
      const drains = readDrains(stored)
      if (drains !== null) this.#listener.learned({ kind: 'drains', drains })
    }
    this.#reportTargets(askedAt)
  }

  #reportTargets(askedAt: Milliseconds): void {
    if (this.#targets === null) {
      this.#listener.targetsRead(null, 0, askedAt)
      return
    }
    const document = readTargetsDocument(this.#targets)
    if (document === null) this.#reportUnreadable(this.#targets)
    else this.#listener.targetsRead(document, this.#targets.revision, askedAt)
  }

  /** Reports each value once, although it is evaluated again with each of the store's answers. */
  #reportUnreadable({ key, revision }: StoredValue): void {
    if (this.#reportedUnreadableRevision === revision) return
    this.#reportedUnreadableRevision = revision
    this.#listener.valueUnreadable(key)
  }

  #groupsRead(values: readonly StoredValue[]): void {
    this.#reachable = true
    for (const { key, value, revision } of values) {
      const record = readGroupRecord(value)
      if (record === null) this.#listener.valueUnreadable(key)
      else this.#listener.learned({ kind: 'group', record, revision })
    }
  }
}
