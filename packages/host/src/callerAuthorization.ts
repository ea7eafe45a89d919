/**
 * Authorizes a caller's session and operations, and determines the customer on whose behalf they run. Keys and limits
 * are looked up for every operation, since they change while sessions stay open.
 *
 * @internal
 */
import type { CallerRefusal, Route, StatementId } from '@nutmegcourse/protocol'
import type { CustomerName, KeyDigest } from '@nutmegcourse/shared'
import type { RouteLookup } from './routeLookup.js'

/** The refusal that a denied caller receives. */
export interface Denial {
  readonly refusal: CallerRefusal
  readonly detail: string
}

/** Retry delay for a key that this host can not confirm; changes of keys usually arrive again within this time. */
const UNCONFIRMED_KEY_RETRY_MILLISECONDS = 500

const UNKNOWN_KEY: Denial = { refusal: 'unknownKey', detail: 'no customer has this key' }

const UNCONFIRMED_KEY: Denial = {
  refusal: 'notRun',
  detail: `keys may have been taken away retry_after_ms=${String(UNCONFIRMED_KEY_RETRY_MILLISECONDS)}`,
}

const LOST_KEY: Denial = {
  refusal: 'aborted',
  detail: 'the key is no longer of the customer that began the transaction',
}

/** Whether a statement may run, and for which customer; null where customers are not distinguished. */
export type Permission =
  | { readonly kind: 'granted'; readonly customer: CustomerName | null }
  | { readonly kind: 'denied'; readonly denial: Denial }

const denied = (denial: Denial): Permission => ({ kind: 'denied', denial })

export class CallerAuthorization {
  readonly #routes: RouteLookup
  readonly #key: KeyDigest

  constructor(routes: RouteLookup, key: KeyDigest) {
    this.#routes = routes
    this.#key = key
  }

  /** Whether the caller may use the route at all. */
  authorizeSession(route: Route): Permission {
    const identity = this.#routes.identify(route, this.#key)
    switch (identity.kind) {
      case 'anyone':
        return { kind: 'granted', customer: null }
      case 'customer':
        return { kind: 'granted', customer: identity.customer }
      case 'unknown':
        return denied(UNKNOWN_KEY)
      case 'unconfirmed':
        return denied(UNCONFIRMED_KEY)
    }
  }

  /** Whether one more operation may run, within its customer's limit. */
  async authorizeOperation(route: Route, request: StatementId): Promise<Permission> {
    const permission = this.authorizeSession(route)
    if (permission.kind === 'denied' || permission.customer === null) return permission
    const { customer } = permission
    const admission = await this.#routes.admitOperation(customer, {
      request,
      route: route.name,
      priority: route.priority,
    })
    if (admission.kind === 'admitted') return permission
    const after = String(Math.ceil(admission.waitMilliseconds))
    const detail = `limit of ${customer} is reached retry_after_ms=${after}`
    return denied({ refusal: 'overLimit', detail })
  }

  /**
   * Whether another statement of an open transaction may run. It runs on a connection of the customer that began the
   * transaction, so it is denied once the key has been removed or assigned to another customer.
   */
  authorizeInTransaction(route: Route, customer: CustomerName | null): Permission {
    if (customer === null) return { kind: 'granted', customer }
    const current = this.authorizeSession(route)
    return current.kind === 'granted' && current.customer === customer ? current : denied(LOST_KEY)
  }
}
