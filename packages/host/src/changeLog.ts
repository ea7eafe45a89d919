/**
 * Logs a change of primary of one service: its rounds, the answers to its orders, and what the new primary lacks.
 * It decides nothing.
 *
 * A server is queried every few milliseconds while something is awaited, so an answer like the last one is not logged
 * again, except once in a while when the position moved.
 *
 * @internal
 */
import type { BackendCommand, PromotionOrder, ServerReport } from '@nutmegcourse/protocol'
import {
  addMilliseconds,
  type BackendServerId,
  type Milliseconds,
  type Term,
} from '@nutmegcourse/shared'
import { elapsedMilliseconds } from './groupKnowledge.js'
import type { HostContext } from './hostContext.js'
import { PauseWatch } from './pauseWatch.js'
import { PromotionWatch } from './promotionWatch.js'
import type { ServiceState } from './serviceState.js'

/** An answer of a server that receives, and differs only by a later position, is logged at most this often. */
const MOVING_POSITION_MILLISECONDS = 500

/** How an order went, over all its attempts. */
export interface OrderCourse {
  readonly attempts: number
  /** Attempts at which the server had no capacity. */
  readonly busy: number
  readonly unanswered: number
  /** The host through which the server was reached; null if it was reached directly. */
  readonly through: string | null
  readonly tookMilliseconds: number
}

interface LoggedAnswer {
  readonly report: ServerReport
  readonly at: Milliseconds
  /** Answers since then that were not logged. */
  leftOut: number
}

export class ChangeLog {
  readonly #context: HostContext
  readonly #service: ServiceState
  #token: number | null = null
  #watch = new PromotionWatch()
  #pauses = new PauseWatch()
  readonly #answers = new Map<string, LoggedAnswer>()

  constructor(context: HostContext, service: ServiceState) {
    this.#context = context
    this.#service = service
  }

  begin(token: number): void {
    this.#token = token
    this.#answers.clear()
    this.#watch = new PromotionWatch()
    this.#pauses = new PauseWatch()
  }

  tokenRenewed(token: number): void {
    this.#context.log.write('token_renewed', {
      service: this.#service.name,
      token,
      before: this.#token,
    })
    this.#token = token
  }

  round(round: number): void {
    const { clock, log } = this.#context
    const now = clock.now()
    const { name, listing, primaryEvidence } = this.#service
    const primary = this.#service.primary?.entry.server ?? null
    const group = this.#service.describeGroup(now)
    const listedPrimaries = group.filter(({ role }) => role === 'primary')
    for (const { server } of listedPrimaries) this.#watch.recordBelievedPrimary(server)
    if (primary !== null) this.#watch.recordBelievedPrimary(primary)
    log.write('change_round', {
      service: name,
      token: this.#token,
      round,
      group,
      listedMilliseconds: elapsedMilliseconds(listing.firstListAt, now),
      lastListMilliseconds: elapsedMilliseconds(listing.lastListAt, now),
      primary,
      source: primaryEvidence?.source ?? null,
      evidenceMilliseconds: elapsedMilliseconds(primaryEvidence?.at ?? null, now),
    })
  }

  answered(
    server: BackendServerId,
    command: BackendCommand,
    course: OrderCourse,
    report: ServerReport,
  ): void {
    const now = this.#context.clock.now()
    this.#logAnswer(server, command, course, report, now)
    const sentAt = addMilliseconds(now, -course.tookMilliseconds)
    const ended = this.#pauses.recordAnswer(server, command, report, sentAt, now)
    if (ended !== null) {
      this.#context.log.write('pause_ended', {
        service: this.#service.name,
        token: this.#token,
        ...ended,
      })
    }
    const findings = this.#watch.recordReport(server, report, now)
    for (const { event, fields } of findings) {
      if (event === 'promotion_effective') this.#pauses.recordPromotion()
      this.#context.log.write(event, { service: this.#service.name, token: this.#token, ...fields })
    }
  }

  #logAnswer(
    server: BackendServerId,
    command: BackendCommand,
    course: OrderCourse,
    report: ServerReport,
    now: Milliseconds,
  ): void {
    const key = `${command.kind} ${askedTerm(command) ?? ''} ${server}`
    const last = this.#answers.get(key)
    if (last !== undefined && isSimilar(last, report, now)) {
      last.leftOut += 1
      return
    }
    this.#answers.set(key, { report, at: now, leftOut: 0 })
    this.#context.log.write('order_answered', {
      ...this.#describeOrder(server, command, course),
      role: report.role,
      term: report.term,
      position: report.received,
      pausedFor: report.pausedFor,
      leftOut: last?.leftOut ?? 0,
    })
  }

  unanswered(server: BackendServerId, command: BackendCommand, course: OrderCourse): void {
    this.#context.log.write('order_unanswered', this.#describeOrder(server, command, course))
  }

  promotionOrdered(
    order: PromotionOrder,
    outcome: string,
    attempt: number,
    sentAt: Milliseconds,
  ): void {
    const { clock, log } = this.#context
    this.#watch.recordOrder(order.server, sentAt)
    const tookMilliseconds = Math.round(clock.now() - sentAt)
    log.write('promotion_ordered', { ...order, outcome, attempt, tookMilliseconds })
  }

  #describeOrder(
    server: BackendServerId,
    command: BackendCommand,
    course: OrderCourse,
  ): Readonly<Record<string, unknown>> {
    return {
      service: this.#service.name,
      token: this.#token,
      server,
      order: command.kind,
      askedTerm: askedTerm(command),
      ...course,
    }
  }
}

const askedTerm = (command: BackendCommand): Term | null =>
  'term' in command ? command.term : null

function isSimilar(last: LoggedAnswer, report: ServerReport, now: Milliseconds): boolean {
  const before = last.report
  const isSame =
    before.role === report.role &&
    before.term === report.term &&
    before.pausedFor === report.pausedFor &&
    before.received.term === report.received.term
  if (!isSame || report.received.offset < before.received.offset) return false
  return (
    report.received.offset === before.received.offset ||
    (report.pausedFor === 0 && now - last.at < MOVING_POSITION_MILLISECONDS)
  )
}
