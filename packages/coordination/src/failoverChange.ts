/** This watcher's attempts at a change of primary: one at a time, spaced by a growing wait. */
import {
  addMilliseconds,
  assertNever,
  drawnApart,
  milliseconds,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type { GroupRecord, PositionReport } from '@nutmegcourse/protocol'
import { formatPosition, type BackendServerId } from '@nutmegcourse/shared'

import { FailoverAttempt, type AttemptNews } from './failoverAttempt.js'
import type { FailoverContext } from './failoverContext.js'
import type { CallId, ControlFailure } from './failoverMessages.js'
import type { MovePlan } from './failoverMove.js'
import { backOff } from './failoverOptions.js'
import { findChangeReason } from './failoverReason.js'
import { withChosen, withLeader } from './failoverRecord.js'
import { drawTerm, laterTerm } from './failoverTerm.js'

const GREATEST_RETRY_FACTOR = 16

export class FailoverChange {
  readonly #context: FailoverContext
  /** Called when a new primary leads. */
  readonly #complete: (record: GroupRecord, now: Milliseconds) => void
  #attempt: FailoverAttempt | null = null
  #failures = 0
  #retryAt: Milliseconds = milliseconds(0)

  constructor(
    context: FailoverContext,
    complete: (record: GroupRecord, now: Milliseconds) => void,
  ) {
    this.#context = context
    this.#complete = complete
  }

  get isUnderWay(): boolean {
    return this.#attempt !== null
  }

  /** Starts an attempt when there is a reason, this watcher's turn has come and it may succeed. */
  consider(now: Milliseconds): void {
    if (this.#attempt !== null || now < this.#retryAt) return
    const reason = findChangeReason(this.#context, now)
    if (reason === null || now < reason.from) return
    if (!this.#context.group.canReachMajority(now)) return
    this.start(reason.detail, null, now)
  }

  start(detail: string, move: MovePlan | null, now: Milliseconds): void {
    const { agreement, group, journal, options, outlet, records } = this.#context
    const record = this.#takeTerm(move)
    journal.note('agreed', record.term, detail, now)
    journal.note('termTaken', record.term, `by ${this.#context.self.entryHost}`, now)
    records.adopt(record, agreement.rank, now)
    const wishes = { target: move?.target ?? null, lastPrimary: group.listed(record.primary) }
    const awaited = move === null ? [] : [move.primary, move.target]
    const { majority, servers } = group
    const plan = { term: record.term, servers, majority, wishes, awaited }
    this.#attempt = new FailoverAttempt(plan, options, outlet, now)
  }

  /** Another took a newer term, or this host may not act any more. */
  yieldTo(newest: GroupRecord | null, now: Milliseconds): void {
    if (this.#attempt === null) return
    if (newest === null) this.#abandon('this host no longer watches the database', now)
    else if (newest.term > this.#attempt.term) {
      this.#abandon(`term ${newest.term} was taken by another`, now)
    }
  }

  /** A primary leads, so the next change starts without the waits of this one. */
  settled(): void {
    this.#failures = 0
  }

  answered(call: CallId, report: PositionReport, now: Milliseconds): void {
    this.#note(this.#attempt?.answered(call, report, now), now)
  }

  failed(call: CallId, failure: ControlFailure, now: Milliseconds): void {
    this.#note(this.#attempt?.failed(call, failure, now), now)
  }

  observed(server: BackendServerId, report: PositionReport, now: Milliseconds): void {
    this.#note(this.#attempt?.observed(server, report), now)
  }

  advance(now: Milliseconds): void {
    this.#note(this.#attempt?.advance(now), now)
    this.consider(now)
  }

  nextWake(now: Milliseconds): Milliseconds | null {
    if (this.#attempt !== null) return this.#attempt.nextWake()
    const reason = findChangeReason(this.#context, now)
    return reason === null ? null : milliseconds(Math.max(reason.from, this.#retryAt))
  }

  #takeTerm(move: MovePlan | null): GroupRecord {
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

  #note(news: AttemptNews | undefined, now: Milliseconds): void {
    const attempt = this.#attempt
    const { agreement, journal, records } = this.#context
    if (news === undefined || attempt === null || records.record === null) return
    switch (news.kind) {
      case 'none':
        return
      case 'chosen': {
        const { server, position } = news.candidate
        journal.note('fenced', attempt.term, `${news.fenced} servers`, now)
        journal.note('chosen', attempt.term, `${server.id} at ${formatPosition(position)}`, now)
        records.adopt(withChosen(records.record, server.id, position), agreement.rank, now)
        return
      }
      case 'promoted':
        this.#attempt = null
        journal.note('promoted', attempt.term, news.leader, now)
        this.#complete(withLeader(records.record, news.leader), now)
        return
      case 'failed':
        this.#abandon(news.detail, now)
        return
      default:
        assertNever(news)
    }
  }

  #abandon(detail: string, now: Milliseconds): void {
    const { journal, options, random } = this.#context
    const attempt = this.#attempt
    if (attempt === null) return
    this.#attempt = null
    this.#failures += 1
    const wait = backOff(options.attemptRetryMilliseconds, this.#failures, GREATEST_RETRY_FACTOR)
    // Two that abandon for each other would otherwise try again at the same moment.
    this.#retryAt = addMilliseconds(now, drawnApart(wait, random))
    journal.note('abandoned', attempt.term, detail, now)
  }
}
