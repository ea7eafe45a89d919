/**
 * Routes in messages between hosts. A route is most of a short statement's message, and a connection carries the same
 * few again and again, so each is sent whole once a connection and by its number from then on.
 *
 * @internal
 */
import type { Route } from '@nutmegcourse/protocol'

export interface RouteMessage {
  readonly number: number
  /** Absent once the other side knows the number. */
  readonly route?: Route
}

/** Routes that one side keeps. The hearing side keeps more, so that it knows every number that is still in use. */
const MOST_SENT = 1024
const MOST_HEARD = 2 * MOST_SENT

export class SentRoutes {
  readonly #numbers = new Map<Route, number>()
  #last = 0

  write(route: Route): RouteMessage {
    const known = this.#numbers.get(route)
    if (known !== undefined) return { number: known }
    if (this.#numbers.size >= MOST_SENT) this.#numbers.clear()
    this.#last += 1
    this.#numbers.set(route, this.#last)
    return { number: this.#last, route }
  }
}

export class HeardRoutes {
  readonly #routes = new Map<number, Route>()

  /** Null for a number that this side never heard of. */
  read({ number, route }: RouteMessage): Route | null {
    if (route === undefined) return this.#routes.get(number) ?? null
    this.#routes.set(number, route)
    const [oldest] = this.#routes.keys()
    if (this.#routes.size > MOST_HEARD && oldest !== undefined) this.#routes.delete(oldest)
    return route
  }
}
