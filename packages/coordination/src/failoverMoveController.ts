/** Starts planned moves of the primary role and drives each one until it is done or abandoned. */
import {
  addMilliseconds,
  assertNever,
  milliseconds,
  type AttemptId,
  type EntryHostId,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type { GroupRecord } from '@nutmegcourse/protocol'

import type { FailoverChangeController } from './failoverChangeController.js'
import type { FailoverContext } from './failoverContext.js'
import { FailoverMove, type MovePlan } from './failoverMove.js'
import { backOffMilliseconds } from './failoverOptions.js'
import { MoveConfirmations } from './moveConfirmations.js'

const MAX_RETRY_FACTOR = 16
/** Added to a watcher's delay for each watcher that ranks before it. */
const RANK_DELAY_MILLISECONDS = 500
/**
 * After this many moves that were given up for missing confirmations, a move goes on without them:
 * the leaving server ends in any case, and an unplanned change would cut more.
 */
const MAX_UNCONFIRMED_MOVES = 2

export class FailoverMoveController {
  readonly #context: FailoverContext
  readonly #changes: FailoverChangeController
  #move: FailoverMove | null = null
  #possibleSince: Milliseconds | null = null
  /** The newest record in phase `moving`, of any watcher, until its outcome is known. */
  #announcedRecord: GroupRecord | null = null
  /** The entry hosts whose proxies may write; null while the membership is not known. */
  #writers: readonly EntryHostId[] | null = null
  #failures = 0
  #unconfirmedMoves = 0
  #retryAt: Milliseconds = milliseconds(0)
  /** By when the store must hold the phase `stable` again after an abandoned move. */
  #rollbackBy: Milliseconds | null = null

  constructor(context: FailoverContext, changes: FailoverChangeController) {
    this.#context = context
    this.#changes = changes
  }

  setWriters(hosts: readonly EntryHostId[]): void {
    this.#writers = hosts
    this.#move?.confirmations.setWriters(hosts)
  }

  /** The proxies of the host hold their writes and have none in flight. */
  writesHeld(host: EntryHostId, attempt: AttemptId, now: Milliseconds): void {
    this.#move?.confirmations.receive(host, attempt, now)
  }

  /** Called when the term or phase of the known record has changed. */
  recordChanged(record: GroupRecord, now: Milliseconds): void {
    const move = this.#move
    this.#noteOutcome(record, now)
    if (record.phase.kind !== 'moving') this.#noteRolledBack()
    if (move === null) return
    if (record.attempt !== move.plan.attempt) this.#giveWay(move)
    else if (record.phase.kind === 'moving') this.#announce(move, now)
  }

  advance(now: Milliseconds): void {
    if (this.#move === null) this.#startIfPossible(now)
    else this.#advanceMove(this.#move, now)
    this.#enforceRollback(now)
  }

  nextWake(): Milliseconds | null {
    return this.#move?.nextWake() ?? this.#rollbackBy
  }

  /** A move is not urgent: it waits for the store and for a target that is close behind. */
  #startIfPossible(now: Milliseconds): void {
    const { agreement, records } = this.#context
    const plan = this.#plan(now)
    if (plan === null) {
      this.#possibleSince = null
      return
    }
    this.#possibleSince ??= now
    if (now < this.#retryAt || this.#changes.isInProgress || !records.isStored) return
    if (!records.isStoreResponding || agreement.agreedSince(now) !== null) return
    const since = Math.max(this.#possibleSince, this.#retryAt)
    if (now - since < agreement.rank * RANK_DELAY_MILLISECONDS) return
    this.#start(plan, now)
  }

  #plan(now: Milliseconds): MovePlan | null {
    const { group, makeAttemptId, records, self } = this.#context
    const { record } = records
    if (record?.phase.kind !== 'stable') return null
    const primary = group.listed(record.primary)
    if (primary?.state !== 'leaving' || !group.canReachMajority(now)) return null
    const target = group.findMoveTarget(primary, now)
    if (target === null) return null
    const attempt = makeAttemptId()
    const coordinator = self.entryHost
    const moving = { ...record, phase: { kind: 'moving', target }, coordinator, attempt } as const
    return { primary: primary.id, target, attempt, record: moving }
  }

  #start(plan: MovePlan, now: Milliseconds): void {
    const { group, eventLog, options, records } = this.#context
    const confirmations = new MoveConfirmations(plan.attempt, this.#writers)
    const mustBeConfirmed = this.#unconfirmedMoves < MAX_UNCONFIRMED_MOVES
    this.#move = new FailoverMove(plan, confirmations, mustBeConfirmed, options, group, now)
    eventLog.append('moveStarted', plan.record.term, `${plan.primary} to ${plan.target}`, now)
    records.propose(plan.record, now)
  }

  #announce(move: FailoverMove, now: Milliseconds): void {
    this.#announceKnownRecord()
    move.announced(now)
  }

  /** Another watcher changes the primary or has announced a move of its own. */
  #giveWay(move: FailoverMove): void {
    this.#context.records.withdraw(move.plan.record)
    this.#move = null
  }

  #noteRolledBack(): void {
    if (this.#rollbackBy !== null) this.#announceKnownRecord()
    this.#rollbackBy = null
  }

  #announceKnownRecord(): void {
    const { effects, records } = this.#context
    if (records.known !== null) effects.emit({ kind: 'announce', ...records.known })
  }

  #advanceMove(move: FailoverMove, now: Milliseconds): void {
    const status = move.advance(now)
    switch (status.kind) {
      case 'wait':
        return
      case 'ready':
        this.#startChange(move.plan, status.unconfirmed, now)
        return
      case 'unconfirmed':
        this.#unconfirmedMoves += 1
        this.#abandon(move, `${status.hosts.join(', ')} did not confirm`, now)
        return
      case 'abandoned':
        this.#abandon(move, status.detail, now)
        return
      default:
        assertNever(status)
    }
  }

  #startChange(plan: MovePlan, unconfirmed: readonly EntryHostId[], now: Milliseconds): void {
    this.#move = null
    if (unconfirmed.length > 0) {
      const detail = `goes on without ${unconfirmed.join(', ')}`
      this.#context.eventLog.append('moveUnconfirmed', plan.record.term, detail, now)
    }
    this.#changes.start(`${plan.primary} is leaving`, plan, now)
  }

  /**
   * A move of any coordinator has failed when its record becomes stable with the former primary: the
   * move was abandoned, or a late write gave the former primary the newest position.
   */
  #noteOutcome(record: GroupRecord, now: Milliseconds): void {
    if (record.phase.kind === 'moving') this.#announcedRecord = record
    const announced = this.#announcedRecord
    if (record.phase.kind !== 'stable' || announced === null) return
    this.#announcedRecord = null
    if (record.primary === announced.primary) {
      this.#noteFailure(now)
      return
    }
    this.#failures = 0
    this.#unconfirmedMoves = 0
  }

  #noteFailure(now: Milliseconds): void {
    this.#failures += 1
    const { moveRetryMilliseconds } = this.#context.options
    const wait = backOffMilliseconds(moveRetryMilliseconds, this.#failures, MAX_RETRY_FACTOR)
    this.#retryAt = addMilliseconds(now, wait)
  }

  #abandon(move: FailoverMove, detail: string, now: Milliseconds): void {
    const { eventLog, options, records } = this.#context
    const { record } = move.plan
    this.#move = null
    this.#announcedRecord = null
    this.#noteFailure(now)
    this.#rollbackBy = addMilliseconds(now, options.callTimeoutMilliseconds)
    eventLog.append('moveAbandoned', record.term, detail, now)
    records.propose({ ...record, phase: { kind: 'stable' } }, now)
  }

  /**
   * Proxies hold writes until the store has the phase `stable` again. If the store does not answer
   * in time, a change of primary at a new term, which does not wait for the store, lets them resume.
   */
  #enforceRollback(now: Milliseconds): void {
    if (this.#rollbackBy === null || now < this.#rollbackBy || this.#changes.isInProgress) return
    this.#rollbackBy = null
    if (this.#context.records.record?.phase.kind !== 'moving') return
    this.#changes.start('a planned move was abandoned and the store does not answer', null, now)
  }
}
