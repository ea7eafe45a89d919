/**
 * The steps of one claim to change the primary of a group: choose, order the promotion, wait until it takes effect,
 * and end the pauses that outlast it.
 *
 * Invariant: an order to promote is sent in a round that asked the group after the order before, and only for a server
 * whose log has reached the received bound, unless no server can supply the missing records (`LongerLogWait`). An order
 * that got no answer is thus never repeated as it is. It may be carried out as long as no newer token was seen, so the
 * next round has a newer token, and allows for the older order (`ChangePlan.hasUnfinishedOrder`): at most one server is
 * ordered under a token.
 */
import {
  addMilliseconds,
  type BackendServerId,
  type Clock,
  type LogPosition,
  type Milliseconds,
  type Term,
} from '@nutmegcourse/shared'
import type { PromotionOutcome, ServerReport } from '@nutmegcourse/protocol'
import { err, type Result } from 'neverthrow'
import {
  PrimaryChoice,
  type ChangePlan,
  type ChoiceFailure,
  type ChosenPrimary,
  type GroupOrders,
} from './primaryChange.js'
import { LongerLogWait } from './longerLogWait.js'
import { PauseGuard } from './pauseGuard.js'
import type { ReceivedBound } from './receivedBound.js'

/** What the steps of a change need from the host that holds the claim. */
export interface ChangePorts extends GroupOrders {
  /** The group as known now. */
  plan(): ChangePlan
  resume(server: BackendServerId): Promise<ServerReport | null>
  /** `attempt`: the orders of this claim before it that got no answer. */
  promote(server: BackendServerId, attempt: number): Promise<PromotionOutcome['kind']>
  /** Whether the claim is certain to be in force. */
  isClaimHeld(): boolean
  /** Returns false if the claim has ended. */
  renewClaim(): Promise<boolean>
  /** Replaces the token by a newer one, which ends the orders under the older ones. Returns false if that failed. */
  renewToken(): Promise<boolean>
  /** What any replica was seen to have received, by this host and those that it reaches. */
  readonly received: ReceivedBound
  /** Resolves once the other hosts have sent the positions that they know, or the request has timed out. */
  othersAsked(): Promise<void>
  /** Whether the server ran a statement, sent after `since`, that only a primary runs. */
  hasLedSince(server: BackendServerId, since: Milliseconds): boolean
  waitBeforeRound(): Promise<void>
  /** Receives each decision, for the log. */
  record(event: ChangeEvent): void
}

export type ChangeEvent =
  | { readonly kind: 'round'; readonly round: number }
  | { readonly kind: 'waiting'; readonly failure: ChoiceFailure }
  | { readonly kind: 'chosen'; readonly chosen: ChosenPrimary }
  /** A server joined the group after the choice and has been paused. */
  | { readonly kind: 'joined'; readonly server: BackendServerId; readonly position: LogPosition }
  | {
      readonly kind: 'promoted'
      readonly chosen: ChosenPrimary
      /** The first report of the new primary; null if it gave none, but ran a statement. */
      readonly report: ServerReport | null
    }
  | {
      readonly kind: 'resumed'
      readonly server: BackendServerId
      readonly pausedFor: Term
      readonly isAnswered: boolean
    }

export type ChangeEnd =
  /** `hasUnansweredOrder`: an attempt at the order got no answer and may be carried out again later. */
  | {
      readonly kind: 'done'
      readonly primary: BackendServerId
      readonly hasUnansweredOrder: boolean
    }
  | { readonly kind: 'claimLost' }
  /** The order to promote this server may still take effect. */
  | { readonly kind: 'unresolved'; readonly server: BackendServerId }
  | { readonly kind: 'givenUp' }

type OrderEnd =
  | 'effective'
  /** Nothing was done, and nothing will be. */
  | 'refused'
  /** The order may still be carried out. */
  | 'unanswered'
  /** The order was accepted, but no effect was seen. */
  | 'unresolved'
  | 'claimLost'

interface PendingOrder {
  readonly chosen: ChosenPrimary
  readonly sentAt: Milliseconds
}

/** Rounds of one claim; each queries all servers again. */
const MAX_ROUNDS = 40

/** Orders to promote of one claim that may stay unanswered. */
const MAX_UNANSWERED_ORDERS = 8

/** The time that the platform takes for a promotion, and a reserve. */
const PROMOTION_EFFECT_LIMIT_MILLISECONDS = 3000

/** An order that was carried out before a newer token was seen takes effect within this time. */
const EARLIER_ORDER_EFFECT_MILLISECONDS = 1500

/** Attempts at ending a pause that outlasts the promotion. */
const MAX_RESUME_ATTEMPTS = 5

export class PrimaryChangeRun {
  readonly #ports: ChangePorts
  readonly #clock: Clock
  readonly #longerLog: LongerLogWait
  /** Servers that were found to have lost their log. */
  readonly #withoutLog = new Set<BackendServerId>()
  /** An order under the present token that may still be carried out. */
  #pending: PendingOrder | null = null
  #unansweredOrders = 0
  /** The group that was asked in the last round. */
  #asked: ChangePlan | null = null
  /** The last report of the server that was ordered to be promoted. */
  #lastReport: ServerReport | null = null

  constructor(ports: ChangePorts, clock: Clock) {
    this.#ports = ports
    this.#clock = clock
    this.#longerLog = new LongerLogWait(ports.received, clock)
  }

  async run(): Promise<ChangeEnd> {
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
      if (round > 0) await this.#ports.waitBeforeRound()
      if (!(await this.#ports.renewClaim())) return { kind: 'claimLost' }
      const effective = await this.#endPendingOrder()
      if (effective !== null) return this.#finish(effective, null)
      this.#ports.record({ kind: 'round', round })
      const choice = await this.#choose()
      if (choice.isErr()) {
        this.#ports.record({ kind: 'waiting', failure: choice.error })
        continue
      }
      const chosen = choice.value
      this.#ports.record({ kind: 'chosen', chosen })
      const guard = this.#guardOf(chosen)
      const ended = await this.#order(chosen, guard)
      if (ended !== 'effective') await guard.settledPauses()
      switch (ended) {
        case 'effective':
          return this.#finish(chosen, guard)
        case 'refused':
          continue
        case 'unanswered':
          if (this.#unansweredOrders < MAX_UNANSWERED_ORDERS) continue
          return { kind: 'unresolved', server: chosen.server }
        case 'unresolved':
          return { kind: 'unresolved', server: chosen.server }
        case 'claimLost':
          return { kind: 'claimLost' }
      }
    }
    return { kind: 'givenUp' }
  }

  /** Chooses among the group as it is now; the choice holds only if the group is still the same at its end. */
  async #choose(): Promise<Result<ChosenPrimary, ChoiceFailure>> {
    const known = this.#ports.plan()
    const hasUnfinishedOrder = known.hasUnfinishedOrder || this.#unansweredOrders > 0
    this.#asked = { ...known, hasUnfinishedOrder }
    const othersAsked = this.#ports.othersAsked()
    const choice = await this.#newChoice(this.#asked).choose()
    if (choice.isErr()) return choice
    const newcomer = findNewcomer(known, this.#ports.plan())
    if (newcomer !== null) return err({ kind: 'groupChanged', server: newcomer })
    const { server } = choice.value
    if (this.#pending !== null && this.#pending.chosen.server !== server) {
      return err({ kind: 'orderPending', server: this.#pending.chosen.server })
    }
    if (choice.value.leader === null) await othersAsked
    const short = this.#longerLog.findLacking(choice.value)
    return short === null ? choice : err(short)
  }

  #newChoice(plan: ChangePlan): PrimaryChoice {
    return new PrimaryChoice(plan, this.#ports, this.#withoutLog, this.#ports.received)
  }

  /**
   * Returns the choice whose unanswered order took effect. Otherwise the token is renewed, so that another server may be
   * ordered.
   */
  async #endPendingOrder(): Promise<ChosenPrimary | null> {
    const pending = this.#pending
    if (pending === null) return null
    const { chosen, sentAt } = pending
    if (chosen.how !== 'primaryKept' && (await this.#leads(chosen.server, sentAt))) {
      this.#ports.record({ kind: 'promoted', chosen, report: this.#lastReport })
      return chosen
    }
    if (await this.#ports.renewToken()) this.#pending = null
    return null
  }

  #guardOf(chosen: ChosenPrimary): PauseGuard {
    const known = this.#asked?.members ?? []
    return new PauseGuard(chosen, new Set(known.map(({ server }) => server)), {
      pause: (server, pausedFor) => this.#ports.pause(server, pausedFor),
      stepDown: (server, nextTerm) => this.#ports.stepDown(server, nextTerm),
      members: () => this.#ports.plan().members.map(({ server }) => server),
      onJoined: (server, position) => {
        this.#ports.record({ kind: 'joined', server, position })
      },
    })
  }

  async #order(chosen: ChosenPrimary, guard: PauseGuard): Promise<OrderEnd> {
    if (!this.#ports.isClaimHeld()) return 'claimLost'
    const sentAt = this.#clock.now()
    const ordered = this.#ports.promote(chosen.server, this.#unansweredOrders)
    const outcome = await this.#whileGuarded(chosen, guard, ordered)
    switch (outcome) {
      case 'accepted':
        this.#pending = null
        return this.#awaitEffect(chosen, guard, sentAt)
      case 'rejected':
      case 'unavailable':
        return 'refused'
      case 'noAnswer':
        this.#unansweredOrders += 1
        this.#pending = { chosen, sentAt }
        return 'unanswered'
    }
  }

  /**
   * Keeps the group paused while an order is awaited: it may be carried out although its answer is late or lost. Once the
   * chosen server is known to lack something, the answer is not awaited any more, as only a newer token ends the order.
   */
  async #whileGuarded(
    chosen: ChosenPrimary,
    guard: PauseGuard,
    outcome: Promise<PromotionOutcome['kind']>,
  ): Promise<PromotionOutcome['kind']> {
    const answer = outcome.then(value => ({ value }))
    for (;;) {
      const first = await Promise.race([answer, this.#ports.waitBeforeRetry().then(() => null)])
      if (first !== null) return first.value
      this.#repeatPauses(guard)
      if (await this.#isOvertaken(chosen)) return 'noAnswer'
    }
  }

  /** Whether a replica was seen to have what the chosen server lacks, also by now. */
  async #isOvertaken({ server, position, newestTerm }: ChosenPrimary): Promise<boolean> {
    const { received } = this.#ports
    if (received.beyond(position, newestTerm) === null) return false
    const report = await this.#ports.report(server)
    if (report === null) return true
    if (report.term > newestTerm) return false
    return received.beyond(report.received, newestTerm) !== null
  }

  async #awaitEffect(
    chosen: ChosenPrimary,
    guard: PauseGuard,
    orderedAt: Milliseconds,
  ): Promise<OrderEnd> {
    const isEffective =
      chosen.how === 'primaryKept'
        ? await this.#staysPrimary(chosen, guard)
        : await this.#becomesPrimary(chosen.server, orderedAt, guard)
    if (isEffective) this.#ports.record({ kind: 'promoted', chosen, report: this.#lastReport })
    return isEffective ? 'effective' : 'unresolved'
  }

  async #becomesPrimary(
    server: BackendServerId,
    orderedAt: Milliseconds,
    guard: PauseGuard,
  ): Promise<boolean> {
    const limit = addMilliseconds(this.#clock.now(), PROMOTION_EFFECT_LIMIT_MILLISECONDS)
    while (this.#clock.now() < limit) {
      this.#repeatPauses(guard)
      if (await this.#leads(server, orderedAt)) return true
      await this.#ports.waitBeforeRetry()
    }
    return false
  }

  /** The new token stops orders from now on; one that was carried out before it may still replace the primary. */
  async #staysPrimary({ server, newestTerm }: ChosenPrimary, guard: PauseGuard): Promise<boolean> {
    const limit = addMilliseconds(this.#clock.now(), EARLIER_ORDER_EFFECT_MILLISECONDS)
    while (this.#clock.now() < limit) {
      this.#repeatPauses(guard)
      await this.#ports.waitBeforeRetry()
    }
    const report = await this.#ports.report(server)
    return report?.role === 'primary' && report.term <= newestTerm
  }

  #repeatPauses(guard: PauseGuard): void {
    if (this.#ports.isClaimHeld()) guard.repeat()
  }

  async #leads(server: BackendServerId, since: Milliseconds): Promise<boolean> {
    const report = await this.#ports.report(server)
    this.#lastReport = report
    return report?.role === 'primary' || this.#ports.hasLedSince(server, since)
  }

  /** A pause that is still under way has to end before it is ended; only its own server waits for it. */
  async #finish(chosen: ChosenPrimary, guard: PauseGuard | null): Promise<ChangeEnd> {
    const { server } = chosen
    const frozen = new Set(chosen.frozen.map(each => each.server))
    const others = this.#ports.plan().members.filter(member => member.server !== server)
    await Promise.all(
      others.map(async member => {
        await guard?.settled(member.server)
        await this.#endPause(member.server, frozen.has(member.server))
      }),
    )
    return { kind: 'done', primary: server, hasUnansweredOrder: this.#pending !== null }
  }

  /**
   * A promotion ends pauses, but not one that arrived late or was for a later term. Such a replica would lag forever.
   * Only the holder of the claim may end a pause: the next holder may rely on it.
   */
  async #endPause(server: BackendServerId, wasPaused: boolean): Promise<void> {
    for (let attempt = 0; attempt < MAX_RESUME_ATTEMPTS; attempt += 1) {
      const report = await this.#ports.report(server)
      if (report === null && wasPaused) continue
      if (report === null || report.role === 'primary' || report.pausedFor === 0) return
      if (!this.#ports.isClaimHeld()) return
      const resumed = await this.#ports.resume(server)
      this.#ports.record({
        kind: 'resumed',
        server,
        pausedFor: report.pausedFor,
        isAnswered: resumed !== null,
      })
      if (resumed?.pausedFor === 0) return
    }
  }
}

/**
 * A listed server that was not listed when the group was asked, or not in its present incarnation. It is not paused, and
 * may have acknowledged writes since then.
 */
function findNewcomer(asked: ChangePlan, present: ChangePlan): BackendServerId | null {
  const startOf = new Map(
    asked.members
      .filter(({ isListed }) => isListed)
      .map(member => [member.server, member.startedAtUnixMilliseconds]),
  )
  const newcomer = present.members.find(
    ({ server, isListed, startedAtUnixMilliseconds }) =>
      isListed && startOf.get(server) !== startedAtUnixMilliseconds,
  )
  return newcomer?.server ?? null
}
