/**
 * Replaces the primary of a group whose writes are acknowledged once one replica has received them.
 *
 * Invariant: every acknowledged write is in the log of the server that is promoted. The order of the
 * steps ensures it, whether the old primary is dead, cut off or healthy:
 *
 * 1. All replicas except the candidate are paused. From then on only the candidate can acknowledge, so
 *    every write acknowledged later is in its log.
 * 2. The candidate is asked for its position. If it is at or past all paused replicas, it also holds
 *    every write acknowledged earlier, since each of them is in at least one replica.
 * 3. If it stays behind one of them, it is paused too, and the replica furthest ahead is promoted.
 *
 * An unreachable replica may hold, and go on acknowledging, writes that no other replica has. Then only
 * the position of the old primary decides: it steps down, which ends its writes, and the candidate must
 * reach its position. A live primary keeps acknowledging writes through steps 1 and 2; only step 3, or
 * its stepping down, stops it before the promotion, so a planned move hardly interrupts writes.
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

export interface GroupMember {
  readonly server: BackendServerId
  readonly isLeaving: boolean
  /** Lower is a better location for a primary. */
  readonly distance: number
}

export interface ChangePlan {
  readonly oldPrimary: BackendServerId | null
  /** Every server of the group that may hold acknowledged writes, except the old primary. */
  readonly replicas: readonly GroupMember[]
  /** Minimum number of replicas that hold an acknowledged write. */
  readonly synchronousReplicas: number
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
  /** The position of each replica that answered. */
  readonly positions: readonly { readonly server: BackendServerId; readonly at: LogPosition }[]
  readonly how: 'candidateHoldsAll' | 'furthestOfAll' | 'oldPrimarySteppedDown'
}

export type ChoiceFailure =
  /** No replica answers. */
  | { readonly kind: 'noReplica' }
  /** A server that may hold more writes could be neither paused nor made to step down. */
  | { readonly kind: 'unknownReplica'; readonly server: BackendServerId }
  /** The candidate did not reach the last position of the old primary. */
  | { readonly kind: 'notCaughtUp'; readonly server: BackendServerId }

/** Number of times a candidate that is behind is queried before the change continues another way or fails. */
const CATCH_UP_ATTEMPTS = 10

interface Replica extends GroupMember {
  readonly report: ServerReport
}

export class PrimaryChoice {
  readonly #plan: ChangePlan
  readonly #commands: GroupOrders

  constructor(plan: ChangePlan, commands: GroupOrders) {
    this.#plan = plan
    this.#commands = commands
  }

  /** Chooses the server to promote, and pauses or stops the others so that it remains safe to promote. */
  async choose(): Promise<Result<ChosenPrimary, ChoiceFailure>> {
    const { replicas, oldPrimary } = this.#plan
    const replies = await Promise.all(replicas.map(member => this.#requestReport(member)))
    const known = replies.filter(replica => replica !== null)
    const [candidate] = rank(known)
    if (candidate === undefined) return err({ kind: 'noReplica' })
    const nextTerm = term(Math.max(...known.map(newestTerm)) + 1)
    const others = replicas.filter(member => member.server !== candidate.server)
    const paused = await Promise.all(others.map(member => this.#pause(member, nextTerm)))
    const unreachable = others.find((_, index) => paused[index] === null)
    if (unreachable !== undefined) return this.#chooseByOldPrimary(candidate, unreachable, nextTerm)
    const answered = paused.filter(replica => replica !== null)
    const chosen = await this.#awaitCandidate(candidate, answered, oldPrimary !== null)
    return chosen === null ? this.#chooseFurthest(candidate, answered, nextTerm) : ok(chosen)
  }

  async #requestReport(member: GroupMember): Promise<Replica | null> {
    const report = await this.#commands.report(member.server)
    return report === null ? null : { ...member, report }
  }

  async #pause(member: GroupMember, nextTerm: Term): Promise<Replica | null> {
    const report = await this.#commands.pause(member.server, nextTerm)
    return report === null || report.pausedFor === 0 ? null : { ...member, report }
  }

  /** Returns null if the candidate does not reach the positions of the paused replicas. */
  async #awaitCandidate(
    candidate: Replica,
    paused: readonly Replica[],
    mayCatchUp: boolean,
  ): Promise<ChosenPrimary | null> {
    const attempts = mayCatchUp ? CATCH_UP_ATTEMPTS : 1
    for (let attempt = 0; attempt < attempts; attempt += 1) {
      if (attempt > 0) await this.#commands.waitBeforeRetry()
      const report = await this.#commands.report(candidate.server)
      if (report?.pausedFor !== 0) return null
      const holdsAll = paused.every(other => isAtOrPast(report.received, other.report.received))
      if (holdsAll) {
        return chosenPrimary({ ...candidate, report }, paused, 'candidateHoldsAll')
      }
    }
    return null
  }

  async #chooseFurthest(
    candidate: Replica,
    paused: readonly Replica[],
    nextTerm: Term,
  ): Promise<Result<ChosenPrimary, ChoiceFailure>> {
    const last = await this.#pause(candidate, nextTerm)
    if (last === null) return err({ kind: 'unknownReplica', server: candidate.server })
    const all = [last, ...paused]
    const [furthest] = [...all].sort(byExactPosition)
    if (furthest === undefined) return err({ kind: 'noReplica' })
    return ok(chosenPrimary(furthest, all, 'furthestOfAll'))
  }

  async #chooseByOldPrimary(
    candidate: Replica,
    unreachable: GroupMember,
    nextTerm: Term,
  ): Promise<Result<ChosenPrimary, ChoiceFailure>> {
    const { oldPrimary } = this.#plan
    const failure: ChoiceFailure = { kind: 'unknownReplica', server: unreachable.server }
    if (oldPrimary === null) return err(failure)
    const last = await this.#commands.stepDown(oldPrimary, nextTerm)
    if (last?.role !== 'replica') return err(failure)
    for (let attempt = 0; attempt < CATCH_UP_ATTEMPTS; attempt += 1) {
      const report = await this.#commands.report(candidate.server)
      if (report !== null && isAtOrPast(report.received, last.received)) {
        return ok(chosenPrimary({ ...candidate, report }, [], 'oldPrimarySteppedDown'))
      }
      await this.#commands.waitBeforeRetry()
    }
    return err({ kind: 'notCaughtUp', server: candidate.server })
  }
}

/**
 * Ignores the term for which a replica may already be paused: a pause for a later term than the next
 * primary's would outlast the promotion, and the replica would never receive writes again.
 */
const newestTerm = ({ report }: Replica): number => Math.max(report.term, report.received.term)

/**
 * Replicas whose logs differ by at most this many records count as equal, since about as many are in
 * flight to any of them at a given moment. A replica that receives nothing soon falls further behind.
 */
const SIMILAR_POSITION_RECORDS = 20

/**
 * Servers that are neither leaving nor paused come first, then those not far behind, then those with
 * the better location.
 */
function rank(replicas: readonly Replica[]): Replica[] {
  return [...replicas].sort(
    (left, right) =>
      Number(left.isLeaving) - Number(right.isLeaving) ||
      Number(left.report.pausedFor !== 0) - Number(right.report.pausedFor !== 0) ||
      byApproximatePosition(left, right) ||
      left.distance - right.distance ||
      byExactPosition(left, right),
  )
}

function byApproximatePosition(left: Replica, right: Replica): number {
  const [one, other] = [left.report.received, right.report.received]
  if (one.term !== other.term) return other.term - one.term
  const difference = other.offset - one.offset
  return Math.abs(difference) <= SIMILAR_POSITION_RECORDS ? 0 : difference
}

const byExactPosition = (left: Replica, right: Replica): number =>
  comparePositions(right.report.received, left.report.received) ||
  Number(left.isLeaving) - Number(right.isLeaving) ||
  left.distance - right.distance

const chosenPrimary = (
  chosen: Replica,
  all: readonly Replica[],
  how: ChosenPrimary['how'],
): ChosenPrimary => ({
  server: chosen.server,
  position: chosen.report.received,
  positions: all.map(({ server, report }) => ({ server, at: report.received })),
  how,
})
