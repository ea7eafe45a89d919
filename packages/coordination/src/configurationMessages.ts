/** Messages and effects of the configuration state machine, which tracks the targets in force at this host. */
import type { VersionedTargets } from '@nutmegcourse/protocol'
import type { Milliseconds } from '@nutmegcourse/shared'

/** Identifies one document: a restored store may assign the same version to two of them. */
export interface DocumentName {
  readonly version: number
  readonly changeId: string
}

export type ConfigurationMessage =
  /** The store's document, null for none, and when this host requested it. */
  | {
      readonly kind: 'storeAnswered'
      readonly document: VersionedTargets | null
      readonly revision: number
      readonly askedAt: Milliseconds
    }
  /** Another agent sent a document. */
  | { readonly kind: 'learned'; readonly document: VersionedTargets }
  /**
   * Another agent's confirmation that the named document was the store's newest `ageMilliseconds`
   * before it answered a request sent at `askedAt`.
   */
  | {
      readonly kind: 'peerConfirmed'
      readonly name: DocumentName
      readonly ageMilliseconds: number
      readonly askedAt: Milliseconds
    }
  /** A repair was attempted. Its answer may be lost; the next read shows whether it took effect. */
  | { readonly kind: 'repairEnded' }
  | { readonly kind: 'tick' }

export type ConfigurationEffect =
  /** The document is in force here from now on, and is to be gossiped. */
  | { readonly kind: 'adopt'; readonly document: VersionedTargets }
  /** The store lost a version: write this document if the key is still at `expectedRevision`. */
  | {
      readonly kind: 'repairStore'
      readonly document: VersionedTargets
      readonly expectedRevision: number
    }
  /** Proxies need a new snapshot, and `status` shows the change to operators. */
  | { readonly kind: 'confirmationChanged'; readonly confirmed: boolean }
