/**
 * The connections of a pool, and the terms on which requests wait for one.
 *
 * @internal
 */
import type { BackendLink } from '@nutmegcourse/protocol'
import type { CustomerName, Milliseconds } from '@nutmegcourse/shared'
import type { ConnectionValues, SessionValues, Waiter } from '@nutmegcourse/state'
import type { OpenFailure } from './connectionOpener.js'
import type { Withdrawal } from './waiting.js'

/** One connection and its state in the pool. */
export interface PooledLink {
  readonly link: BackendLink
  readonly values: ConnectionValues
  /** The customer whose statements it runs; null where customers are not distinguished. */
  readonly customer: CustomerName | null
  idleSince: Milliseconds
  /** When a customer's request last acquired it. */
  usedAt: Milliseconds
  /** When it was last acquired. */
  takenAt: Milliseconds
  /** Whether it was last acquired for the host's own commands, which return it soon. */
  isTakenByHost: boolean
  /** For how long this process had stood still by then. */
  stalledBefore: number
}

/**
 * `overdue`: the deadline passed. `withdrawn`: the pool was closed, its server is no longer the primary, or the request
 * was withdrawn.
 */
export type AcquireFailure = OpenFailure | 'overdue' | 'withdrawn'

export type Acquired =
  | { readonly link: PooledLink }
  | { readonly failure: AcquireFailure }
  /** The forecast wait exceeds the maximum, so the request was not queued. */
  | { readonly failure: 'overloaded'; readonly waitMilliseconds: number }

/** The terms on which a request waits for a connection. */
export interface AcquireOptions {
  readonly priority: number
  readonly deadline: Milliseconds
  /** A request whose forecast wait is longer fails immediately. */
  readonly maximumWaitMilliseconds: number
  readonly use: ConnectionUse
  /** Ends the wait before the deadline. */
  readonly withdrawal?: Withdrawal | undefined
}

/** A customer's request needs a connection of that customer; the host's own commands use any connection. */
export type ConnectionUse =
  { readonly kind: 'customer'; readonly customer: CustomerName | null } | { readonly kind: 'own' }

/** A request that waits for a connection. */
export interface LinkWaiter extends Waiter {
  readonly session: SessionValues
  readonly use: ConnectionUse
  readonly since: Milliseconds
  settle(acquired: Acquired): void
}

/** The customer for which a connection is opened; null for the host's own commands. */
export const customerOf = (use: ConnectionUse): CustomerName | null =>
  use.kind === 'own' ? null : use.customer

/** Whether the waiter may use the connection. */
export const canUse = ({ customer }: PooledLink, { use }: LinkWaiter): boolean =>
  use.kind === 'own' || use.customer === customer
