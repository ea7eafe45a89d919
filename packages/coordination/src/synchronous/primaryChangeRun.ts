/**
 * The steps of one claim to change the primary of a group: choose, order the promotion, wait until it takes effect,
 * and end the pauses that outlast it.
 *
 * An order without an answer may be carried out later, and the platform accepts every order with the newest fencing
 * token. So only one server is ever ordered under one claim: if it is unknown whether the order takes effect, the
 * run ends, and the next claim, with a newer token, allows for it (`ChangePlan.hasUnfinishedOrder`).
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
import {
  PrimaryChoice,
  type ChangePlan,
  type ChoiceFailure,
  type ChosenPrimary,
  type GroupOrders,
} from './primaryChange.js'
import { PauseGuard } from './pauseGuard.js'

/** What the steps of a change need from the host that holds the claim. */
export interface ChangePorts extends GroupOrders {
  /** The group as known now. */
  plan(): ChangePlan
  resume(server: BackendServerId): Promise<ServerReport | null>
  /** `attempt` counts the orders for this choice from 0. */
  promote(server: BackendServerId, attempt: number): Promise<PromotionOutcome['kind']>
  /** Whether the claim is certain to be in force. */
  isClaimHeld(): boolean
  /** Returns false if the claim has ended. */
  renewClaim(): Promise<boolean>
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

type OrderEnd = 'effective' | 'refused' | 'unresolved' | 'claimLost'

/** Rounds of one claim; each queries all servers again. */
const MAX_ROUNDS = 40

/** Attempts at one order to promote, which is idempotent under its token. */
const MAX_PROMOTION_ATTEMPTS = 8

/** The time that the platform takes for a promotion, and a reserve. */
const PROMOTION_EFFECT_LIMIT_MILLISECONDS = 3000

/** An order that was carried out before a newer token was seen takes effect within this time. */
const EARLIER_ORDER_EFFECT_MILLISECONDS = 1500

/** Attempts at ending a pause that outlasts the promotion. */
const MAX_RESUME_ATTEMPTS = 5

export class PrimaryChangeRun {
  readonly #ports: ChangePorts
  readonly #clock: Clock
  /** Servers that were found to have lost their log. */
  readonly #withoutLog = new Set<BackendServerId>()
  #hasUnansweredOrder = false
  /** The last report of the server that was ordered to be promoted. */
  #lastReport: ServerReport | null = null

  constructor(ports: ChangePorts, clock: Clock) {
    this.#ports = ports
    this.#clock = clock
  }

  async run(): Promise<ChangeEnd> {
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
      if (round > 0) await this.#ports.waitBeforeRound()
      if (!(await this.#ports.renewClaim())) return { kind: 'claimLost' }
      this.#ports.record({ kind: 'round', round })
      const plan = this.#ports.plan()
      const choice = await new PrimaryChoice(plan, this.#ports, this.#withoutLog).choose()
      if (choice.isErr()) {
        this.#ports.record({ kind: 'waiting', failure: choice.error })
        continue
      }
      const newcomer = findNewcomer(plan, this.#ports.plan())
      if (newcomer !== null) {
        const failure = { kind: 'groupChanged', server: newcomer } as const
        this.#ports.record({ kind: 'waiting', failure })
        continue
      }
      const chosen = choice.value
      this.#ports.record({ kind: 'chosen', chosen })
      const ended = await this.#order(chosen, this.#guardOf(chosen, plan))
      switch (ended) {
        case 'effective':
          return this.#finish(chosen)
        case 'refused':
          continue
        case 'unresolved':
          return { kind: 'unresolved', server: chosen.server }
        case 'claimLost':
          return { kind: 'claimLost' }
      }
    }
    return { kind: 'givenUp' }
  }

  #guardOf(chosen: ChosenPrimary, { members }: ChangePlan): PauseGuard {
    return new PauseGuard(chosen, new Set(members.map(({ server }) => server)), {
      pause: (server, pausedFor) => this.#ports.pause(server, pausedFor),
      stepDown: (server, nextTerm) => this.#ports.stepDown(server, nextTerm),
      members: () => this.#ports.plan().members.map(({ server }) => server),
      onJoined: (server, position) => {
        this.#ports.record({ kind: 'joined', server, position })
      },
    })
  }

  async #order(chosen: ChosenPrimary, guard: PauseGuard): Promise<OrderEnd> {
    const { server } = chosen
    const orderedAt = this.#clock.now()
    this.#hasUnansweredOrder = false
    for (let attempt = 0; attempt < MAX_PROMOTION_ATTEMPTS; attempt += 1) {
      if (attempt > 0) await this.#ports.waitBeforeRound()
      if (!this.#ports.isClaimHeld()) return 'claimLost'
      const outcome = await this.#whileGuarded(guard, this.#ports.promote(server, attempt))
      switch (outcome) {
        case 'accepted':
          return this.#awaitEffect(chosen, guard, orderedAt)
        case 'rejected':
          return this.#hasUnansweredOrder ? 'unresolved' : 'refused'
        case 'unavailable':
          continue
        case 'noAnswer':
          this.#hasUnansweredOrder = true
          continue
      }
    }
    return this.#hasUnansweredOrder ? 'unresolved' : 'refused'
  }

  /** Keeps the group paused while an order is awaited: it may be carried out although its answer is late or lost. */
  async #whileGuarded<Outcome>(guard: PauseGuard, outcome: Promise<Outcome>): Promise<Outcome> {
    const answer = outcome.then(value => ({ value }))
    for (;;) {
      const first = await Promise.race([answer, this.#ports.waitBeforeRetry().then(() => null)])
      if (first !== null) return first.value
      this.#repeatPauses(guard)
    }
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
    // Statements go to the new primary at once; a pause that is still under way has to end before pauses are ended.
    if (isEffective) this.#ports.record({ kind: 'promoted', chosen, report: this.#lastReport })
    await guard.settled()
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

  async #finish(chosen: ChosenPrimary): Promise<ChangeEnd> {
    const { server } = chosen
    const frozen = new Set(chosen.frozen.map(each => each.server))
    const others = this.#ports.plan().members.filter(member => member.server !== server)
    await Promise.all(
      others.map(member => this.#endPause(member.server, frozen.has(member.server))),
    )
    return { kind: 'done', primary: server, hasUnansweredOrder: this.#hasUnansweredOrder }
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
 * A listed server that was not listed when the group was asked, or not in its present incarnation. It is not paused, and may have
 * acknowledged writes since they were asked.
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
