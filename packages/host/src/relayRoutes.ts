/**
 * Encoding of routes in messages between hosts. A route is most of a short statement's message, and a connection
 * carries the same few repeatedly, so each route is sent in full once per connection and referred to by its number
 * afterwards.
 *
 * @internal
 */
import type { Route } from '@nutmegcourse/protocol'

export interface RouteMessage {
  readonly number: number
  /** Absent once the receiver knows the number. */
  readonly route?: Route
}

/** Routes that each side keeps. The receiver keeps more, so that it knows every number that is still in use. */
const MAXIMUM_SENT_ROUTES = 1024
const MAXIMUM_RECEIVED_ROUTES = 2 * MAXIMUM_SENT_ROUTES

export class SentRoutes {
  readonly #numbers = new Map<Route, number>()
  #lastNumber = 0

  write(route: Route): RouteMessage {
    const number = this.#numbers.get(route)
    if (number !== undefined) return { number }
    if (this.#numbers.size >= MAXIMUM_SENT_ROUTES) this.#numbers.clear()
    this.#lastNumber += 1
    this.#numbers.set(route, this.#lastNumber)
    return { number: this.#lastNumber, route }
  }
}

export class ReceivedRoutes {
  readonly #routes = new Map<number, Route>()

  /** Null for an unknown number. */
  read({ number, route }: RouteMessage): Route | null {
    if (route === undefined) return this.#routes.get(number) ?? null
    this.#routes.set(number, route)
    const [oldest] = this.#routes.keys()
    if (this.#routes.size > MAXIMUM_RECEIVED_ROUTES && oldest !== undefined)
      this.#routes.delete(oldest)
    return route
  }
}
