/**
 * The platform's two services, as JSON-RPC 2.0 over newline-delimited JSON on TCP.
 * The store keeps JSON values up to a megabyte; the host list may lag behind the actual state.
 */
import type {
  AvailabilityZoneId,
  BackendServerId,
  DatabaseId,
  EntryHostId,
  RegionId,
} from '@nutmegcourse/shared'

/** A value and the store-wide revision of its last change. Revisions only grow. */
export interface StoredValue {
  readonly key: string
  readonly revision: number
  readonly value: unknown
}

/** `store.get` */
export interface StoreGetParams {
  readonly key: string
}
export type StoreGetResult = StoredValue | null

/** `store.list`: every key that starts with `prefix`. */
export interface StoreListParams {
  readonly prefix: string
}
export interface StoreListResult {
  readonly revision: number
  readonly values: readonly StoredValue[]
}

/** `store.compareAndSwap`: `expectedRevision` 0 means that the key must not exist. */
export interface StoreCompareAndSwapParams {
  readonly key: string
  readonly expectedRevision: number
  readonly value: unknown
  /** The key is removed when this lease ends. */
  readonly leaseId?: string
}
export type StoreCompareAndSwapResult =
  | { readonly succeeded: true; readonly revision: number }
  | { readonly succeeded: false; readonly current: StoredValue | null }

/** `store.watch`: answers when a key with `prefix` changed after `afterRevision`, or after `waitMilliseconds` with none. */
export interface StoreWatchParams {
  readonly prefix: string
  readonly afterRevision: number
  readonly waitMilliseconds: number
}
export interface StoreWatchResult {
  readonly revision: number
  readonly changed: readonly StoredValue[]
  readonly removedKeys: readonly string[]
}

/** `store.grantLease` and `store.keepAlive`; the latter answers false once the lease has lapsed. */
export interface StoreGrantLeaseParams {
  readonly timeToLiveMilliseconds: number
}
export interface StoreGrantLeaseResult {
  readonly leaseId: string
}
export interface StoreKeepAliveParams {
  readonly leaseId: string
}
export interface StoreKeepAliveResult {
  readonly alive: boolean
}

/** One entry of the platform's host list. */
export type ListedHost =
  | {
      readonly kind: 'entryHost'
      readonly id: EntryHostId
      readonly address: string
      /** The agent's port for other agents. */
      readonly port: number
      readonly zone: AvailabilityZoneId
      readonly region: RegionId
      readonly state: 'live' | 'leaving'
    }
  | {
      readonly kind: 'backendServer'
      readonly id: BackendServerId
      readonly database: DatabaseId
      readonly address: string
      readonly port: number
      readonly zone: AvailabilityZoneId
      readonly region: RegionId
      readonly state: 'live' | 'leaving'
      /** Statements that it runs concurrently. */
      readonly slots: number
      /** Connections it accepts from the whole fleet. */
      readonly connectionLimit: number
    }

/** `hosts.list` */
export interface HostListParams {
  /** Requests the addresses at which hosts of this zone reach the listed hosts; absent: the hosts' own addresses. */
  readonly zone?: AvailabilityZoneId
  /** The version that the caller holds; a platform that supports this may answer `unchanged` while it is current. */
  readonly knownVersion?: number
}
export interface HostListResult {
  readonly version: number
  /** True when `hosts` is left empty because the list is still at `knownVersion`. */
  readonly unchanged?: boolean
  readonly hosts: readonly ListedHost[]
}
