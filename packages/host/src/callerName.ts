/**
 * In whose name one caller's statements run, and whether they may run now. Looked up anew for each operation, since
 * keys and limits change while sessions stay open.
 *
 * @internal
 */
import type { CallerRefusal, Route } from '@nutmegcourse/protocol'
import type { CustomerName, KeyDigest } from '@nutmegcourse/shared'
import type { RouteLookup } from './routeLookup.js'

/** What a caller is told that may not go on. */
export interface Denial {
  readonly refusal: CallerRefusal
  readonly detail: string
}

/** News of keys comes again within about this time. */
const UNCONFIRMED_RETRY_MILLISECONDS = 500

const UNKNOWN_KEY: Denial = { refusal: 'unknownKey', detail: 'no customer has this key' }

const UNCONFIRMED_KEY: Denial = {
  refusal: 'notRun',
  detail: `keys may have been taken away retry_after_ms=${String(UNCONFIRMED_RETRY_MILLISECONDS)}`,
}

const LOST_KEY: Denial = {
  refusal: 'aborted',
  detail: 'the key is no longer of the customer that began the transaction',
}

/** Whether a statement may run, and in whose name: null stands for nobody's. */
export type Permission =
  | { readonly kind: 'granted'; readonly customer: CustomerName | null }
  | { readonly kind: 'denied'; readonly denial: Denial }

const denied = (denial: Denial): Permission => ({ kind: 'denied', denial })

export class CallerName {
  readonly #routes: RouteLookup
  readonly #key: KeyDigest

  constructor(routes: RouteLookup, key: KeyDigest) {
    this.#routes = routes
    this.#key = key
  }

  /** To use the route at all. */
  forSession(route: Route): Permission {
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

  /** For one more operation, which has to keep to its customer's limit. */
  async forOperation(route: Route): Promise<Permission> {
    const permission = this.forSession(route)
    if (permission.kind === 'denied' || permission.customer === null) return permission
    const { customer } = permission
    const admission = await this.#routes.admitOperation(customer)
    if (admission.kind === 'admitted') return permission
    const after = String(Math.ceil(admission.waitMilliseconds))
    const detail = `limit of ${customer} is reached retry_after_ms=${after}`
    return denied({ refusal: 'overLimit', detail })
  }

  /**
   * For a further statement of a transaction. It runs on a connection of the customer that began it: when the key is
   * gone or moved, so is its right to run.
   */
  withinTransaction(route: Route, customer: CustomerName | null): Permission {
    if (customer === null) return { kind: 'granted', customer }
    const now = this.forSession(route)
    return now.kind === 'granted' && now.customer === customer ? now : denied(LOST_KEY)
  }
}
