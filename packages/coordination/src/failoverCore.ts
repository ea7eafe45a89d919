/**
 * Watches one database and replaces its primary when the primary fails or is leaving.
 *
 * A deterministic state machine: it takes messages and the current time and returns effects. Any
 * answer may be lost, late or out of order. The alternatives considered are described in
 * docs/design/02-failover.md.
 */
import {
  assertNever,
  milliseconds,
  type AttemptId,
  type DatabaseId,
  type Milliseconds,
  type RandomSource,
} from '@nutmegcourse/shared'
import type { GroupRecord } from '@nutmegcourse/protocol'

import { FailoverAgreement, type OpinionSubject } from './failoverAgreement.js'
import { FailoverChangeController } from './failoverChangeController.js'
import { FailoverClock } from './failoverClock.js'
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

type PositionAnswer = Extract<FailoverMessage, { kind: 'positionAnswered' }>

export class FailoverCore {
  readonly #clock: FailoverClock
  readonly #context: FailoverContext
  readonly #suspicion: FailoverSuspicion
  readonly #followers: FailoverFollowers
  readonly #changeController: FailoverChangeController
  readonly #moveController: FailoverMoveController
  readonly #leaderSearch: FailoverLeaderSearch
  #lastSuspicion: Suspicion | null = null

  constructor(setup: FailoverSetup, random: RandomSource, makeAttemptId: () => AttemptId) {
    const { database, self } = setup
    const options = { ...DEFAULT_FAILOVER_OPTIONS, ...setup.options }
    const effects = new FailoverEffectQueue(random)
    this.#clock = new FailoverClock(options.watchIntervalMilliseconds)
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
      agreement: new FailoverAgreement(database, self, options, this.#clock, effects),
      eventLog: new FailoverEventLog(database, this.#clock, effects),
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

  handle(message: FailoverMessage, at: Milliseconds): readonly FailoverEffect[] {
    const { agreement, effects, group } = this.#context
    const hasStalled = this.#clock.advance(at)
    const now = this.#clock.toOwnTime(at)
    if (hasStalled) group.noteStall(now)
    this.#receive(message, now)
    if (!agreement.isWatcher) this.#stopWatching(now)
    else if (this.#clock.isReading) group.advance(this.#changeController.isInProgress, now)
    else this.#advance(now)
    return effects.takeAll()
  }

  /** The latest time for the next `tick`; null while this host does not watch the database. */
  nextWake(at: Milliseconds): Milliseconds | null {
    if (!this.#context.agreement.isWatcher) return null
    const now = this.#clock.toOwnTime(at)
    const times = this.#wakeTimes(now).flatMap(time => (time !== null && time > now ? [time] : []))
    const clockTimes = times.map(time => this.#clock.toClockTime(time))
    return milliseconds(Math.min(this.#clock.latestWake(at), ...clockTimes))
  }

  #wakeTimes(now: Milliseconds): readonly (Milliseconds | null)[] {
    const { agreement, group, records } = this.#context
    if (this.#clock.isReading) return [group.nextWake(now)]
    return [
      group.nextWake(now),
      agreement.nextWake(now),
      records.nextWake(),
      this.#changeController.nextWake(now),
      this.#moveController.nextWake(),
    ]
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
        this.#notePosition(message, now)
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

  #stopWatching(now: Milliseconds): void {
    this.#changeController.yieldTo(null, now)
    this.#clock.pause()
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

  #notePosition(answer: PositionAnswer, now: Milliseconds): void {
    const { server, report } = answer
    const { group, records } = this.#context
    const watch = group.watch(server)
    if (watch === null) return
    if (watch.wasProcessGone) this.#followers.restarted(server, now)
    group.notePosition(server, report, this.#clock.toOwnTime(answer.askedAt), now)
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
