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
  /** Every write acknowledged longer ago than `maximumAgeMilliseconds`. */
  | { readonly kind: 'bounded'; readonly maximumAgeMilliseconds: number }
  /** The same as `bounded`, and every write of the same session. */
  | { readonly kind: 'ownWrites'; readonly maximumAgeMilliseconds: number }

export interface Route {
  readonly name: string
  /** The name that callers give when they connect. */
  readonly database: string
  readonly service: string
  readonly guarantee: ReadGuarantee
  readonly statementTimeoutMilliseconds: number
  readonly latencyTargetMilliseconds: number
  /** Waiting statements are served in ascending order of this value: 0 is served first. */
  readonly priority: number
  /** Serves callers whatever key they present. */
  readonly isPublic: boolean
}

/** The rate limit of one customer, across the whole fleet. */
export interface OperationLimit {
  readonly operationsPerSecond: number
  /** Operations beyond the rate that may arrive at once. */
  readonly burst: number
  /** The operators' entry has a rate that is not a number. */
  readonly isUnreadable?: true
}

export interface Customer {
  readonly name: CustomerName
  readonly keys: readonly KeyDigest[]
  /** 0 has the largest share of a contended server; see `customerWeight`. */
  readonly priority: number
  /** Null for no limit. */
  readonly limit: OperationLimit | null
}

export interface ServiceConfiguration {
  readonly name: string
  /** Connections that one backend server accepts from all entry hosts together. */
  readonly connectionLimit: number
  /** Replicas that must hold a write before its primary acknowledges it. */
  readonly synchronousReplicas: number
}

export interface FleetConfiguration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly ServiceConfiguration[]
  readonly customers: readonly Customer[]
  /** A transaction that is idle for longer than this may be ended. */
  readonly idleTransactionMilliseconds: number
}

export interface BackendServerEntry {
  readonly server: BackendServerId
  readonly service: string
  readonly host: string
  readonly port: number
  readonly zone: AvailabilityZoneId
  /** Requests that it processes concurrently. */
  readonly slots: number
  readonly isLeaving: boolean
  readonly role: 'primary' | 'replica'
  /** Distinguishes incarnations of a server under one id; null when the entry does not state it. */
  readonly startedAtUnixMilliseconds: number | null
}

export interface SkippedRoute {
  /** Its name, or its place where it has none. */
  readonly route: string
  readonly detail: string
}

/** A decoded change of an item in the store. */
export type DirectoryChange =
  | {
      readonly kind: 'configuration'
      readonly configuration: FleetConfiguration
      /** The routes that could not be read and are missing in it. */
      readonly skippedRoutes?: readonly SkippedRoute[]
      /** The services and customers that could not be read and are missing in it. */
      readonly skippedEntries?: readonly string[]
    }
  | { readonly kind: 'server'; readonly entry: BackendServerEntry }
  | { readonly kind: 'serverGone'; readonly server: BackendServerId }
  /** A record that the fleet itself keeps. `value` is null when it was removed. */
  | {
      readonly kind: 'record'
      readonly key: string
      readonly value: string | null
      readonly revision: number
      /** The lease that the record is attached to; 0 for none. */
      readonly lease: number
    }
  /** The item could not be decoded, so nothing in it is used. */
  | {
      readonly kind: 'unreadable'
      readonly key: string
      readonly detail: string
      /** It should have been the configuration in force. */
      readonly isConfiguration?: true
    }

/** A change and the store revision that it created. */
export type RevisedChange = DirectoryChange & { readonly revision: number }
