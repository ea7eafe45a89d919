/**
 * What a session has to know of the host that serves it.
 *
 * @internal
 */
import type { Route } from '@nutmegcourse/protocol'
import type { CustomerName, KeyDigest } from '@nutmegcourse/shared'
import type { Admission } from './customerLimits.js'
import type { SessionIntake } from './plannedStop.js'
import type { ServiceDesk } from './serviceDesk.js'

/** Where a database's callers are served. */
export interface RoutePlace {
  readonly route: Route
  readonly desk: ServiceDesk
}

/** In whose name a caller's statements run. */
export type CallerIdentity =
  /** In nobody's: customers are not told apart, or the route serves everyone. */
  | { readonly kind: 'anyone' }
  | { readonly kind: 'customer'; readonly customer: CustomerName }
  /** The key belongs to no customer, or no longer. */
  | { readonly kind: 'unknown' }
  /** This host cannot have heard whether the key was taken away. */
  | { readonly kind: 'unconfirmed' }

export interface RouteLookup {
  /** Null when no route has the name. */
  find(database: string): RoutePlace | null
  identify(route: Route, key: KeyDigest): CallerIdentity
  /** Whether one more operation of the customer keeps to its limit. */
  admitOperation(customer: CustomerName): Promise<Admission>
  readonly intake: SessionIntake
  /** False until the first configuration is known. */
  readonly isKnown: boolean
  readonly idleTransactionMilliseconds: number
  /** Resolves once a configuration is known or `span` milliseconds have passed. */
  whenKnown(span: number): Promise<void>
}
