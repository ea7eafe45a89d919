/** Decides which of the statements that wait for a backend server is the next to get a slot. */
import type { Milliseconds } from '@nutmegcourse/shared'
import { ClassQueue } from './classQueue.js'
import { IndexedHeap } from './indexedHeap.js'
import { MinimumShare } from './minimumShare.js'
import { sampledSum } from './sampledSum.js'
import type { SlotRequest } from './slotRequest.js'
import {
  byUrgency,
  validClassPriority,
  waitingRequest,
  type WaitingRequest,
} from './waitingRequest.js'

/** What waits before a request, as expected slot time. */
export interface PositionInOrder {
  /** Of all classes. */
  readonly aheadMilliseconds: number
  /** Of its own class. */
  readonly classMilliseconds: number
  /** Of its own class, once it can no longer meet its target. */
  readonly lateClassMilliseconds: number
  /** Of its own class and customer. */
  readonly ownMilliseconds: number
  /** About how many requests, minimum shares of lower classes left aside. */
  readonly ahead: number
}

interface StartedRequest<Request extends SlotRequest> {
  readonly waiting: WaitingRequest<Request>
  readonly isMinimumShare: boolean
}

const byClassAndUrgency = <Request extends SlotRequest>(
  left: WaitingRequest<Request>,
  right: WaitingRequest<Request>,
): number => left.classPriority - right.classPriority || byUrgency(left, right)

/**
 * In this order: statements of open transactions; the class with the lowest priority, each class having a
 * minimum share of the slot time; what can meet its target; the customer with the least slot time used for its
 * weight; the earliest latest start.
 */
export class SlotScheduler<Request extends SlotRequest> {
  readonly #waiting = new Map<Request, WaitingRequest<Request>>()
  readonly #underWay = new IndexedHeap<WaitingRequest<Request>>(byClassAndUrgency)
  readonly #classes = new Map<number, ClassQueue<Request>>()
  readonly #waitingClasses = new Set<number>()
  readonly #sizeByClass = new Map<number, number>()
  readonly #minimumShare = new MinimumShare()
  readonly #started = new WeakMap<Request, StartedRequest<Request>>()
  #sequence = 0

  get size(): number {
    return this.#waiting.size
  }

  /** Whether the next request continues a transaction. */
  get isNextUnderWay(): boolean {
    return this.#underWay.size > 0
  }

  /** Only classes with waiting requests. */
  get sizeByClass(): ReadonlyMap<number, number> {
    return this.#sizeByClass
  }

  all(): Iterable<Request> {
    return this.#waiting.keys()
  }

  enqueue(request: Request, now: Milliseconds): void {
    if (this.#waiting.has(request)) return
    this.#sequence += 1
    const waiting = waitingRequest(request, this.#sequence, now)
    this.#waiting.set(request, waiting)
    this.#countWaiting(waiting.classPriority, 1)
    if (request.isUnderWay) {
      this.#underWay.push(waiting)
      return
    }
    this.#classOf(waiting.classPriority).add(waiting)
    this.#waitingClasses.add(waiting.classPriority)
  }

  /** Returns false if the request doesn't wait. */
  remove(request: Request): boolean {
    const waiting = this.#waiting.get(request)
    if (waiting === undefined) return false
    this.#forget(waiting)
    if (request.isUnderWay) this.#underWay.delete(waiting)
    else {
      this.#classOf(waiting.classPriority).delete(waiting)
      this.#settleClass(waiting.classPriority)
    }
    return true
  }

  next(now: Milliseconds): Request | null {
    const waiting = this.#underWay.pop() ?? this.#nextOfClasses(now)
    if (waiting === null) return null
    const { classPriority, costMilliseconds, request } = waiting
    const isMinimumShare = !request.isUnderWay && classPriority !== this.#highestClass()
    this.#minimumShare.accrue(costMilliseconds, this.#waitingClasses)
    if (isMinimumShare) this.#minimumShare.spend(classPriority, costMilliseconds)
    else this.#minimumShare.settle(classPriority, costMilliseconds)
    const queue = this.#classOf(classPriority)
    if (request.isUnderWay) queue.startOutOfOrder(waiting)
    else queue.start(waiting)
    this.#forget(waiting)
    this.#started.set(request, { waiting, isMinimumShare })
    this.#settleClass(classPriority)
    return request
  }

  /** To be called once for each started request; 0 where it used no slot or it is not known for how long. */
  noteSlotTime(request: Request, slotMilliseconds: number, now: Milliseconds): void {
    const started = this.#started.get(request)
    if (started === undefined) return
    this.#started.delete(request)
    const { waiting, isMinimumShare } = started
    const used = slotMilliseconds > 0 ? slotMilliseconds : 0
    this.#classOf(waiting.classPriority).finish(waiting, used)
    if (isMinimumShare) {
      this.#minimumShare.spend(waiting.classPriority, used - waiting.costMilliseconds)
    }
    this.#markLate(now)
    this.#settleClass(waiting.classPriority)
  }

  /** Expected slot time of the waiting requests that would be served before it; it need not wait itself. */
  aheadMilliseconds(request: Request, now: Milliseconds): number {
    return this.position(request, now).aheadMilliseconds
  }

  /** Expected slot time of all waiting requests of its class and customer. */
  ownMilliseconds({ classPriority, customer }: Request): number {
    const queue = this.#classes.get(validClassPriority(classPriority))
    return queue?.millisecondsOf(customer) ?? 0
  }

  /** Where a request stands, or would stand if it were enqueued now. */
  position(request: Request, now: Milliseconds): PositionInOrder {
    this.#markLate(now)
    const waiting = this.#waiting.get(request) ?? waitingRequest(request, this.#sequence + 1, now)
    const underWay = sampledSum(this.#underWay.items, other =>
      request.isUnderWay && byClassAndUrgency(other, waiting) >= 0 ? 0 : other.costMilliseconds,
    )
    if (request.isUnderWay) {
      const none = { classMilliseconds: 0, lateClassMilliseconds: 0, ownMilliseconds: 0 }
      const ahead = this.#underWay.size
      return { aheadMilliseconds: underWay, ...none, ahead }
    }
    const queue = this.#classes.get(waiting.classPriority)
    const backlog = queue?.backlogBefore(waiting)
    const late = queue?.backlogBefore({ ...waiting, isLate: true })
    const classMilliseconds = backlog?.aheadMilliseconds ?? 0
    return {
      aheadMilliseconds: underWay + this.#aheadInClasses(waiting, classMilliseconds),
      classMilliseconds,
      lateClassMilliseconds: late?.aheadMilliseconds ?? 0,
      ownMilliseconds: backlog?.ownAheadMilliseconds ?? 0,
      ahead: this.#underWay.size + this.#countAheadInClasses(waiting, classMilliseconds),
    }
  }

  #countAheadInClasses({ classPriority }: WaitingRequest<Request>, milliseconds: number): number {
    let ahead = 0
    for (const other of this.#waitingClasses) {
      const queue = this.#classOf(other)
      if (other < classPriority) ahead += queue.size
      if (other === classPriority) ahead += queue.size * (milliseconds / queue.milliseconds)
    }
    return Math.round(ahead)
  }

  /** The class's own backlog, all of the higher classes, and the minimum shares of the lower ones. */
  #aheadInClasses(waiting: WaitingRequest<Request>, classMilliseconds: number): number {
    const { classPriority, costMilliseconds } = waiting
    const share = MinimumShare.of(this.#waitingClasses.size)
    let higher = 0
    for (const other of this.#waitingClasses) {
      if (other < classPriority) higher += this.#classOf(other).milliseconds
    }
    const untilDue = (classMilliseconds + costMilliseconds) / share - costMilliseconds
    const ahead = Math.min(classMilliseconds + higher, untilDue)
    let lower = 0
    for (const other of this.#waitingClasses) {
      if (other <= classPriority) continue
      lower += Math.min(this.#classOf(other).milliseconds, ahead * share)
    }
    return ahead + lower
  }

  #nextOfClasses(now: Milliseconds): WaitingRequest<Request> | null {
    this.#markLate(now)
    const highest = this.#highestClass()
    let next = this.#classes.get(highest)?.head ?? null
    let mostOwed = 0
    for (const classPriority of this.#waitingClasses) {
      const head = this.#classOf(classPriority).head
      if (classPriority === highest || head === null) continue
      const owed = this.#minimumShare.credit(classPriority)
      if (owed <= mostOwed) continue
      if (!this.#minimumShare.isDue(classPriority, head.costMilliseconds)) continue
      next = head
      mostOwed = owed
    }
    return next
  }

  #highestClass(): number {
    return Math.min(...this.#waitingClasses)
  }

  #markLate(now: Milliseconds): void {
    for (const classPriority of this.#waitingClasses) this.#classOf(classPriority).markLate(now)
  }

  #classOf(classPriority: number): ClassQueue<Request> {
    const known = this.#classes.get(classPriority)
    if (known !== undefined) return known
    const queue = new ClassQueue<Request>()
    this.#classes.set(classPriority, queue)
    return queue
  }

  #settleClass(classPriority: number): void {
    const queue = this.#classOf(classPriority)
    if (queue.size > 0) return
    this.#waitingClasses.delete(classPriority)
    this.#minimumShare.forfeit(classPriority)
    if (queue.customers === 0) this.#classes.delete(classPriority)
  }

  #forget(waiting: WaitingRequest<Request>): void {
    this.#waiting.delete(waiting.request)
    this.#countWaiting(waiting.classPriority, -1)
  }

  #countWaiting(classPriority: number, change: number): void {
    const size = (this.#sizeByClass.get(classPriority) ?? 0) + change
    if (size > 0) this.#sizeByClass.set(classPriority, size)
    else this.#sizeByClass.delete(classPriority)
  }
}
