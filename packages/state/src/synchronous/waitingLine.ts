/** Who waits for a connection, in the order in which they get one. */
import TinyQueue from 'tinyqueue'
import type { Milliseconds } from '@nutmegcourse/shared'

export interface Waiter {
  /** 0 goes first: operators rank their classes of work. */
  readonly priority: number
  /** Within one priority whoever has the least time left goes first, since waiting costs it most. */
  readonly deadline: Milliseconds
}

interface Place<Kind extends Waiter> {
  readonly waiter: Kind
  readonly order: number
}

export class WaitingLine<Kind extends Waiter> {
  readonly #places = new TinyQueue<Place<Kind>>([], byUrgency)
  readonly #waiting = new Set<Kind>()
  #order = 0

  get size(): number {
    return this.#waiting.size
  }

  /** How many of those who wait go before one of this priority and deadline. */
  aheadOf(newcomer: Waiter): number {
    let ahead = 0
    for (const waiter of this.#waiting) if (byWaiter(waiter, newcomer) <= 0) ahead += 1
    return ahead
  }

  join(waiter: Kind): void {
    this.#order += 1
    this.#waiting.add(waiter)
    this.#places.push({ waiter, order: this.#order })
  }

  leave(waiter: Kind): void {
    this.#waiting.delete(waiter)
  }

  /** Whoever waits, in the order of arrival. */
  waiting(): Iterable<Kind> {
    return this.#waiting
  }

  /** Who goes next; stays in the line. */
  get first(): Kind | null {
    for (;;) {
      const place = this.#places.peek()
      if (place === undefined) return null
      if (this.#waiting.has(place.waiter)) return place.waiter
      this.#places.pop()
    }
  }

  /** Takes the first who fits; the others keep their places. */
  next(fits: (waiter: Kind) => boolean = () => true): Kind | null {
    const passedOver: Place<Kind>[] = []
    const found = this.#nextPlace(fits, passedOver)
    for (const place of passedOver) this.#places.push(place)
    if (found === null) return null
    this.#waiting.delete(found.waiter)
    return found.waiter
  }

  #nextPlace(fits: (waiter: Kind) => boolean, passedOver: Place<Kind>[]): Place<Kind> | null {
    for (;;) {
      const place = this.#places.pop()
      if (place === undefined) return null
      if (!this.#waiting.has(place.waiter)) continue
      if (fits(place.waiter)) return place
      passedOver.push(place)
    }
  }

  takeAll(): Kind[] {
    const all: Kind[] = []
    for (let waiter = this.next(); waiter !== null; waiter = this.next()) all.push(waiter)
    return all
  }
}

const byWaiter = (left: Waiter, right: Waiter): number =>
  left.priority - right.priority || left.deadline - right.deadline

const byUrgency = (left: Place<Waiter>, right: Place<Waiter>): number =>
  byWaiter(left.waiter, right.waiter) || left.order - right.order
