/**
 * The routes, identities, limits and admission state of a host that its caller sessions need.
 *
 * @internal
 */
import type { Route } from '@nutmegcourse/protocol'
import type { CustomerName, KeyDigest } from '@nutmegcourse/shared'
import type { Admission, OperationStart } from './customerLimits.js'
import type { SessionIntake } from './plannedStop.js'
import type { ServiceState } from './serviceState.js'
import type { StoreKnowledge } from './storeKnowledge.js'

/** The route of a database, and the service behind it. */
export interface RoutedService {
  readonly route: Route
  readonly service: ServiceState
}

/** The customer on whose behalf a caller's statements run. */
export type CallerIdentity =
  /** No customer: customers are not distinguished, or the route is public. */
  | { readonly kind: 'anyone' }
  | { readonly kind: 'customer'; readonly customer: CustomerName }
  /** The key belongs to no customer, or no longer does. */
  | { readonly kind: 'unknown' }
  /** This host's information is too old to rule out that the key has been revoked. */
  | { readonly kind: 'unconfirmed' }

export interface RouteLookup {
  /** Null if the database has no route in the configuration that this host has. */
  find(database: string): RoutedService | null
  /** Whether that is the configuration in force, as far as the bound on changes allows to tell. */
  readonly knowledge: Pick<StoreKnowledge, 'isConfirmed' | 'version'>
  identify(route: Route, key: KeyDigest): CallerIdentity
  /** Whether one more operation of the customer is within its limit. */
  admitOperation(customer: CustomerName, start: OperationStart): Promise<Admission>
  readonly intake: SessionIntake
  /** Whether a configuration has been received. */
  readonly hasConfiguration: boolean
  readonly idleTransactionMilliseconds: number
  /** Resolves once a configuration has been received or `span` milliseconds have passed. */
  whenConfigured(span: number): Promise<void>
}
