/**
 * Forecasts when a request will start, from what waits before it and from what is expected to arrive and
 * overtake it while it waits.
 *
 * @internal
 */
import type { CustomerName, Milliseconds } from '@nutmegcourse/shared'
import { MINIMUM_SHARE } from './minimumShare.js'
import { SlidingTotals } from './slidingTotals.js'
import type { SlotRequest } from './slotRequest.js'
import type { PositionInOrder } from './slotScheduler.js'
import { validClassPriority } from './waitingRequest.js'

/** Demand of the recent past is taken for that of the near future. */
const PERIOD_MILLISECONDS = 2000

interface ClassDemand {
  readonly total: SlidingTotals<null>
  readonly byCustomer: SlidingTotals<CustomerName | null>
}

export class SlotDemand {
  readonly #classes = new Map<number, ClassDemand>()

  /** Counts an admitted request. */
  record(request: SlotRequest, now: Milliseconds): void {
    const classPriority = validClassPriority(request.classPriority)
    const demand = this.#classes.get(classPriority) ?? {
      total: new SlidingTotals<null>(PERIOD_MILLISECONDS),
      byCustomer: new SlidingTotals<CustomerName | null>(PERIOD_MILLISECONDS),
    }
    this.#classes.set(classPriority, demand)
    const milliseconds = request.expectedMilliseconds > 0 ? request.expectedMilliseconds : 0
    demand.total.add(null, milliseconds, now)
    demand.byCustomer.add(request.customer, milliseconds, now)
  }

  /** Slot time until a request starts on a server with `slots`, including what will overtake it. */
  aheadMilliseconds(
    request: SlotRequest,
    position: PositionInOrder,
    inFlightMilliseconds: number,
    slots: number,
    now: Milliseconds,
  ): number {
    const ahead = position.aheadMilliseconds + inFlightMilliseconds
    if (request.isUnderWay) return ahead
    const left = slots - this.#slotsOfHigherClasses(request, now)
    const guaranteed = slots * MINIMUM_SHARE
    const needed = position.classMilliseconds + request.expectedMilliseconds
    const untilDue = inFlightMilliseconds / slots + needed / guaranteed
    const byClass = left <= 0 ? untilDue : Math.min(ahead / left, Math.max(untilDue, ahead / slots))
    const classSlots = Math.max(left, guaranteed)
    const customerSlots = Math.max(
      classSlots - this.#slotsOfOtherCustomers(request, now),
      classSlots * position.customerShare,
    )
    return slots * Math.max(byClass, position.ownMilliseconds / customerSlots)
  }

  #slotsOfHigherClasses(request: SlotRequest, now: Milliseconds): number {
    const classPriority = validClassPriority(request.classPriority)
    let slots = 0
    for (const [other, { total }] of this.#classes) {
      total.advance(now)
      if (other < classPriority) slots += total.get(null) / PERIOD_MILLISECONDS
    }
    return slots
  }

  #slotsOfOtherCustomers(request: SlotRequest, now: Milliseconds): number {
    const demand = this.#classes.get(validClassPriority(request.classPriority))
    if (demand === undefined) return 0
    demand.byCustomer.advance(now)
    const others = demand.total.get(null) - demand.byCustomer.get(request.customer)
    return Math.max(0, others) / PERIOD_MILLISECONDS
  }
}
