/** Polls the position of one backend server and determines whether the server responds. */
import {
  addMilliseconds,
  milliseconds,
  type BackendServerId,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type { PositionReport } from '@nutmegcourse/protocol'

import type { ControlFailure } from './failoverMessages.js'
import type { FailoverOptions } from './failoverOptions.js'
import type { FailoverEffectQueue } from './failoverEffectQueue.js'

/** A report and when it was requested: it was true at some time after that. */
export interface DatedReport {
  readonly report: PositionReport
  readonly askedAt: Milliseconds
}

/** Between two position requests to a server on whose position a step waits. */
const FAST_POLL_INTERVAL_MILLISECONDS = 5
/** The time within which the other watchers' opinions of a suspected primary should arrive. */
const OPINION_WAIT_MILLISECONDS = 150
/** Added to a request's own timeout, so that the agent's report of the failure normally arrives first. */
const POLL_TIMEOUT_MARGIN_MILLISECONDS = 200

export class FailoverServerWatch {
  readonly #server: BackendServerId
  readonly #options: FailoverOptions
  #latest: DatedReport | null = null
  /** When its current fenced term was first reported. */
  #fencedSince: Milliseconds | null = null
  /** When the position request in flight was sent; null when there is none. */
  #pendingSince: Milliseconds | null = null
  #nextPollAt: Milliseconds
  /** When the first request since the last answer was sent or failed; null when there is none. */
  #unansweredSince: Milliseconds | null = null
  #refusals = 0
  /** The connection broke during the last request or while it was idle after it. */
  #connectionBroke = false

  constructor(server: BackendServerId, options: FailoverOptions, now: Milliseconds) {
    this.#server = server
    this.#options = options
    this.#nextPollAt = now
  }

  get latest(): DatedReport | null {
    return this.#latest
  }

  get fencedSince(): Milliseconds | null {
    return this.#fencedSince
  }

  answered(report: PositionReport, askedAt: Milliseconds, now: Milliseconds): void {
    this.#pendingSince = null
    this.#unansweredSince = null
    this.#refusals = 0
    this.#connectionBroke = false
    this.#nextPollAt = milliseconds(
      Math.max(now, askedAt + this.#options.watchIntervalMilliseconds),
    )
    if (this.#latest !== null && this.#latest.askedAt > askedAt) return
    if (this.#latest?.report.fencedTerm !== report.fencedTerm) this.#fencedSince = now
    this.#latest = { report, askedAt }
  }

  /** Whether the server refused so many connections in a row that its process counts as gone. */
  get wasProcessGone(): boolean {
    return this.#refusals >= this.#options.refusalsToSuspect
  }

  /** Called when a position request failed or the idle control connection broke. */
  failed(failure: ControlFailure, now: Milliseconds): void {
    const brokeBefore = this.#connectionBroke
    this.#pendingSince = null
    this.#unansweredSince ??= now
    this.#connectionBroke = failure === 'lost'
    this.#refusals = failure === 'refused' ? this.#refusals + 1 : 0
    // A broken connection followed by a refused one shows the end of a process as two refusals do.
    if (failure === 'refused' && brokeBefore) this.#refusals += 1
    this.#nextPollAt = addMilliseconds(now, this.#delayAfter(failure, brokeBefore))
  }

  /** After a broken connection the next request is sent at once, since a dead process refuses it. */
  #delayAfter(failure: ControlFailure, brokeBefore: boolean): number {
    if (failure === 'lost' && !brokeBefore) return 0
    const { refusalRetryMilliseconds, refusalsToSuspect, watchIntervalMilliseconds } = this.#options
    const isProcessGone = this.#refusals >= refusalsToSuspect
    return isProcessGone ? watchIntervalMilliseconds : refusalRetryMilliseconds
  }

  /** Sends a position request if one is due. */
  advance(now: Milliseconds, effects: FailoverEffectQueue): void {
    if (now < this.#pollDueAt()) return
    this.#pendingSince = now
    this.#unansweredSince ??= now
    const timeoutMilliseconds = this.#options.detectionMilliseconds
    effects.emit({ kind: 'askPosition', server: this.#server, timeoutMilliseconds })
  }

  /** Brings the next request forward for a step that waits on the server's position. */
  pollSoon(now: Milliseconds): void {
    const last = this.#latest?.askedAt ?? now
    const soon = Math.max(now, last + FAST_POLL_INTERVAL_MILLISECONDS)
    this.#nextPollAt = milliseconds(Math.min(this.#nextPollAt, soon))
  }

  /**
   * Restarts the silence timer. After a stall of this process the time without an answer says
   * nothing about the server: answers that arrived in the meantime are still unread.
   */
  resetSilence(now: Milliseconds): void {
    if (this.#unansweredSince !== null) this.#unansweredSince = now
  }

  isUnresponsive(now: Milliseconds): boolean {
    if (this.#refusals >= this.#options.refusalsToSuspect) return true
    if (this.#unansweredSince === null) return false
    return now - this.#unansweredSince >= this.#options.detectionMilliseconds
  }

  /**
   * Whether the server may soon be suspected or has just been. Limited in time, so that a watcher
   * whose suspicion no other watcher shares resumes normal polling.
   */
  isSuspicionLikely(now: Milliseconds): boolean {
    if (this.#unansweredSince === null) return false
    const age = now - this.#unansweredSince
    const { detectionMilliseconds } = this.#options
    if (this.#connectionBroke || this.#refusals > 0) return age < OPINION_WAIT_MILLISECONDS
    const isLate = age >= detectionMilliseconds / 2
    return isLate && age < detectionMilliseconds + OPINION_WAIT_MILLISECONDS
  }

  isReachable(now: Milliseconds): boolean {
    return this.#latest !== null && this.#refusals === 0 && !this.isUnresponsive(now)
  }

  nextWake(now: Milliseconds): Milliseconds {
    const nextPoll = this.#pollDueAt()
    if (this.#unansweredSince === null || this.isUnresponsive(now)) return nextPoll
    const unresponsiveAt = this.#unansweredSince + this.#options.detectionMilliseconds
    return milliseconds(Math.min(nextPoll, unresponsiveAt))
  }

  #pollDueAt(): Milliseconds {
    if (this.#pendingSince === null) return this.#nextPollAt
    const bound = this.#options.detectionMilliseconds + POLL_TIMEOUT_MARGIN_MILLISECONDS
    return addMilliseconds(this.#pendingSince, bound)
  }
}
