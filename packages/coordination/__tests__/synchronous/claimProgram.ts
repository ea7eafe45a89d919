/** One claim as the shipped code carries it out; only its ports are made up. Waits advance its clock. */
import {
  addMilliseconds,
  logPosition,
  milliseconds,
  term,
  type BackendServerId,
  type Clock,
  type Milliseconds,
  type Term,
} from '@nutmegcourse/shared'
import type { ServerReport } from '@nutmegcourse/protocol'
import {
  PrimaryChangeRun,
  ReceivedBound,
  type ChangeEvent,
  type ChangePlan,
  type ChangePorts,
} from '../../src/index.js'
import type { HolderCall, HolderProgram, PromotionAnswerKind } from './changeExploration.js'
import { indexOf, nameOf, type ServerOrder } from './groupWorld.js'
import type { ProgramPorts } from './replayedProgram.js'

/** Rounds of one claim; more of them repeat what the others do. */
const ROUNDS = 2

const REPORTS_IN_A_ROW = 3

/** Length of one wait for the effect of an order. */
const WAIT_MILLISECONDS = 1500

export type Fault =
  | 'none'
  | 'believedPrimaryIsTrusted'
  | 'oneMoreMayBeMissing'
  | 'emptyServerIsWitness'
  | 'listCountsAsComplete'
  | 'otherServerUnderSameToken'
  | 'pausesEndWithNextTerm'
  | 'shownPositionsAreForgotten'

export interface ClaimedChange {
  readonly plan: ChangePlan
  readonly believed: BackendServerId | null
  readonly token: number
  readonly fault: Fault
}

class ClaimPorts implements ChangePorts, Clock {
  readonly #ports: ProgramPorts<HolderCall>
  readonly #change: ClaimedChange
  #now = milliseconds(0)
  #rounds = 0
  #isChoosing = true
  #promoting: Promise<unknown> | null = null
  #last: { server: number; count: number; report: ServerReport | null } | null = null
  /** The answers that a faulty variant made up. */
  #invented = 0
  #token: number
  readonly received = new ReceivedBound()
  /** What any replica reported, whatever the claim makes of it. */
  readonly #shown = new ReceivedBound()

  constructor(ports: ProgramPorts<HolderCall>, change: ClaimedChange) {
    this.#ports = ports
    this.#change = change
    this.#token = change.token
  }

  now(): Milliseconds {
    return this.#now
  }

  plan(): ChangePlan {
    return this.#change.plan
  }

  async report(server: BackendServerId): Promise<ServerReport | null> {
    const report = await this.#repeatedReport(indexOf(server))
    const { fault, believed } = this.#change
    return fault === 'believedPrimaryIsTrusted' && server === believed && report !== null
      ? { ...report, role: 'primary' }
      : report
  }

  async pause(server: BackendServerId, pausedFor: Term): Promise<ServerReport | null> {
    const { fault, plan } = this.#change
    const isShort = fault === 'pausesEndWithNextTerm' && plan.hasUnfinishedOrder
    const wanted = isShort ? term(pausedFor - 1) : pausedFor
    const report = await this.#order({ kind: 'pause', server: indexOf(server), term: wanted })
    if (report !== null || fault !== 'oneMoreMayBeMissing') return report
    this.#invented += 1
    return this.#invented === 1 ? pausedWithFirstRecord(pausedFor) : null
  }

  stepDown(server: BackendServerId, until: Term): Promise<ServerReport | null> {
    return this.#order({ kind: 'stepDown', server: indexOf(server), term: until })
  }

  resume(server: BackendServerId): Promise<ServerReport | null> {
    return this.#order({ kind: 'resume', server: indexOf(server) })
  }

  /**
   * Any order may take long, so that a wait during the choice, or while an order to promote is under way, adds no
   * further order of events.
   */
  async waitBeforeRetry(): Promise<void> {
    if (this.#isChoosing) return
    if (this.#promoting !== null) {
      await this.#promoting
      return
    }
    this.#last = null
    await this.#ports.call({ kind: 'wait' })
    this.#now = addMilliseconds(this.#now, WAIT_MILLISECONDS)
  }

  waitBeforeRound(): Promise<void> {
    return Promise.resolve()
  }

  isClaimHeld(): boolean {
    return this.#ports.isClaimHeld()
  }

  renewClaim(): Promise<boolean> {
    this.#rounds += 1
    return Promise.resolve(this.#rounds <= ROUNDS && this.isClaimHeld())
  }

  /** The revision of the claim grows, but not beyond that of the next holder's. */
  renewToken(): Promise<boolean> {
    if (!this.isClaimHeld()) return Promise.resolve(false)
    if (this.#change.fault !== 'otherServerUnderSameToken') this.#token += 1
    return Promise.resolve(true)
  }

  othersAsked(): Promise<void> {
    return Promise.resolve()
  }

  hasLedSince(): boolean {
    return false
  }

  async promote(server: BackendServerId): Promise<PromotionAnswerKind> {
    this.#last = null
    const shown = this.#shown.furthest?.at ?? null
    const call = { kind: 'promote', server: indexOf(server), token: this.#token, shown } as const
    this.#promoting = this.#ports.call(call)
    const answer = await this.#promoting
    this.#promoting = null
    return answer as PromotionAnswerKind
  }

  record(event: ChangeEvent): void {
    if (event.kind === 'round') this.#isChoosing = true
    if (event.kind === 'chosen') this.#isChoosing = false
    if (event.kind === 'promoted') this.#ports.finishing()
  }

  /** Reports of one server without another order in between, beyond the bound, are of one moment. */
  async #repeatedReport(server: number): Promise<ServerReport | null> {
    const isRepeated = this.#last?.server === server
    const count = isRepeated ? (this.#last?.count ?? 0) + 1 : 1
    if (isRepeated && count > REPORTS_IN_A_ROW) return this.#last?.report ?? null
    const report = await this.#order({ kind: 'report', server })
    this.#last = { server, count, report }
    return report
  }

  #recordReport(server: BackendServerId, { role, term: led, received }: ServerReport): void {
    const isForgotten = this.#change.fault === 'shownPositionsAreForgotten'
    for (const bound of isForgotten ? [this.#shown] : [this.#shown, this.received]) {
      if (role === 'primary') bound.recordPrimary(server, Math.max(led, received.term))
      else bound.recordReplica(server, received)
    }
  }

  async #order(order: ServerOrder): Promise<ServerReport | null> {
    if (order.kind !== 'report') this.#last = null
    const report = (await this.#ports.call(order)) as ServerReport | null
    if (report !== null) this.#recordReport(nameOf(order.server), report)
    const isEmpty = report?.received.offset === 0
    if (this.#change.fault !== 'emptyServerIsWitness' || !isEmpty) return report
    return { ...report, received: FIRST_RECORD }
  }
}

const FIRST_RECORD = logPosition(1, 1)

const pausedWithFirstRecord = (pausedFor: Term): ServerReport => ({
  role: 'replica',
  term: term(1),
  received: FIRST_RECORD,
  pausedFor,
})

export const claimProgram =
  (change: ClaimedChange): HolderProgram =>
  async ports => {
    const claim = new ClaimPorts(ports, change)
    const end = await new PrimaryChangeRun(claim, claim).run()
    if (end.kind !== 'done') return end.kind
    await ports.call({ kind: 'markDone' })
    return 'done'
  }
