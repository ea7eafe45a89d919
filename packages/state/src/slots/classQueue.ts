/**
 * The waiting requests of one class, shared fairly between customers.
 *
 * Start-time fair queueing: serving a request advances its customer's tag by slot time / weight, and the
 * customer with the least tag is next. Virtual time is the greatest tag that was served; a customer that was
 * absent starts there, and is owed nothing for its absence.
 *
 * @internal
 */
import type { CustomerName, Milliseconds } from '@nutmegcourse/shared'
import { CustomerFlow } from './customerFlow.js'
import { IndexedHeap } from './indexedHeap.js'
import { sampledSum } from './sampledSum.js'
import type { SlotRequest } from './slotRequest.js'
import type { WaitingRequest } from './waitingRequest.js'

/** What waits in a class before a request, as slot time. */
export interface ClassBacklog {
  readonly aheadMilliseconds: number
  /** The part of it that is of the same customer. */
  readonly ownAheadMilliseconds: number
}

const byNextServed = <Request extends SlotRequest>(
  left: CustomerFlow<Request>,
  right: CustomerFlow<Request>,
): number =>
  Number(left.head?.isLate) - Number(right.head?.isLate) ||
  left.startTag - right.startTag ||
  (left.head?.sequence ?? 0) - (right.head?.sequence ?? 0)

export class ClassQueue<Request extends SlotRequest> {
  readonly #flows = new Map<CustomerName | null, CustomerFlow<Request>>()
  readonly #active = new IndexedHeap<CustomerFlow<Request>>(byNextServed)
  /** Customers without waiting requests that have used more than virtual time: kept until it reaches them. */
  readonly #resting = new IndexedHeap<CustomerFlow<Request>>(
    (left, right) => left.startTag - right.startTag,
  )
  readonly #becomingLate = new IndexedHeap<WaitingRequest<Request>>(
    (left, right) => left.lateAfter - right.lateAfter,
  )
  #virtualTime = 0
  #greatestTag = 0
  #size = 0
  #milliseconds = 0

  get size(): number {
    return this.#size
  }

  /** Expected slot time of all waiting requests. */
  get milliseconds(): number {
    return this.#milliseconds
  }

  get customers(): number {
    return this.#flows.size
  }

  get head(): WaitingRequest<Request> | null {
    return this.#active.peek()?.head ?? null
  }

  add(waiting: WaitingRequest<Request>): void {
    const flow = this.#flowOf(waiting.request.customer)
    flow.startTag = this.#startTagOf(flow, waiting)
    flow.add(waiting)
    if (!waiting.isLate) this.#becomingLate.push(waiting)
    this.#size += 1
    this.#milliseconds += waiting.costMilliseconds
    this.#settle(flow)
  }

  delete(waiting: WaitingRequest<Request>): void {
    const flow = this.#flows.get(waiting.request.customer)
    if (flow === undefined) return
    flow.delete(waiting)
    this.#becomingLate.delete(waiting)
    this.#size -= 1
    this.#milliseconds = this.#size === 0 ? 0 : this.#milliseconds - waiting.costMilliseconds
    this.#settle(flow)
    if (this.#size === 0) this.#advanceTo(this.#greatestTag)
  }

  /** Removes a request that starts, and counts its expected slot time as used. */
  start(waiting: WaitingRequest<Request>): void {
    const flow = this.#flowOf(waiting.request.customer)
    const { startTag } = flow
    this.#charge(flow, waiting.costMilliseconds / waiting.weight, 1)
    this.#advanceTo(startTag)
    this.delete(waiting)
  }

  /** Counts the slot time of a request that started without having waited here. */
  startOutOfOrder(waiting: WaitingRequest<Request>): void {
    const flow = this.#flowOf(waiting.request.customer)
    this.#charge(flow, waiting.costMilliseconds / waiting.weight, 1)
    if (this.#size === 0) this.#advanceTo(this.#greatestTag)
  }

  /** Corrects what was counted at the start of a request by what it used. */
  finish(waiting: WaitingRequest<Request>, slotMilliseconds: number): void {
    const flow = this.#flows.get(waiting.request.customer)
    if (flow === undefined) return
    this.#charge(flow, (slotMilliseconds - waiting.costMilliseconds) / waiting.weight, -1)
    if (this.#size === 0) this.#advanceTo(this.#greatestTag)
  }

  /** Moves what can no longer meet its target behind what can. */
  markLate(now: Milliseconds): void {
    for (;;) {
      const waiting = this.#becomingLate.peek()
      if (waiting === null || waiting.lateAfter >= now) return
      this.#becomingLate.pop()
      const flow = this.#flowOf(waiting.request.customer)
      flow.markLate(waiting)
      this.#active.update(flow)
    }
  }

  /** `waiting` need not be in the queue. */
  backlogBefore(waiting: WaitingRequest<Request>): ClassBacklog {
    const flow = this.#flows.get(waiting.request.customer)
    const own = flow?.millisecondsBefore(waiting) ?? 0
    const tag = this.#startTagOf(flow, waiting) + own / waiting.weight
    const others = sampledSum(this.#active.items, other =>
      other === flow ? 0 : other.millisecondsBeforeTag(tag, waiting.isLate),
    )
    return { aheadMilliseconds: own + others, ownAheadMilliseconds: own }
  }

  millisecondsOf(customer: CustomerName | null): number {
    return this.#flows.get(customer)?.milliseconds ?? 0
  }

  #startTagOf(flow: CustomerFlow<Request> | undefined, waiting: WaitingRequest<Request>): number {
    if (flow === undefined) return this.#virtualTime
    const hasTurn = flow.head !== null && (waiting.isLate || !flow.head.isLate)
    return hasTurn ? flow.startTag : Math.max(flow.startTag, this.#virtualTime)
  }

  #flowOf(customer: CustomerName | null): CustomerFlow<Request> {
    const known = this.#flows.get(customer)
    if (known !== undefined) return known
    const flow = new CustomerFlow<Request>(customer, this.#virtualTime)
    this.#flows.set(customer, flow)
    return flow
  }

  #charge(flow: CustomerFlow<Request>, virtualMilliseconds: number, inFlightChange: number): void {
    flow.startTag += virtualMilliseconds
    flow.inFlight += inFlightChange
    this.#greatestTag = Math.max(this.#greatestTag, flow.startTag)
    this.#settle(flow)
  }

  #advanceTo(tag: number): void {
    this.#virtualTime = Math.max(this.#virtualTime, tag)
    for (;;) {
      const flow = this.#resting.peek()
      if (flow === null || flow.startTag > this.#virtualTime) return
      this.#resting.pop()
      this.#settle(flow)
    }
  }

  /** Puts a customer where it belongs: among those with waiting requests, at rest, or forgotten. */
  #settle(flow: CustomerFlow<Request>): void {
    const isResting = flow.size === 0 && flow.startTag > this.#virtualTime
    if (flow.size > 0) this.#active.push(flow)
    else this.#active.delete(flow)
    this.#active.update(flow)
    if (isResting) this.#resting.push(flow)
    else this.#resting.delete(flow)
    this.#resting.update(flow)
    if (flow.size === 0 && !isResting && flow.inFlight <= 0) this.#flows.delete(flow.customer)
  }
}
