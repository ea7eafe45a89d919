/**
 * In whose name one caller's statements run, and whether they may run now. Looked up anew for each operation, since
 * keys and limits change while sessions stay open.
 *
 * @internal
 */
import type { CallerRefusal, Route } from '@nutmegcourse/protocol'
import type { CustomerName, KeyDigest } from '@nutmegcourse/shared'
import type { CallerIdentity, RouteLookup } from './routeLookup.js'

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

export class CallerName {
  readonly #routes: RouteLookup
  readonly #key: KeyDigest

  constructor(routes: RouteLookup, key: KeyDigest) {
    this.#routes = routes
    this.#key = key
  }

  /** Null where statements run in nobody's name. */
  customerFor(route: Route): CustomerName | null {
    const identity = this.#identify(route)
    return identity.kind === 'customer' ? identity.customer : null
  }

  /** Null when the caller may use the route. */
  denialFor(route: Route): Denial | null {
    const { kind } = this.#identify(route)
    switch (kind) {
      case 'anyone':
      case 'customer':
        return null
      case 'unknown':
        return UNKNOWN_KEY
      case 'unconfirmed':
        return UNCONFIRMED_KEY
    }
  }

  /** A transaction runs on a connection of its customer: when the key is gone or moved, so is its right to run. */
  denialOfTransaction(route: Route, customer: CustomerName | null): Denial | null {
    if (customer === null) return null
    return this.customerFor(route) === customer ? null : LOST_KEY
  }

  /** Null when one more operation keeps to the customer's limit. */
  async denialOfOperation(route: Route): Promise<Denial | null> {
    const customer = this.customerFor(route)
    if (customer === null) return null
    const admission = await this.#routes.admitOperation(customer)
    if (admission.kind === 'admitted') return null
    const after = String(Math.ceil(admission.waitMilliseconds))
    const detail = `limit of ${customer} is reached retry_after_ms=${after}`
    return { refusal: 'overLimit', detail }
  }

  #identify(route: Route): CallerIdentity {
    return this.#routes.identify(route, this.#key)
  }
}
