/**
 * Schedules the position questions, which ask a database's backend servers for their log position.
 *
 * @internal
 */
import { addMilliseconds, milliseconds, type Milliseconds } from '@nutmegcourse/shared'
import { OTHER_REGION, type BackendServer } from './backendServer.js'
import type { CoreContext } from './coreContext.js'
import type { DatabaseGroup } from './databaseGroup.js'
import type { Moment } from './positionTracker.js'

/** Longest pause between questions to a server. */
export const LONGEST_INTERVAL_MILLISECONDS = 1000
/** Delay before servers of another region are asked, in case the near ones' answers suffice. */
const HEDGE_DELAY_MILLISECONDS = 15
/** Pause after a failed question whose answer is still needed. */
const RETRY_INTERVAL_MILLISECONDS = 20
/** Timeout of an open question, in case the shell never reports; the shell's timeout is shorter. */
const QUESTION_TIMEOUT_MILLISECONDS = 5000
/** Pause between questions to each server while writes wait for one that leads. */
const LEADER_SEARCH_INTERVAL_MILLISECONDS = 15
/** Pause between questions to a server that is being promoted. */
const PROMOTION_INTERVAL_MILLISECONDS = 5
const NOT_DUE = milliseconds(Number.POSITIVE_INFINITY)

/** What waiting requests need from position questions; provided by the read and write paths. */
export interface PositionDemand {
  /** Reads need answers to questions sent at or after this moment; -1 for none. */
  readonly boundMoment: Moment
  readonly boundSince: Milliseconds
  /** Writes need replicas' answers to questions sent at or after this moment; -1 for none. */
  readonly confirmMoment: Moment
  readonly confirmSince: Milliseconds
  /** Some of these writes ran in an earlier term, so the new leader's answer counts too. */
  readonly confirmAsksLeader: boolean
  /** Since when reads have been waiting for a server to reach their required position. */
  readonly catchUpSince: Milliseconds | null
  /** Writes wait for a server that leads. */
  readonly seeksLeader: boolean
}

/**
 * At most one question per server is open, and its answer serves every request that was waiting
 * when it was sent, so the number of questions grows with round trips and not with requests.
 * Without any request each server is still asked at the background interval, so that the age of its
 * data stays known when there is almost no traffic.
 */
export class QuestionPlanner {
  readonly #group: DatabaseGroup
  readonly #context: CoreContext
  #dueAt: Milliseconds = NOT_DUE
  intervalMilliseconds = LONGEST_INTERVAL_MILLISECONDS

  constructor(group: DatabaseGroup, context: CoreContext) {
    this.#group = group
    this.#context = context
  }

  /** When `ask` must be called again. */
  get nextDueAt(): Milliseconds {
    return this.#dueAt
  }

  /** Whether every near replica has an open question, so another waiting write needs no new one. */
  get isAskingNearby(): boolean {
    let isAsking = false
    for (const server of this.#group.servers) {
      if (server.distance === OTHER_REGION || server === this.#group.leader) continue
      if (!server.breaker.isClosed || !this.#group.tracker.knows(server.id)) continue
      if (server.question === null) return false
      isAsking = true
    }
    return isAsking
  }

  /** Sends the questions that are due. */
  ask(demand: PositionDemand, now: Milliseconds): void {
    const { tracker, leader } = this.#group
    const hasNearbyMajority = this.#group.hasEnoughNearby(tracker.majority, null)
    const hasNearbyConfirmers = this.#group.hasEnoughNearby(tracker.majority - 1, leader)
    let next = NOT_DUE
    for (const server of this.#group.servers) {
      let due = this.#dueTime(server, demand, hasNearbyMajority, hasNearbyConfirmers, now)
      if (due <= now) {
        this.#send(server, now)
        due = addMilliseconds(now, QUESTION_TIMEOUT_MILLISECONDS)
      }
      if (due < next) next = due
    }
    this.#dueAt = next
  }

  #send(server: BackendServer, now: Milliseconds): void {
    if (server.question !== null) server.abandonQuestion()
    server.breaker.startProbe()
    server.questionAsked(now, this.#context.moment)
    this.#context.effects.push({ kind: 'askPosition', server: server.id })
  }

  #dueTime(
    server: BackendServer,
    demand: PositionDemand,
    hasNearbyMajority: boolean,
    hasNearbyConfirmers: boolean,
    now: Milliseconds,
  ): Milliseconds {
    if (!this.#group.tracker.knows(server.id)) return NOT_DUE
    if (server.question !== null) {
      return addMilliseconds(server.question.askedAt, QUESTION_TIMEOUT_MILLISECONDS)
    }
    if (!server.breaker.isClosed) return server.breaker.probeAt ?? NOT_DUE
    if (server.isQuestionUrgent) return now
    const last = server.lastAskedAt
    const isFar = server.distance === OTHER_REGION
    let due = addMilliseconds(last, this.#interval(server, isFar && hasNearbyMajority))
    const nextPollAt = addMilliseconds(
      last,
      server.lastQuestionFailed ? RETRY_INTERVAL_MILLISECONDS : server.pollInterval,
    )
    if (demand.boundMoment >= 0 && this.#lacksAnswerSince(server, demand.boundMoment)) {
      const at = server.lastQuestionFailed ? nextPollAt : now
      due = earlier(due, isFar && hasNearbyMajority ? hedged(demand.boundSince, at) : at)
    }
    const countsForConfirmation = demand.confirmAsksLeader || server !== this.#group.leader
    if (demand.confirmMoment >= 0 && countsForConfirmation) {
      const at = server.lastAskedMoment < demand.confirmMoment ? now : nextPollAt
      due = earlier(due, isFar && hasNearbyConfirmers ? hedged(demand.confirmSince, at) : at)
    }
    if (demand.seeksLeader)
      due = earlier(due, addMilliseconds(last, LEADER_SEARCH_INTERVAL_MILLISECONDS))
    if (demand.catchUpSince !== null) {
      due = earlier(
        due,
        isFar && hasNearbyMajority ? hedged(demand.catchUpSince, nextPollAt) : nextPollAt,
      )
    }
    return due
  }

  /** Whether the server has answered no question sent at or after `moment`. */
  #lacksAnswerSince(server: BackendServer, moment: Moment): boolean {
    return this.#group.tracker.askedMomentOf(server.id) < moment
  }

  /**
   * Servers of another region are asked less often while the near ones make a majority: they serve
   * reads only when no near one qualifies, and are asked then.
   */
  #interval(server: BackendServer, isOptional: boolean): number {
    const { phase } = this.#group.record
    const isPromoted = phase.kind === 'promoting' && phase.chosen === server.id
    if (isPromoted && this.#group.leader !== server) return PROMOTION_INTERVAL_MILLISECONDS
    return isOptional ? LONGEST_INTERVAL_MILLISECONDS : this.intervalMilliseconds
  }
}

const earlier = (left: Milliseconds, right: Milliseconds): Milliseconds =>
  left < right ? left : right

function hedged(since: Milliseconds, at: Milliseconds): Milliseconds {
  const earliest = addMilliseconds(since, HEDGE_DELAY_MILLISECONDS)
  return at < earliest ? earliest : at
}
