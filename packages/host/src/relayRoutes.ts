/**
 * Encoding of routes in messages between hosts. A route is most of a short statement's message, and a connection
 * carries the same few repeatedly, so each route is sent in full until the receiver has answered a message with it, and
 * referred to by its number afterwards.
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

interface SentRoute {
  readonly number: number
  /** Whether the receiver has answered a message that contained the route. */
  isReceived: boolean
}

/** The numbers of the routes that are sent over one connection. */
export class RouteNumbers {
  readonly #sent = new Map<Route, SentRoute>()
  #lastNumber = 0

  of(route: Route): SentRoute {
    const known = this.#sent.get(route)
    if (known !== undefined) return known
    if (this.#sent.size >= MAXIMUM_SENT_ROUTES) this.#sent.clear()
    this.#lastNumber += 1
    const sent = { number: this.#lastNumber, isReceived: false }
    this.#sent.set(route, sent)
    return sent
  }
}

/** Writes the routes of one message. */
export class SentRoutes {
  readonly #numbers: RouteNumbers
  readonly #written: SentRoute[] = []

  constructor(numbers: RouteNumbers) {
    this.#numbers = numbers
  }

  write(route: Route): RouteMessage {
    const sent = this.#numbers.of(route)
    this.#written.push(sent)
    const { number, isReceived } = sent
    return isReceived ? { number } : { number, route }
  }

  /** The receiver has answered the message. */
  noteReceived(): void {
    for (const sent of this.#written) sent.isReceived = true
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
