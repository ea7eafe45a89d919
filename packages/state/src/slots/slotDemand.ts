/**
 * Forecasts when a request will start, from what waits before it and from what is expected to arrive and
 * overtake it while it waits.
 *
 * @internal
 */
import type { Milliseconds } from '@nutmegcourse/shared'
import { ClassDemand } from './classDemand.js'
import { MINIMUM_SHARE } from './minimumShare.js'
import type { SlotRequest } from './slotRequest.js'
import type { PositionInOrder } from './slotScheduler.js'
import { validClassPriority, validCost, validWeight } from './waitingRequest.js'

/** What a server has in flight, and how much it processes concurrently. */
export interface ServerLoad {
  readonly slots: number
  /** Expected slot time until what is in flight has finished. */
  readonly inFlightMilliseconds: number
}

/**
 * What the forecast of a request consists of for the most part. `queue`: what waits before it and is in flight.
 * `higherClasses`: what these are expected to send meanwhile. `customer`: the backlog of its own customer, which has more
 * waiting than its share. `target`: it would miss its target, and what can still meet one goes first.
 */
export type ForecastCause = 'queue' | 'higherClasses' | 'customer' | 'target'

/** Slot time until a request starts, including what will overtake it. */
export interface SlotForecast {
  readonly aheadMilliseconds: number
  readonly cause: ForecastCause
}

export class SlotDemand {
  readonly #classes = new Map<number, ClassDemand>()

  recordOffered(request: SlotRequest, now: Milliseconds): void {
    this.#classOf(request).recordOffered(validCost(request.expectedMilliseconds), now)
  }

  recordAdmitted(request: SlotRequest, now: Milliseconds): void {
    const { customer, customerWeight, expectedMilliseconds } = request
    const cost = validCost(expectedMilliseconds)
    this.#classOf(request).recordAdmitted(customer, validWeight(customerWeight), cost, now)
  }

  forecast(
    request: SlotRequest,
    position: PositionInOrder,
    { slots, inFlightMilliseconds }: ServerLoad,
    now: Milliseconds,
  ): SlotForecast {
    const ahead = position.aheadMilliseconds + inFlightMilliseconds
    if (request.isUnderWay) return { aheadMilliseconds: ahead, cause: 'queue' }
    const cost = validCost(request.expectedMilliseconds)
    const left = slots - this.#slotsOfHigherClasses(request, now)
    const guaranteed = slots * MINIMUM_SHARE
    const needed = position.classMilliseconds + cost
    const untilDue = inFlightMilliseconds / slots + needed / guaranteed
    const byClass = left <= 0 ? untilDue : Math.min(ahead / left, Math.max(untilDue, ahead / slots))
    const classSlots = Math.max(left, guaranteed)
    const ownSlots = this.#slotsOfCustomer(request, classSlots, now)
    const own = position.ownMilliseconds
    // Shares hold to within one statement.
    const byCustomer = own > 0 ? (own + cost) / ownSlots : 0
    const wait = Math.max(byClass, byCustomer)
    const cause = own / ownSlots > byClass ? 'customer' : causeByClass(byClass, ahead / slots)
    if (now + wait + cost <= request.targetAt) return { aheadMilliseconds: slots * wait, cause }
    const aheadWhenLate = ahead - position.classMilliseconds + position.lateClassMilliseconds
    const waitWhenLate = this.#waitWhenLate(request, aheadWhenLate, classSlots, now)
    return {
      aheadMilliseconds: slots * Math.max(wait, waitWhenLate),
      cause: waitWhenLate > wait ? 'target' : cause,
    }
  }

  /** A late request gets what those leave over that arrive after it and can meet their targets. */
  #waitWhenLate(
    request: SlotRequest,
    ahead: number,
    classSlots: number,
    now: Milliseconds,
  ): number {
    const afterDeadline = request.latestStart + validCost(request.expectedMilliseconds) - now
    const leftOver = classSlots - this.#classOf(request).offeredSlots(now)
    return leftOver > 0 ? Math.min(ahead / leftOver, afterDeadline) : afterDeadline
  }

  /** What the other customers of its class leave over, or its fair share. */
  #slotsOfCustomer(request: SlotRequest, classSlots: number, now: Milliseconds): number {
    const demand = this.#classOf(request)
    const leftOver = classSlots - demand.slotsOfOthers(request.customer, now)
    const fairShare = demand.fairShare(validWeight(request.customerWeight), now)
    return Math.max(leftOver, classSlots * fairShare)
  }

  #slotsOfHigherClasses(request: SlotRequest, now: Milliseconds): number {
    const classPriority = validClassPriority(request.classPriority)
    let slots = 0
    for (const [other, demand] of this.#classes) {
      if (demand.offeredSlots(now) === 0) this.#classes.delete(other)
      else if (other < classPriority) slots += demand.slots(now)
    }
    return slots
  }

  #classOf(request: SlotRequest): ClassDemand {
    const classPriority = validClassPriority(request.classPriority)
    const known = this.#classes.get(classPriority)
    if (known !== undefined) return known
    const demand = new ClassDemand()
    this.#classes.set(classPriority, demand)
    return demand
  }
}

const causeByClass = (wait: number, queued: number): ForecastCause =>
  queued >= wait / 2 ? 'queue' : 'higherClasses'
