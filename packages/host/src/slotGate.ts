/**
 * Lets statements through to one backend server as its slots become free: promises, timers and log lines around the
 * decisions of `ServerSlots`.
 *
 * @internal
 */
import type { Route } from '@nutmegcourse/protocol'
import { addMilliseconds, type BackendServerId, type CustomerName } from '@nutmegcourse/shared'
import {
  Admission,
  ConcurrencyLimit,
  ServerSlots,
  ServiceEstimate,
  type SlotRequest,
  type SlotResult,
  type Submission,
} from '@nutmegcourse/state'
import { CustomerTally } from './customerTally.js'
import type { HostContext } from './hostContext.js'
import {
  reportSlotOverdue,
  reportSlotRefused,
  type GatedStatement,
  type QueuedSubmission,
} from './slotReports.js'
import type { StatementRequest } from './statements.js'
import type { Withdrawal } from './waiting.js'

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
  /** The server is gone, or lost the role that the statement needs, or the request was withdrawn. */
  | { readonly kind: 'withdrawn' }

interface GateRequest extends GatedStatement {
  queued: QueuedSubmission | null
  settle(access: SlotAccess): void
}

export class SlotGate {
  readonly #context: HostContext
  readonly #server: BackendServerId
  readonly #limit: ConcurrencyLimit
  readonly #slots: ServerSlots<GateRequest>
  readonly #unsent: () => number
  readonly #waiting = new Set<GateRequest>()
  #wasSilent = false
  /** How long statements occupy a slot, by route. */
  readonly #slotTimes = new Map<string, ServiceEstimate>()
  /** Statements that were refused at once. */
  readonly refused = new CustomerTally()
  /** Statements that waited until it was too late. */
  readonly overdue = new CustomerTally()

  /** `unsent`: returns how many statements with a slot wait for connections that are in use. */
  constructor(context: HostContext, server: BackendServerId, slots: number, unsent = () => 0) {
    this.#context = context
    this.#server = server
    this.#unsent = unsent
    this.#limit = new ConcurrencyLimit(slots)
    this.#slots = new ServerSlots({ limit: this.#limit, admission: new Admission() })
  }

  /** The server's entry says that it has this many slots. */
  resize(slots: number): void {
    this.#limit.resize(slots, this.#context.clock.now())
  }

  /** Statements that run at the server or wait for a slot. */
  get load(): number {
    return this.#slots.inFlight + this.#slots.waiting
  }

  get hasFreeSlot(): boolean {
    return this.#slots.waiting === 0 && this.#slots.inFlight < this.#slots.limit
  }

  /** How many statements the server may have in flight. */
  get limit(): number {
    return this.#slots.limit
  }

  get inFlight(): number {
    return this.#slots.inFlight
  }

  /** By priority; only classes with waiting statements. */
  get waitingByClass(): ReadonlyMap<number, number> {
    return this.#slots.waitingByClass
  }

  get waitingByCustomer(): ReadonlyMap<CustomerName | null, number> {
    const counts = new Map<CustomerName | null, number>()
    for (const { customer } of this.#waiting) counts.set(customer, (counts.get(customer) ?? 0) + 1)
    return counts
  }

  /** Slot time that each customer used recently. */
  get usedMilliseconds(): ReadonlyMap<CustomerName | null, number> {
    return this.#slots.usedMilliseconds(this.#context.clock.now())
  }

  /** Expected wait of a statement that arrives now, of a customer that has nothing waiting. */
  forecastMilliseconds(route: Route): number {
    const now = this.#context.clock.now()
    const expectedMilliseconds = this.#slotTimesOf(route.name).at(now)
    const newcomer: GateRequest = {
      classPriority: route.priority,
      customer: null,
      customerWeight: 1,
      arrivedAt: now,
      targetAt: addMilliseconds(now, route.latencyTargetMilliseconds),
      latestStart: addMilliseconds(now, route.statementTimeoutMilliseconds - expectedMilliseconds),
      isUnderWay: false,
      expectedMilliseconds,
      id: '',
      route: route.name,
      queued: null,
      settle: () => {
        // It is never submitted.
      },
    }
    return this.#slots.forecastNewcomer(newcomer, now)
  }

  /** Waits for a slot, until its latest start or until it is withdrawn. */
  enter(
    request: StatementRequest,
    terms: Omit<SlotRequest, 'customer' | 'arrivedAt' | 'expectedMilliseconds'>,
    withdrawal?: Withdrawal,
  ): Promise<SlotAccess> {
    return new Promise(resolve => {
      const { clock } = this.#context
      const gated: GateRequest = {
        ...terms,
        customer: request.customer,
        arrivedAt: request.arrivedAt,
        expectedMilliseconds: this.#slotTimesOf(request.route.name).at(clock.now()),
        id: request.statement.id,
        route: request.route.name,
        queued: null,
        settle: access => {
          clearTimeout(timer)
          stopListening?.()
          this.#waiting.delete(gated)
          resolve(access)
        },
      }
      const timer = setTimeout(
        () => {
          this.#slots.withdraw(gated)
          this.#expire(gated)
        },
        Math.max(0, terms.latestStart - clock.now()),
      )
      const stopListening = withdrawal?.onWithdrawn(() => {
        this.#withdraw(gated)
      })
      this.#submitted(gated, this.#slots.submit(gated, clock.now()))
    })
  }

  #submitted(gated: GateRequest, submission: Submission): void {
    switch (submission.kind) {
      case 'started':
        gated.settle(this.#entered(gated))
        return
      case 'queued':
        gated.queued = submission
        this.#waiting.add(gated)
        if (gated.isUnderWay) this.#startNext()
        return
      case 'refused': {
        const now = this.#context.clock.now()
        this.refused.count(gated.customer, now)
        reportSlotRefused(this.#context, this.#state, gated, submission, now)
        gated.settle({ kind: 'overloaded', waitMilliseconds: submission.retryAfterMilliseconds })
      }
    }
  }

  #expire(gated: GateRequest): void {
    const now = this.#context.clock.now()
    this.overdue.count(gated.customer, now)
    reportSlotOverdue(this.#context, this.#state, gated, now)
    gated.settle({ kind: 'overdue' })
  }

  get #state() {
    const { limit, inFlight, waiting } = this.#slots
    return { server: this.#server, limit, inFlight, waiting }
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
    for (const gated of this.#slots.takeExpired(now)) this.#expire(gated)
    for (const gated of this.#slots.takeStartable(now, this.#unsent()))
      gated.settle(this.#entered(gated))
  }

  /**
   * `isSilent`: the server has owed answers for too long; new work that waits looks for another server, once. Open
   * transactions would be aborted, and can go on if the server answers again.
   */
  tick(isSilent: boolean): void {
    if (this.#waiting.size > 0) this.#startNext()
    if (isSilent && !this.#wasSilent) this.withdrawWaiting(({ isUnderWay }) => !isUnderWay)
    this.#wasSilent = isSilent
  }

  /** Fails waiting requests, by default all; new work then looks for another server. */
  withdrawWaiting(isMeant: (request: SlotRequest) => boolean = () => true): void {
    for (const gated of [...this.#waiting].filter(isMeant)) this.#withdraw(gated)
  }

  #withdraw(gated: GateRequest): void {
    this.#slots.withdraw(gated)
    gated.settle({ kind: 'withdrawn' })
  }
}
