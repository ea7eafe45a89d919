/** Takes over orders that stay unanswered, and carries them out seconds later. */
import { setTimeout as delay } from 'node:timers/promises'
import type { BackendCommand } from '@nutmegcourse/protocol'
import { backendServerId, type RandomSource } from '@nutmegcourse/shared'
import type { CommandFault } from '@nutmegcourse/stand-ins'
import type { PromotionCall } from '@nutmegcourse/platform/standIns'
import type { FaultTrace } from './faultTrace.js'
import type { SoakFleet } from './soakFleet.js'

const SHORTEST_DELAY_MILLISECONDS = 2000
const LONGEST_DELAY_MILLISECONDS = 12_000
/** The share of the orders that are late while a fault is active. */
const LATE_SHARE = 0.5

export class LateOrders {
  readonly #fleet: SoakFleet
  readonly #random: RandomSource
  readonly #trace: FaultTrace
  readonly #pending = new Set<Promise<void>>()
  /** The servers to which late promotions are under way, once for each. */
  readonly #pendingPromotions: string[] = []
  /** When the platform last received or carried out a call to promote a server. */
  readonly #promotionCalledAt = new Map<string, number>()
  #lastCarriedOutAt = Number.NEGATIVE_INFINITY
  /** Servers whose orders, and services whose promotions, are late. */
  readonly servers = new Set<string>()
  readonly services = new Set<string>()

  constructor(fleet: SoakFleet, random: RandomSource, trace: FaultTrace) {
    this.#fleet = fleet
    this.#random = random
    this.#trace = trace
  }

  /** Whether an order was still to be carried out at or after `time`. */
  werePendingSince(time: number): boolean {
    return this.#pending.size > 0 || this.#lastCarriedOutAt >= time
  }

  /** Resolves when every order that was taken over has been carried out. */
  async settled(): Promise<void> {
    while (this.#pending.size > 0) await Promise.all(this.#pending)
  }

  /** Whether an order to promote the server is still to be carried out, or was and is about to take effect. */
  isPromotionPending(server: string): boolean {
    const calledAt = this.#promotionCalledAt.get(server) ?? Number.NEGATIVE_INFINITY
    const effectLimit = 2 * this.#fleet.plan.promotionMilliseconds
    return this.#pendingPromotions.includes(server) || performance.now() < calledAt + effectLimit
  }

  takeCommand(server: string, command: BackendCommand): CommandFault {
    if (!isOrder(command)) return 'none'
    const isLate = this.servers.has(server) && this.#random.next() < LATE_SHARE
    if (!isLate) {
      if (command.kind !== 'report') this.#trace.write('order', { server, ...command })
      return 'none'
    }
    this.#carryOutLate('order', { server, ...command }, () => this.#carryOut(server, command))
    return 'lostBefore'
  }

  /** False if the platform answers and carries out the call at once. */
  takePromotion(call: PromotionCall, carryOut: () => boolean): boolean {
    this.#promotionCalledAt.set(call.server, performance.now())
    if (!this.services.has(call.service) || this.#random.next() >= LATE_SHARE) {
      this.#trace.write('promotion', call)
      return false
    }
    this.#pendingPromotions.push(call.server)
    this.#carryOutLate('promotion', call, () => {
      this.#pendingPromotions.splice(this.#pendingPromotions.indexOf(call.server), 1)
      this.#promotionCalledAt.set(call.server, performance.now())
      return carryOut()
    })
    return true
  }

  #carryOutLate(what: string, fields: object, carryOut: () => boolean): void {
    const span = LONGEST_DELAY_MILLISECONDS - SHORTEST_DELAY_MILLISECONDS
    const milliseconds = Math.round(SHORTEST_DELAY_MILLISECONDS + span * this.#random.next() ** 2)
    this.#trace.write(`${what}_late`, { ...fields, milliseconds })
    const pending = delay(milliseconds).then(() => {
      this.#trace.write(`${what}_carried_out`, { ...fields, hasEffect: carryOut() })
      this.#lastCarriedOutAt = performance.now()
      this.#pending.delete(pending)
    })
    this.#pending.add(pending)
  }

  /** False if the server does not run. */
  #carryOut(id: string, command: BackendCommand): boolean {
    const group = this.#fleet.groupOf(id)
    const server = group.servers.get(backendServerId(id))
    if (server === undefined || server.isDown || server.isSilent) return false
    if (command.kind === 'pause') group.pause(server, command.term)
    if (command.kind === 'stepDown') group.stepDown(server, command.term)
    if (command.kind === 'resume') group.resume(server)
    return true
  }
}

function isOrder({ kind }: BackendCommand): boolean {
  return kind === 'report' || kind === 'pause' || kind === 'stepDown' || kind === 'resume'
}
