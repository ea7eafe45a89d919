/**
 * Connections that a pool lends, and the terms on which work waits for one.
 *
 * @internal
 */
import type { BackendLink } from '@nutmegcourse/protocol'
import type { CustomerName, Milliseconds } from '@nutmegcourse/shared'
import type { ConnectionValues, SessionValues, Waiter } from '@nutmegcourse/state'
import type { OpenFailure } from './connectionOpener.js'

/** One connection, and what is known of it. */
export interface PooledLink {
  readonly link: BackendLink
  readonly values: ConnectionValues
  /** Whose statements it runs; null where customers are not told apart. */
  readonly customer: CustomerName | null
  idleSince: Milliseconds
  /** When a customer's work last took it. */
  usedAt: Milliseconds
  /** Since when work holds it. */
  takenAt: Milliseconds
}

export type AcquireFailure = OpenFailure | 'overdue' | 'withdrawn'

export type Acquired =
  | { readonly link: PooledLink }
  | { readonly failure: AcquireFailure }
  /** The line is so long that it was not joined. */
  | { readonly failure: 'overloaded'; readonly waitMilliseconds: number }

/** Under which terms work waits for a connection. */
export interface AcquireTerms {
  readonly priority: number
  readonly deadline: Milliseconds
  /** Work that would have to wait longer, by all that is known, is told so at once. */
  readonly patienceMilliseconds: number
  readonly use: ConnectionUse
}

/** A customer's work needs a connection of that customer; questions of the host itself go over any. */
export type ConnectionUse =
  { readonly kind: 'customer'; readonly customer: CustomerName | null } | { readonly kind: 'own' }

/** Work that waits for a connection. */
export interface LinkWaiter extends Waiter {
  readonly session: SessionValues
  readonly use: ConnectionUse
  readonly since: Milliseconds
  settle(acquired: Acquired): void
}

/** Whose connection is opened for a use; one for the host's own questions is in nobody's name. */
export const customerOf = (use: ConnectionUse): CustomerName | null =>
  use.kind === 'own' ? null : use.customer

/** Whether the waiter's work may run on the connection. */
export const isFor = ({ customer }: PooledLink, { use }: LinkWaiter): boolean =>
  use.kind === 'own' || use.customer === customer
