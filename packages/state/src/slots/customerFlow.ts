/**
 * The waiting requests of one customer in one class.
 *
 * @internal
 */
import type { CustomerName } from '@nutmegcourse/shared'
import { IndexedHeap } from './indexedHeap.js'
import { sampledSum } from './sampledSum.js'
import type { SlotRequest } from './slotRequest.js'
import { byUrgency, type WaitingRequest } from './waitingRequest.js'

export class CustomerFlow<Request extends SlotRequest> {
  readonly customer: CustomerName | null
  /** Slot time used for its weight, in the virtual time of its class: the least one is served next. */
  startTag: number
  weight = 1
  inFlight = 0
  readonly #waiting = new IndexedHeap<WaitingRequest<Request>>(byUrgency)
  #timelyMilliseconds = 0
  #lateMilliseconds = 0

  constructor(customer: CustomerName | null, startTag: number) {
    this.customer = customer
    this.startTag = startTag
  }

  get head(): WaitingRequest<Request> | null {
    return this.#waiting.peek()
  }

  get size(): number {
    return this.#waiting.size
  }

  get milliseconds(): number {
    return this.#timelyMilliseconds + this.#lateMilliseconds
  }

  add(waiting: WaitingRequest<Request>): void {
    this.weight = waiting.weight
    this.#waiting.push(waiting)
    this.#count(waiting, waiting.costMilliseconds)
  }

  delete(waiting: WaitingRequest<Request>): void {
    if (!this.#waiting.delete(waiting)) return
    this.#count(waiting, -waiting.costMilliseconds)
    if (this.#waiting.size > 0) return
    this.#timelyMilliseconds = 0
    this.#lateMilliseconds = 0
  }

  markLate(waiting: WaitingRequest<Request>): void {
    this.#count(waiting, -waiting.costMilliseconds)
    waiting.isLate = true
    this.#count(waiting, waiting.costMilliseconds)
    this.#waiting.update(waiting)
  }

  /** Slot time of its requests that are served before `waiting`. */
  millisecondsBefore(waiting: WaitingRequest<Request>): number {
    return sampledSum(this.#waiting.items, other =>
      other.sequence !== waiting.sequence && byUrgency(other, waiting) < 0
        ? other.costMilliseconds
        : 0,
    )
  }

  /** Slot time of its requests that are served before one of another customer that starts at `tag`. */
  millisecondsBeforeTag(tag: number, isLate: boolean): number {
    const { head } = this
    if (head === null) return 0
    const virtualMilliseconds = (tag - this.startTag) * this.weight
    const started = Math.floor(virtualMilliseconds / head.costMilliseconds) + 1
    const untilTag = Math.max(0, started * head.costMilliseconds)
    if (!isLate) return Math.min(this.#timelyMilliseconds, untilTag)
    return Math.max(this.#timelyMilliseconds, Math.min(this.milliseconds, untilTag))
  }

  #count(waiting: WaitingRequest<Request>, milliseconds: number): void {
    if (waiting.isLate) this.#lateMilliseconds += milliseconds
    else this.#timelyMilliseconds += milliseconds
  }
}
