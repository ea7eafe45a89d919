/**
 * Chooses the server to promote in a group whose writes are acknowledged once one replica has received them.
 *
 * Invariant: every write that is acknowledged before the promotion takes effect is in the log of the chosen
 * server. Only what the servers report during the choice counts, not what a host believed of them before:
 *
 * 1. All replicas except the candidate are paused.
 * 2. A primary that reports that it leads steps down, which ends its writes, and the candidate must reach its last
 *    position. Until then it serves writes, which the candidate receives.
 * 3. Without such a report the primary may go on unseen. Each write acknowledged earlier is in the logs of two members,
 *    so at most one of them may be missing, and the candidate must hold what the paused ones hold. A member that is
 *    gone is not missing if what it acknowledged is known to be in another log. Writes acknowledged later need a
 *    replica that receives, which is the candidate.
 * 4. If the candidate stays behind, it is paused as well, and the server furthest ahead is chosen.
 */
import { err, ok, type Result } from 'neverthrow'
import {
  comparePositions,
  isAtOrPast,
  term,
  type BackendServerId,
  type LogPosition,
  type Term,
} from '@nutmegcourse/shared'
import type { ServerReport } from '@nutmegcourse/protocol'
import { LeaderCheck } from './leaderCheck.js'
import { ReceivedBound, type ServerPosition } from './receivedBound.js'

export interface GroupMember {
  readonly server: BackendServerId
  /** When its process started; null if unknown. */
  readonly startedAtUnixMilliseconds: number | null
  readonly isLeaving: boolean
  /** Whether the store lists it. */
  readonly isListed: boolean
  /** Whether it may hold acknowledged writes that no other member has if it gives no answer. */
  readonly mayHoldWrites: boolean
  /** The position up to which it may hold such writes if it is gone; null if that is unknown. */
  readonly holdsUpTo: LogPosition | null
  /** False if it has ended for good. */
  readonly mayReturn: boolean
  /**
   * Whether it may be back with its log. A server that counts as ended since its entry is gone may live as long as
   * entries of live servers take to return.
   */
  readonly mayBringLog: boolean
  /** Whether this host has seen it join, so that an empty log means that it has held nothing. */
  readonly hasJoined: boolean
  /** Whether it has restarted since the last change of primary, perhaps without its log. */
  readonly hasRestarted: boolean
  /** False for a server whose report is awaited only briefly, and only if it is needed. */
  readonly isAwaited: boolean
  /** Lower is a better location for a primary. */
  readonly distance: number
}

export interface ChangePlan {
  /** All servers that may belong to the group, including the primary. */
  readonly members: readonly GroupMember[]
  /** Whether all live servers of the group are among the members. */
  readonly isComplete: boolean
  /**
   * Whether an order to promote of an earlier holder may still take effect. The members are then paused beyond the
   * term that it would start, so that its server cannot acknowledge writes.
   */
  readonly hasUnfinishedOrder: boolean
  /** Whether a primary that leads and stays is kept, since nothing is known against it. */
  readonly keepsPrimary: boolean
}

/** Commands to backend servers. They return null if no answer arrives in time. */
export interface GroupOrders {
  report(server: BackendServerId): Promise<ServerReport | null>
  pause(server: BackendServerId, term: Term): Promise<ServerReport | null>
  stepDown(server: BackendServerId, term: Term): Promise<ServerReport | null>
  /** Waits before a server is queried again. */
  waitBeforeRetry(): Promise<void>
}

export interface ChosenPrimary {
  readonly server: BackendServerId
  readonly position: LogPosition
  /** The newest term that any member reported. */
  readonly newestTerm: Term
  /** The term for which the frozen replicas are paused. */
  readonly pausedFor: Term
  /** The frozen members with their positions. */
  readonly frozen: readonly ServerPosition[]
  /** The listed members that are neither frozen, nor chosen, nor the primary. */
  readonly missing: readonly BackendServerId[]
  /** The members that could not be asked and may still return with their logs. */
  readonly mayReturn: readonly BackendServerId[]
  /** The members without a log, which may be about to take over that of a leaving server. */
  readonly mayTakeOver: readonly BackendServerId[]
  /** The server that reported that it leads, if any. */
  readonly leader: BackendServerId | null
  readonly how: 'candidateHoldsAll' | 'furthestOfFrozen' | 'primaryStopped' | 'primaryKept'
}

/** A server that gave no answer, as far as it matters. */
export type MissingServer = Pick<GroupMember, 'server' | 'holdsUpTo' | 'mayReturn'>

export type ChoiceFailure =
  /** No replica answers. */
  | { readonly kind: 'noReplica' }
  /** A server that may hold more writes could be neither paused nor made to step down. */
  | {
      readonly kind: 'unknownReplica'
      readonly server: BackendServerId
      readonly missing: readonly MissingServer[]
    }
  /** The list of the group may lack a server, and no primary answers that could tell the last position. */
  | { readonly kind: 'incompleteList' }
  /** The primary did not confirm that it stepped down. */
  | { readonly kind: 'primaryNotStopped'; readonly server: BackendServerId }
  /** A server joined the group, or started again, after the group was asked. */
  | { readonly kind: 'groupChanged'; readonly server: BackendServerId }
  /** The chosen server lacks what a replica was seen to have, and another server may still bring it. */
  | {
      readonly kind: 'shortLog'
      /** The server that was chosen. */
      readonly server: BackendServerId
      readonly position: LogPosition
      readonly known: ServerPosition
      /** The servers that are waited for. */
      readonly awaited: readonly BackendServerId[]
    }
  /** Another server was ordered to be promoted, and the order can not be ended yet. */
  | { readonly kind: 'orderPending'; readonly server: BackendServerId }
  /** A server reported a newer term than all had reported before: another promotion took effect. */
  | { readonly kind: 'newerTerm'; readonly server: BackendServerId }

/** Number of times a candidate that is behind is queried before the furthest server is chosen. */
const CATCH_UP_ATTEMPTS = 10

/** The same if no primary answers: one that goes on unseen still sends its log, a dead one does not. */
const UNSEEN_PRIMARY_ATTEMPTS = 3

/** Number of pauses between queries for which a report that is not awaited may still come, if it is needed. */
const LATE_REPORT_PAUSES = 4

/** An acknowledged write is in the logs of two members, so one of them may be missing. */
const MAXIMUM_MISSING = 1

interface Reporter extends GroupMember {
  readonly report: ServerReport
}

interface Replies {
  readonly newestTerm: Term
  readonly leader: Reporter | null
  readonly candidate: Reporter
  /** The other members that may be paused; their report is null if they gave none. */
  readonly others: readonly (GroupMember & { readonly report: ServerReport | null })[]
  readonly unheard: readonly GroupMember[]
}

interface FrozenGroup {
  readonly nextTerm: Term
  readonly pausedFor: Term
  readonly frozen: readonly Reporter[]
  readonly missing: readonly GroupMember[]
  readonly mayReturn: readonly GroupMember[]
  readonly mayTakeOver: readonly GroupMember[]
}

export class PrimaryChoice {
  readonly #plan: ChangePlan
  readonly #commands: GroupOrders
  readonly #withoutLog: Set<BackendServerId>
  readonly #leaderCheck: LeaderCheck
  readonly #received: ReceivedBound

  /** `withoutLog`: servers that were found to have lost their log; kept from one choice to the next of a change. */
  constructor(
    plan: ChangePlan,
    commands: GroupOrders,
    withoutLog = new Set<BackendServerId>(),
    received = new ReceivedBound(),
  ) {
    this.#plan = plan
    this.#commands = commands
    this.#received = received
    this.#withoutLog = withoutLog
    this.#leaderCheck = new LeaderCheck(commands, withoutLog)
  }

  /** Chooses the server to promote, and pauses or stops the others so that it remains safe to promote. */
  async choose(): Promise<Result<ChosenPrimary, ChoiceFailure>> {
    const reports = await this.#requestReports()
    await this.#leaderCheck.settled()
    const replies = this.#sort(reports)
    if (replies === null) return err({ kind: 'noReplica' })
    const group = await this.#freeze(replies)
    const newer = group.frozen.find(member => newestTerm(member.report) > replies.newestTerm)
    if (newer !== undefined) return err({ kind: 'newerTerm', server: newer.server })
    const { leader } = replies
    if (leader === null) return this.#chooseWithoutPrimary(replies, group)
    if (this.#plan.keepsPrimary && !leader.isLeaving) {
      return this.#keepPrimary(replies, group, leader)
    }
    return this.#chooseAfterStop(replies, group, leader)
  }

  /** The reports in the order of the members. */
  async #requestReports(): Promise<(ServerReport | null)[]> {
    const { members } = this.#plan
    const requests = members.map(member => ({
      member,
      report: this.#report(member.server),
    }))
    const awaited = requests.filter(({ member }) => member.isAwaited)
    const limit = Promise.all(awaited.map(({ report }) => report)).then(reports =>
      this.#lateReportLimit(reports),
    )
    return Promise.all(
      requests.map(({ member, report }) =>
        member.isAwaited ? report : Promise.race([report, limit]),
      ),
    )
  }

  async #report(server: BackendServerId): Promise<ServerReport | null> {
    const report = await this.#commands.report(server)
    if (report !== null) this.#leaderCheck.add(server, report)
    return report
  }

  /** Resolves at the timeout of the reports that are not awaited. */
  async #lateReportLimit(awaited: readonly (ServerReport | null)[]): Promise<null> {
    const { members, hasUnfinishedOrder } = this.#plan
    const isNeeded = awaited.includes(null) || hasUnfinishedOrder
    if (!isNeeded && members.every(({ isListed }) => isListed)) return null
    for (let pause = 0; pause < LATE_REPORT_PAUSES; pause += 1) {
      await this.#commands.waitBeforeRetry()
    }
    return null
  }

  /** Returns null if no replica reports. */
  #sort(reports: readonly (ServerReport | null)[]): Replies | null {
    const members = this.#plan.members.map((member, index) => ({
      ...member,
      report: reports[index] ?? null,
    }))
    const reporters = members.filter(isReporter)
    const leader = this.#findLeader(reporters)
    const replicas = rank(reporters.filter(member => member !== leader))
    const candidate = replicas.find(
      ({ server, report }) => report.role === 'replica' && !this.#withoutLog.has(server),
    )
    if (candidate === undefined) return null
    const rest = members.filter(member => member !== leader && member !== candidate)
    return {
      newestTerm: term(Math.max(...reporters.map(({ report }) => newestTerm(report)))),
      leader,
      candidate,
      others: rest.filter(member => member.isAwaited || member.report !== null),
      unheard: rest.filter(member => !member.isAwaited && member.report === null),
    }
  }

  /** The primary of the newest term, unless it lacks what a replica has. */
  #findLeader(reporters: readonly Reporter[]): Reporter | null {
    const newest = Math.max(...reporters.map(({ report }) => newestTerm(report)))
    const leader = reporters.find(
      ({ report }) => report.role === 'primary' && newestTerm(report) === newest,
    )
    if (leader === undefined || leader.hasRestarted) return null
    return this.#leaderCheck.isConfirmed(leader.server) ? leader : null
  }

  async #freeze({ newestTerm: newest, candidate, others, unheard }: Replies): Promise<FrozenGroup> {
    const nextTerm = term(newest + 1)
    // An earlier order would start the next term, which ends pauses for that term.
    const pausedFor = term(nextTerm + (this.#plan.hasUnfinishedOrder ? 1 : 0))
    const paused = await Promise.all(
      others.map(member => this.#freezeMember(member, nextTerm, pausedFor)),
    )
    const answered = paused.filter(member => member !== null)
    const isAnyLogWritten = [candidate, ...answered].some(
      ({ report }) => report.received.offset > 0,
    )
    const frozen = answered.filter(
      member =>
        !this.#withoutLog.has(member.server) &&
        this.#isWitness(member, [candidate, ...answered]) &&
        (!isAnyLogWritten || member.report.received.offset > 0),
    )
    const rest = [...others, ...unheard]
    const missing = countMissing(rest, answered, frozen, candidate)
    const answering = new Set(answered.map(({ server }) => server))
    return {
      nextTerm,
      pausedFor,
      frozen,
      missing,
      mayReturn: rest.filter(each => each.mayBringLog && !answering.has(each.server)),
      mayTakeOver: answered.filter(isEmptyNewcomer),
    }
  }

  /**
   * Whether the candidate has to hold what the member holds. The log of one that restarted since the last known change of
   * primary may be one that it began anew, unless it has records of a newer term than those that did not restart, or all
   * that any replica was seen to have while they do not.
   */
  #isWitness(member: Reporter, all: readonly Reporter[]): boolean {
    if (!member.hasRestarted) return true
    const { received } = member.report
    const others = all.filter(other => !other.hasRestarted)
    if (others.every(({ report }) => report.received.term < received.term)) return true
    return (
      this.#received.isReachedBy(member.server, received) &&
      others.every(({ server, report }) => !this.#received.isReachedBy(server, report.received))
    )
  }

  /** A server that leads an old term, or did not report, has to step down before it can be paused. */
  async #freezeMember(
    member: GroupMember,
    nextTerm: Term,
    pausedFor: Term,
  ): Promise<Reporter | null> {
    const report = await this.#commands.pause(member.server, pausedFor)
    if (report?.role !== 'primary') return asFrozen(member, report)
    await this.#commands.stepDown(member.server, nextTerm)
    return this.#pause(member, pausedFor)
  }

  async #pause(member: GroupMember, pausedFor: Term): Promise<Reporter | null> {
    return asFrozen(member, await this.#commands.pause(member.server, pausedFor))
  }

  /** No write is acknowledged until the earlier order is known to be over. */
  async #keepPrimary(
    replies: Replies,
    group: FrozenGroup,
    leader: Reporter,
  ): Promise<Result<ChosenPrimary, ChoiceFailure>> {
    const { candidate } = replies
    const last = await this.#pause(candidate, group.pausedFor)
    if (last === null) return err(unknownReplica(candidate.server, group.missing))
    if (newestTerm(last.report) > replies.newestTerm) {
      return err({ kind: 'newerTerm', server: last.server })
    }
    const frozen = [...group.frozen, last]
    return ok(describe(replies, { ...group, frozen }, leader, 'primaryKept'))
  }

  async #chooseWithoutPrimary(
    replies: Replies,
    group: FrozenGroup,
  ): Promise<Result<ChosenPrimary, ChoiceFailure>> {
    const [missing] = group.missing
    if (missing !== undefined && group.missing.length > MAXIMUM_MISSING) {
      return err(unknownReplica(missing.server, group.missing))
    }
    if (!this.#plan.isComplete) return err({ kind: 'incompleteList' })
    return this.#chooseAmong(replies, group, null, UNSEEN_PRIMARY_ATTEMPTS)
  }

  /** Lets the candidate catch up first, so that writes are interrupted only briefly before the order to promote. */
  async #chooseAfterStop(
    replies: Replies,
    group: FrozenGroup,
    leader: Reporter,
  ): Promise<Result<ChosenPrimary, ChoiceFailure>> {
    const caughtUp = await this.#awaitCandidate(replies, group.frozen, CATCH_UP_ATTEMPTS)
    const report = await this.#commands.stepDown(leader.server, group.nextTerm)
    const hasStopped = report?.role === 'replica' && newestTerm(report) === replies.newestTerm
    if (!hasStopped) return err({ kind: 'primaryNotStopped', server: leader.server })
    const attempts = caughtUp === null ? 1 : CATCH_UP_ATTEMPTS
    return this.#chooseAmong(replies, group, { ...leader, report }, attempts)
  }

  /** `stopped`: the primary after it has stepped down; null if its last position is not needed. */
  async #chooseAmong(
    replies: Replies,
    group: FrozenGroup,
    stopped: Reporter | null,
    attempts: number,
  ): Promise<Result<ChosenPrimary, ChoiceFailure>> {
    const all = stopped === null ? group.frozen : [...group.frozen, stopped]
    const { candidate } = replies
    const complete: FrozenGroup = { ...group, frozen: all }
    const how = stopped === null ? 'candidateHoldsAll' : 'primaryStopped'
    const caughtUp = await this.#awaitCandidate(replies, all, attempts)
    if (caughtUp !== null && !this.#plan.hasUnfinishedOrder) {
      return ok(describe(replies, complete, caughtUp, how))
    }
    const last = await this.#pause(candidate, group.pausedFor)
    if (last === null) return err(unknownReplica(candidate.server, group.missing))
    if (newestTerm(last.report) > replies.newestTerm) {
      return err({ kind: 'newerTerm', server: last.server })
    }
    // Also the end of a stopped primary's log counts: a server that has just joined may have acknowledged it.
    const holders = [last, ...all]
    const [furthest] = holders.sort(byExactPosition)
    if (furthest === undefined) return err({ kind: 'noReplica' })
    const frozen = holders.filter(({ server }) => server !== furthest.server)
    return ok(describe(replies, { ...group, frozen }, furthest, 'furthestOfFrozen'))
  }

  /** Returns null if the candidate does not reach the positions of the frozen servers. */
  async #awaitCandidate(
    { candidate, newestTerm: newest }: Replies,
    frozen: readonly Reporter[],
    attempts: number,
  ): Promise<Reporter | null> {
    for (let attempt = 0; attempt < attempts; attempt += 1) {
      if (attempt > 0) await this.#commands.waitBeforeRetry()
      const report = await this.#commands.report(candidate.server)
      const mayBeChosen =
        report?.role === 'replica' && report.pausedFor === 0 && newestTerm(report) <= newest
      if (!mayBeChosen) return null
      if (frozen.every(other => isAtOrPast(report.received, other.report.received))) {
        return { ...candidate, report }
      }
    }
    return null
  }
}

/**
 * Ignores the term for which a replica may already be paused: a pause for a later term than the next
 * primary's would outlast the promotion, and the replica would never receive writes again.
 */
const newestTerm = (report: ServerReport): number => Math.max(report.term, report.received.term)

/**
 * Replicas whose logs differ by at most this many records count as equal, since about as many are in
 * flight to any of them at a given moment. A replica that receives nothing soon falls further behind.
 */
const SIMILAR_POSITION_RECORDS = 20

/**
 * Servers that are neither leaving nor paused come first, then those not far behind, then those with
 * the better location.
 */
function rank(replicas: readonly Reporter[]): Reporter[] {
  return [...replicas].sort(
    (left, right) =>
      Number(right.isListed) - Number(left.isListed) ||
      Number(left.hasRestarted) - Number(right.hasRestarted) ||
      Number(left.isLeaving) - Number(right.isLeaving) ||
      Number(left.report.pausedFor !== 0) - Number(right.report.pausedFor !== 0) ||
      byApproximatePosition(left, right) ||
      left.distance - right.distance ||
      byExactPosition(left, right),
  )
}

function byApproximatePosition(left: Reporter, right: Reporter): number {
  const [one, other] = [left.report.received, right.report.received]
  if (one.term !== other.term) return other.term - one.term
  const difference = other.offset - one.offset
  return Math.abs(difference) <= SIMILAR_POSITION_RECORDS ? 0 : difference
}

const byExactPosition = (left: Reporter, right: Reporter): number =>
  comparePositions(right.report.received, left.report.received) ||
  Number(left.isLeaving) - Number(right.isLeaving) ||
  left.distance - right.distance

const isEmptyNewcomer = ({ hasJoined, report }: Reporter): boolean =>
  hasJoined && report.received.offset === 0

/** Whether one of the servers holds all acknowledged writes that the member may hold. */
function isCovered({ holdsUpTo }: GroupMember, holders: readonly Reporter[]): boolean {
  if (holdsUpTo === null) return false
  return holders.some(({ report }) => isAtOrPast(report.received, holdsUpTo))
}

/** The members that may hold acknowledged writes which no answering one is known to hold. */
function countMissing(
  members: readonly GroupMember[],
  answered: readonly Reporter[],
  frozen: readonly Reporter[],
  candidate: Reporter,
): readonly GroupMember[] {
  // One that restarted may hold less than before.
  const reliable = [
    ...answered.filter(isEmptyNewcomer),
    ...frozen.filter(({ hasRestarted }) => !hasRestarted),
  ]
  const known = new Set(reliable.map(({ server }) => server))
  const holders = [candidate, ...frozen]
  const missing = members.filter(
    member => member.mayHoldWrites && !known.has(member.server) && !isCovered(member, holders),
  )
  // A lost log does not return, so that a group which lost several is not stuck; but one of them may have been that of
  // the primary.
  const answering = new Set(answered.map(({ server }) => server))
  const isAwaited = ({ server, mayReturn }: GroupMember) => mayReturn && !answering.has(server)
  const lost = missing.filter(member => !isAwaited(member)).slice(0, 1)
  return [...missing.filter(isAwaited), ...lost]
}

const unknownReplica = (
  server: BackendServerId,
  missing: readonly GroupMember[],
): ChoiceFailure => ({
  kind: 'unknownReplica',
  server,
  missing: missing.map(({ server: each, holdsUpTo, mayReturn }) => ({
    server: each,
    holdsUpTo,
    mayReturn,
  })),
})

const asFrozen = (member: GroupMember, report: ServerReport | null): Reporter | null =>
  report?.role === 'replica' && report.pausedFor !== 0 ? { ...member, report } : null

const isReporter = (
  member: GroupMember & { readonly report: ServerReport | null },
): member is Reporter => member.report !== null

const describe = (
  replies: Replies,
  { pausedFor, frozen, missing, mayReturn, mayTakeOver }: FrozenGroup,
  chosen: Reporter,
  how: ChosenPrimary['how'],
): ChosenPrimary => ({
  server: chosen.server,
  position: chosen.report.received,
  newestTerm: replies.newestTerm,
  pausedFor,
  frozen: frozen.map(({ server, report }) => ({ server, at: report.received })),
  missing: missing.map(({ server }) => server),
  mayReturn: mayReturn.map(({ server }) => server),
  mayTakeOver: mayTakeOver.map(({ server }) => server),
  leader: replies.leader?.server ?? null,
  how,
})
