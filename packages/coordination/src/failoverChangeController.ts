/** Runs this watcher's attempts to change the primary: one at a time, with back-off in between. */
import {
  addMilliseconds,
  assertNever,
  jittered,
  milliseconds,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type { GroupRecord, PositionReport } from '@nutmegcourse/protocol'
import { formatPosition, type BackendServerId } from '@nutmegcourse/shared'

import { FailoverAttempt, type AttemptResult } from './failoverAttempt.js'
import type { FailoverContext } from './failoverContext.js'
import type { CallId, ControlFailure } from './failoverMessages.js'
import type { MovePlan } from './failoverMove.js'
import { backOffMilliseconds } from './failoverOptions.js'
import { findChangeReason } from './failoverReason.js'
import { withChosen, withLeader } from './failoverRecord.js'
import { drawTerm, laterTerm } from './failoverTerm.js'

const MAX_RETRY_FACTOR = 16

export class FailoverChangeController {
  readonly #context: FailoverContext
  /** Called when a new primary leads. */
  readonly #onCompleted: (record: GroupRecord, now: Milliseconds) => void
  #attempt: FailoverAttempt | null = null
  #failures = 0
  #retryAt: Milliseconds = milliseconds(0)

  constructor(
    context: FailoverContext,
    onCompleted: (record: GroupRecord, now: Milliseconds) => void,
  ) {
    this.#context = context
    this.#onCompleted = onCompleted
  }

  get isInProgress(): boolean {
    return this.#attempt !== null
  }

  /** Starts an attempt when there is a reason, it is this watcher's turn and a majority is reachable. */
  startIfNeeded(now: Milliseconds): void {
    if (this.#attempt !== null || now < this.#retryAt) return
    const reason = findChangeReason(this.#context, now)
    if (reason === null || now < reason.notBefore) return
    if (!this.#context.group.canReachMajority(now)) return
    this.start(reason.detail, null, now)
  }

  start(detail: string, move: MovePlan | null, now: Milliseconds): void {
    const { agreement, group, eventLog, options, effects, records } = this.#context
    const record = this.#createRecord(move)
    eventLog.append('agreed', record.term, detail, now)
    eventLog.append('termTaken', record.term, `by ${this.#context.self.entryHost}`, now)
    records.publish(record, agreement.rank, now)
    const preferences = { target: move?.target ?? null, lastPrimary: group.listed(record.primary) }
    const awaited = move === null ? [] : [move.primary, move.target]
    const { majority, servers } = group
    const plan = { term: record.term, servers, majority, preferences, awaited }
    this.#attempt = new FailoverAttempt(plan, options, effects, now)
  }

  /** Abandons the attempt when another took a newer term or, for null, this host stopped watching. */
  yieldTo(newest: GroupRecord | null, now: Milliseconds): void {
    if (this.#attempt === null) return
    if (newest === null) this.#abandon('this host no longer watches the database', now)
    else if (newest.term > this.#attempt.term) {
      this.#abandon(`term ${newest.term} was taken by another`, now)
    }
  }

  /** Called when a primary leads: the back-off after later failures starts from its first delay again. */
  resetRetries(): void {
    this.#failures = 0
  }

  answered(call: CallId, report: PositionReport, now: Milliseconds): void {
    this.#handleResult(this.#attempt?.answered(call, report, now), now)
  }

  failed(call: CallId, failure: ControlFailure, now: Milliseconds): void {
    this.#handleResult(this.#attempt?.failed(call, failure, now), now)
  }

  observed(server: BackendServerId, report: PositionReport, now: Milliseconds): void {
    this.#handleResult(this.#attempt?.observed(server, report), now)
  }

  advance(now: Milliseconds): void {
    this.#handleResult(this.#attempt?.advance(now), now)
    this.startIfNeeded(now)
  }

  nextWake(now: Milliseconds): Milliseconds | null {
    if (this.#attempt !== null) return this.#attempt.nextWake()
    const reason = findChangeReason(this.#context, now)
    return reason === null ? null : milliseconds(Math.max(reason.notBefore, this.#retryAt))
  }

  #createRecord(move: MovePlan | null): GroupRecord {
    const { database, group, makeAttemptId, random, records, self } = this.#context
    const { record } = records
    const newest = laterTerm(group.newestTerm(), record?.term ?? group.newestTerm())
    return {
      database,
      term: drawTerm(newest, random),
      primary: record?.primary ?? null,
      phase: { kind: 'fencing', target: move?.target ?? null },
      coordinator: self.entryHost,
      attempt: makeAttemptId(),
      termStarts: record?.termStarts ?? [],
    }
  }

  #handleResult(result: AttemptResult | undefined, now: Milliseconds): void {
    const attempt = this.#attempt
    const { agreement, eventLog, records } = this.#context
    if (result === undefined || attempt === null || records.record === null) return
    switch (result.kind) {
      case 'none':
        return
      case 'chosen': {
        const { server, position } = result.candidate
        eventLog.append('fenced', attempt.term, `${result.fenced} servers`, now)
        eventLog.append('chosen', attempt.term, `${server.id} at ${formatPosition(position)}`, now)
        records.publish(withChosen(records.record, server.id, position), agreement.rank, now)
        return
      }
      case 'promoted':
        this.#attempt = null
        eventLog.append('promoted', attempt.term, result.leader, now)
        this.#onCompleted(withLeader(records.record, result.leader), now)
        return
      case 'failed':
        this.#abandon(result.detail, now)
        return
      default:
        assertNever(result)
    }
  }

  #abandon(detail: string, now: Milliseconds): void {
    const { eventLog, options, random } = this.#context
    const attempt = this.#attempt
    if (attempt === null) return
    this.#attempt = null
    this.#failures += 1
    const wait = backOffMilliseconds(
      options.attemptRetryMilliseconds,
      this.#failures,
      MAX_RETRY_FACTOR,
    )
    // Without jitter, two watchers that preempted each other would retry at the same time.
    this.#retryAt = addMilliseconds(now, jittered(wait, random))
    eventLog.append('abandoned', attempt.term, detail, now)
  }
}
