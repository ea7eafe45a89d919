/**
 * Watches one database and replaces its primary when the primary fails or is leaving.
 *
 * A deterministic state machine: it takes messages and the current time and returns effects. Any
 * answer may be lost, late or out of order. The alternatives considered are described in
 * docs/design/02-failover.md.
 */
import {
  addMilliseconds,
  assertNever,
  milliseconds,
  type AttemptId,
  type BackendServerId,
  type DatabaseId,
  type Milliseconds,
  type RandomSource,
} from '@nutmegcourse/shared'
import type { GroupRecord, PositionReport } from '@nutmegcourse/protocol'

import { FailoverAgreement, type OpinionSubject } from './failoverAgreement.js'
import { FailoverChangeController } from './failoverChangeController.js'
import type { FailoverContext } from './failoverContext.js'
import { FailoverFollowers } from './failoverFollowers.js'
import { FailoverGroup } from './failoverGroup.js'
import { FailoverEventLog } from './failoverEventLog.js'
import { FailoverLeaderSearch } from './failoverLeaderSearch.js'
import type { FailoverEffect, FailoverEvent, FailoverMessage, Watcher } from './failoverMessages.js'
import { FailoverMoveController } from './failoverMoveController.js'
import { DEFAULT_FAILOVER_OPTIONS, type FailoverOptions } from './failoverOptions.js'
import { FailoverEffectQueue } from './failoverEffectQueue.js'
import type { KnownRecord } from './failoverRecord.js'
import { FailoverRecordTracker } from './failoverRecordTracker.js'
import { FailoverSuspicion, SUSPICION_TEXTS, type Suspicion } from './failoverSuspicion.js'

export interface FailoverSetup {
  readonly database: DatabaseId
  readonly self: Watcher
  readonly options?: Partial<FailoverOptions>
}

/** More than this many watch intervals between two messages mean that this process stalled. */
const STALL_INTERVALS = 2

export class FailoverCore {
  readonly #context: FailoverContext
  readonly #suspicion: FailoverSuspicion
  readonly #followers: FailoverFollowers
  readonly #changeController: FailoverChangeController
  readonly #moveController: FailoverMoveController
  readonly #leaderSearch: FailoverLeaderSearch
  #lastHandledAt: Milliseconds | null = null
  #lastSuspicion: Suspicion | null = null

  constructor(setup: FailoverSetup, random: RandomSource, makeAttemptId: () => AttemptId) {
    const { database, self } = setup
    const options = { ...DEFAULT_FAILOVER_OPTIONS, ...setup.options }
    const effects = new FailoverEffectQueue(random)
    this.#context = {
      database,
      self,
      options,
      random,
      makeAttemptId,
      effects,
      group: new FailoverGroup(options, effects),
      records: new FailoverRecordTracker(options, effects, (record, now) => {
        this.#recordChanged(record, now)
      }),
      agreement: new FailoverAgreement(database, self, options, effects),
      eventLog: new FailoverEventLog(database, effects),
    }
    this.#suspicion = new FailoverSuspicion(options, this.#context.group)
    this.#followers = new FailoverFollowers(options, effects)
    this.#changeController = new FailoverChangeController(this.#context, (record, now) => {
      this.#complete(record, now)
    })
    this.#moveController = new FailoverMoveController(this.#context, this.#changeController)
    this.#leaderSearch = new FailoverLeaderSearch(this.#context)
  }

  /** The newest record known to this watcher; proxies route by it. */
  get knownRecord(): KnownRecord | null {
    return this.#context.records.known
  }

  /** The most recent steps, oldest first. */
  events(): readonly FailoverEvent[] {
    return this.#context.eventLog.events
  }

  handle(message: FailoverMessage, now: Milliseconds): readonly FailoverEffect[] {
    this.#detectStall(now)
    this.#receive(message, now)
    if (this.#context.agreement.isWatcher) this.#advance(now)
    else this.#changeController.yieldTo(null, now)
    return this.#context.effects.takeAll()
  }

  /** The latest time for the next `tick`; null while this host does not watch the database. */
  nextWake(now: Milliseconds): Milliseconds | null {
    const { agreement, group, options, records } = this.#context
    if (!agreement.isWatcher) return null
    const times = [
      group.nextWake(now),
      agreement.nextWake(),
      records.nextWake(),
      this.#changeController.nextWake(now),
      this.#moveController.nextWake(),
    ].flatMap(time => (time !== null && time > now ? [time] : []))
    // A longer time without a message would be taken for a stall of this process.
    const latest = addMilliseconds(now, options.watchIntervalMilliseconds)
    return milliseconds(Math.min(latest, ...times))
  }

  #receive(message: FailoverMessage, now: Milliseconds): void {
    const { agreement, group, records } = this.#context
    switch (message.kind) {
      case 'record': {
        const { record, revision } = message
        records.receive({ record, revision }, agreement.rank, now)
        return
      }
      case 'backendServers':
        group.setServers(message.servers, now)
        return
      case 'watchers':
        agreement.setWatchers(message.watchers)
        return
      case 'opinion':
        agreement.receive(message.opinion, now)
        return
      case 'writers':
        this.#moveController.setWriters(message.hosts)
        return
      case 'writesHeld':
        this.#moveController.writesHeld(message.host, message.attempt, now)
        return
      case 'positionAnswered':
        this.#notePosition(message.server, message.report, message.askedAt, now)
        return
      case 'positionFailed':
        group.watch(message.server)?.failed(message.failure, now)
        return
      case 'controlAnswered':
        this.#followers.answered(message.call)
        this.#changeController.answered(message.call, message.report, now)
        return
      case 'controlFailed':
        this.#followers.failed(message.call, now)
        this.#changeController.failed(message.call, message.failure, now)
        return
      case 'storeAnswered': {
        const { call, outcome } = message
        records.answered(call, outcome, agreement.rank, now)
        return
      }
      case 'tick':
        return
      default:
        assertNever(message)
    }
  }

  #advance(now: Milliseconds): void {
    this.#updateOpinion(now)
    this.#changeController.advance(now)
    if (!this.#changeController.isInProgress) this.#adoptFoundLeader(now)
    this.#moveController.advance(now)
    this.#context.records.advance(now)
    this.#context.group.advance(this.#changeController.isInProgress, now)
  }

  /**
   * After a stall of this process every position request looks unanswered. Treating that as
   * unresponsive servers would replace a healthy primary, so the silence timers start again.
   */
  #detectStall(now: Milliseconds): void {
    const last = this.#lastHandledAt
    this.#lastHandledAt = now
    const stallMilliseconds = this.#context.options.watchIntervalMilliseconds * STALL_INTERVALS
    if (last !== null && now - last > stallMilliseconds) this.#context.group.resetSilence(now)
  }

  #recordChanged(record: GroupRecord, now: Milliseconds): void {
    const { phase, primary, term } = record
    const leads = phase.kind === 'stable' || phase.kind === 'moving'
    this.#suspicion.reset()
    this.#changeController.yieldTo(record, now)
    this.#followers.setLeadership(leads && primary !== null ? { primary, term } : null)
    this.#context.group.setPrimary(primary)
    if (leads) this.#changeController.resetRetries()
    this.#moveController.recordChanged(record, now)
  }

  #notePosition(
    server: BackendServerId,
    report: PositionReport,
    askedAt: Milliseconds,
    now: Milliseconds,
  ): void {
    const { group, records } = this.#context
    const watch = group.watch(server)
    if (watch === null) return
    if (watch.wasProcessGone) this.#followers.restarted(server, now)
    group.notePosition(server, report, askedAt, now)
    this.#changeController.observed(server, report, now)
    const leader = group.report(records.record?.primary ?? null)
    this.#followers.observe(server, report, leader, this.#followRank(), now)
  }

  /** The coordinator of the last change acts first on the followers, the others in order of rank. */
  #followRank(): number {
    const { agreement, records, self } = this.#context
    return records.record?.coordinator === self.entryHost ? 0 : agreement.rank + 1
  }

  #updateOpinion(now: Milliseconds): void {
    const { agreement, eventLog, records } = this.#context
    const subject = this.#subject()
    const recordChangedAt = records.changedAt ?? now
    const suspicion =
      subject === null ? null : this.#suspicion.evaluate(subject, recordChangedAt, now)
    agreement.setOwnOpinion(subject, suspicion !== null, now)
    if (subject !== null && suspicion !== null && this.#lastSuspicion === null) {
      const detail = `${subject.server} ${SUSPICION_TEXTS[suspicion]}`
      eventLog.append('suspected', subject.term, detail, now)
    }
    this.#lastSuspicion = suspicion
  }

  #subject(): OpinionSubject | null {
    const { record } = this.#context.records
    if (record?.primary == null) return null
    const leads = record.phase.kind === 'stable' || record.phase.kind === 'moving'
    return leads ? { server: record.primary, term: record.term } : null
  }

  #adoptFoundLeader(now: Milliseconds): void {
    const record = this.#leaderSearch.advance(now)
    if (record !== null) this.#complete(record, now)
  }

  #complete(record: GroupRecord, now: Milliseconds): void {
    const { agreement, group, eventLog, records } = this.#context
    records.publish(record, agreement.rank, now)
    this.#followers.followAll(
      group.servers.map(server => server.id),
      now,
    )
    eventLog.append('completed', record.term, `${record.primary ?? 'no server'} leads`, now)
  }
}
