/**
 * Lets statements through to one backend server as its slots become free: promises, timers and log lines around the
 * decisions of `ServerSlots`.
 *
 * @internal
 */
import type { BackendServerId } from '@nutmegcourse/shared'
import {
  Admission,
  ConcurrencyLimit,
  ServerSlots,
  ServiceEstimate,
  type SlotRequest,
  type SlotResult,
  type Submission,
} from '@nutmegcourse/state'
import type { HostContext } from './hostContext.js'
import type { StatementRequest } from './statements.js'

/** A statement's use of a slot, which ends with the statement's answer. */
export interface SlotUse {
  end(result: SlotResult): void
}

/** Where slots are not scheduled. */
export const UNSCHEDULED_SLOT: SlotUse = {
  end: () => {
    // Nothing counts the slot.
  },
}

export type SlotAccess =
  | { readonly kind: 'entered'; readonly slot: SlotUse }
  /** It can not be served in time. */
  | { readonly kind: 'overloaded'; readonly waitMilliseconds: number }
  /** The time until which it was to wait is over. */
  | { readonly kind: 'overdue' }
  /** The server is gone, or lost the role that the statement needs. */
  | { readonly kind: 'withdrawn' }

interface GateRequest extends SlotRequest {
  readonly route: string
  settle(access: SlotAccess): void
}

export class SlotGate {
  readonly #context: HostContext
  readonly #server: BackendServerId
  readonly #slots: ServerSlots<GateRequest>
  readonly #waiting = new Set<GateRequest>()
  #wasSilent = false
  /** How long statements occupy a slot, by route. */
  readonly #slotTimes = new Map<string, ServiceEstimate>()

  constructor(context: HostContext, server: BackendServerId, slots: number) {
    this.#context = context
    this.#server = server
    this.#slots = new ServerSlots({
      limit: new ConcurrencyLimit(slots),
      admission: new Admission(),
    })
  }

  /** Statements that run at the server or wait for a slot. */
  get load(): number {
    return this.#slots.inFlight + this.#slots.waiting
  }

  get hasFreeSlot(): boolean {
    return this.#slots.waiting === 0 && this.#slots.inFlight < this.#slots.limit
  }

  /** Waits for a slot, until its latest start. */
  enter(
    request: StatementRequest,
    terms: Omit<SlotRequest, 'customer' | 'arrivedAt' | 'expectedMilliseconds'>,
  ): Promise<SlotAccess> {
    return new Promise(resolve => {
      const { clock } = this.#context
      const { customer, arrivedAt } = request
      const gated: GateRequest = {
        ...terms,
        customer,
        arrivedAt,
        expectedMilliseconds: this.#slotTimesOf(request.route.name).at(clock.now()),
        route: request.route.name,
        settle: access => {
          clearTimeout(timer)
          this.#waiting.delete(gated)
          resolve(access)
        },
      }
      const timer = setTimeout(
        () => {
          this.#slots.withdraw(gated)
          gated.settle({ kind: 'overdue' })
        },
        Math.max(0, terms.latestStart - clock.now()),
      )
      this.#submitted(request, gated, this.#slots.submit(gated, clock.now()))
    })
  }

  #submitted(request: StatementRequest, gated: GateRequest, submission: Submission): void {
    switch (submission.kind) {
      case 'started':
        gated.settle(this.#entered(gated))
        return
      case 'queued':
        this.#waiting.add(gated)
        return
      case 'refused': {
        const { forecastMilliseconds, retryAfterMilliseconds, ahead } = submission
        this.#context.log.write('slot_refused', {
          request: request.statement.id,
          route: request.route.name,
          customer: request.customer,
          server: this.#server,
          ahead,
          forecastMilliseconds: Math.round(forecastMilliseconds),
          leftMilliseconds: Math.round(gated.latestStart - this.#context.clock.now()),
          retryAfterMilliseconds: Math.round(retryAfterMilliseconds),
          limit: this.#slots.limit,
          inFlight: this.#slots.inFlight,
          waiting: this.#slots.waiting,
        })
        gated.settle({ kind: 'overloaded', waitMilliseconds: retryAfterMilliseconds })
      }
    }
  }

  #entered(gated: GateRequest): SlotAccess {
    let isEnded = false
    const end = (result: SlotResult): void => {
      if (isEnded) return
      isEnded = true
      const now = this.#context.clock.now()
      if (result.kind === 'answered') {
        this.#slotTimesOf(gated.route).record(result.slotMilliseconds, now)
      }
      this.#slots.finish(gated, result, now)
      this.#startNext()
    }
    return { kind: 'entered', slot: { end } }
  }

  #slotTimesOf(route: string): ServiceEstimate {
    const known = this.#slotTimes.get(route)
    if (known !== undefined) return known
    const estimate = new ServiceEstimate()
    this.#slotTimes.set(route, estimate)
    return estimate
  }

  #startNext(): void {
    const now = this.#context.clock.now()
    for (const gated of this.#slots.takeExpired(now)) gated.settle({ kind: 'overdue' })
    for (const gated of this.#slots.takeStartable(now)) gated.settle(this.#entered(gated))
  }

  /** `isSilent`: the server has owed answers for too long; what waits looks for another server, once. */
  tick(isSilent: boolean): void {
    if (this.#waiting.size > 0) this.#startNext()
    if (isSilent && !this.#wasSilent) this.withdrawWaiting()
    this.#wasSilent = isSilent
  }

  /** Fails all waiting requests, which then look for another server. */
  withdrawWaiting(): void {
    for (const gated of [...this.#waiting]) {
      this.#slots.withdraw(gated)
      gated.settle({ kind: 'withdrawn' })
    }
  }
}
