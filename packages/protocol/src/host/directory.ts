/** The operators' configuration and the list of backend servers, as an entry host uses them. */
import type {
  AvailabilityZoneId,
  BackendServerId,
  CustomerName,
  KeyDigest,
} from '@nutmegcourse/shared'

/** Which writes a route's reads must see. */
export type ReadGuarantee =
  /** Every acknowledged write. */
  | { readonly kind: 'latest' }
  /** Every write acknowledged longer ago than this. */
  | { readonly kind: 'bounded'; readonly maximumAgeMilliseconds: number }
  /** The same, and every write of the same session. */
  | { readonly kind: 'ownWrites'; readonly maximumAgeMilliseconds: number }

export interface Route {
  readonly name: string
  /** What callers name when they connect. */
  readonly database: string
  readonly service: string
  readonly guarantee: ReadGuarantee
  readonly statementTimeoutMilliseconds: number
  readonly latencyTargetMilliseconds: number
  /** 0 goes first. */
  readonly priority: number
  /** Serves callers whatever key they show. */
  readonly isPublic: boolean
}

/** How much one customer may ask of the whole fleet. */
export interface OperationLimit {
  readonly operationsPerSecond: number
  /** Operations beyond the rate that may come at one moment. */
  readonly burst: number
}

export interface Customer {
  readonly name: CustomerName
  readonly keys: readonly KeyDigest[]
  /** Null for no limit. */
  readonly limit: OperationLimit | null
}

export interface ServiceConfiguration {
  readonly name: string
  /** Connections that one backend server takes from all entry hosts together. */
  readonly connectionLimit: number
  /** Replicas that must hold a write before its primary acknowledges it. */
  readonly synchronousReplicas: number
}

export interface FleetConfiguration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly ServiceConfiguration[]
  readonly customers: readonly Customer[]
  /** A transaction that rests longer than this may be ended. */
  readonly idleTransactionMilliseconds: number
}

export interface BackendServerEntry {
  readonly server: BackendServerId
  readonly service: string
  readonly host: string
  readonly port: number
  readonly zone: AvailabilityZoneId
  /** Requests that it works on at a time. */
  readonly slots: number
  readonly isLeaving: boolean
  readonly role: 'primary' | 'replica'
  /** Tells two lives of a server under one id apart; null when it does not say. */
  readonly startedAtUnixMilliseconds: number | null
}

/** A change in what the store holds, decoded. */
export type DirectoryChange =
  | { readonly kind: 'configuration'; readonly configuration: FleetConfiguration }
  | { readonly kind: 'server'; readonly entry: BackendServerEntry }
  | { readonly kind: 'serverGone'; readonly server: BackendServerId }
  /** A record of the fleet's own. `value` is null when it was removed. */
  | {
      readonly kind: 'record'
      readonly key: string
      readonly value: string | null
      readonly revision: number
      /** The lease under which it stands; 0 for none. */
      readonly lease: number
    }
  /** It names nothing that can be used. */
  | { readonly kind: 'unreadable'; readonly key: string; readonly detail: string }

/** A change, and the store's revision that it made. */
export type RevisedChange = DirectoryChange & { readonly revision: number }
