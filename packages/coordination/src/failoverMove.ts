/**
 * A planned move of the primary role, up to the point at which the old primary is fenced.
 *
 * The phase `moving` is written to the store first. Proxies that receive it hold new writes, writes
 * in flight finish, each host confirms this and the target catches up; only then does the change of
 * primary start. No write is interrupted, and no other server is ahead of the target. Safety does
 * not depend on the confirmations.
 */
import {
  isAtOrPast,
  milliseconds,
  type AttemptId,
  type BackendServerId,
  type EntryHostId,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type { GroupRecord } from '@nutmegcourse/protocol'

import type { FailoverGroup } from './failoverGroup.js'
import type { FailoverOptions } from './failoverOptions.js'
import type { MoveConfirmations } from './moveConfirmations.js'

export interface MovePlan {
  readonly primary: BackendServerId
  readonly target: BackendServerId
  readonly attempt: AttemptId
  /** The record in phase `moving`. */
  readonly record: GroupRecord
}

export type MoveStatus =
  | { readonly kind: 'wait' }
  /**
   * The primary's log no longer grows and the target holds all of it. The unconfirmed hosts may
   * still send writes, which the fence would cut.
   */
  | { readonly kind: 'ready'; readonly unconfirmed: readonly EntryHostId[] }
  /** Some hosts did not confirm in time that they hold their writes. */
  | { readonly kind: 'unconfirmed'; readonly hosts: readonly EntryHostId[] }
  | { readonly kind: 'abandoned'; readonly detail: string }

/** The log counts as idle when two position reports at least this far apart are equal. */
const IDLE_MILLISECONDS = 5

export class FailoverMove {
  readonly plan: MovePlan
  readonly confirmations: MoveConfirmations
  /** Whether the move waits until every host has confirmed that it holds its writes. */
  readonly #mustBeConfirmed: boolean
  readonly #options: FailoverOptions
  readonly #group: FailoverGroup
  readonly #startedAt: Milliseconds
  /** When the phase `moving` was announced to the proxies; null until the store holds it. */
  #announcedAt: Milliseconds | null = null

  constructor(
    plan: MovePlan,
    confirmations: MoveConfirmations,
    mustBeConfirmed: boolean,
    options: FailoverOptions,
    group: FailoverGroup,
    now: Milliseconds,
  ) {
    this.plan = plan
    this.confirmations = confirmations
    this.#mustBeConfirmed = mustBeConfirmed
    this.#options = options
    this.#group = group
    this.#startedAt = now
  }

  get isAnnounced(): boolean {
    return this.#announcedAt !== null
  }

  announced(now: Milliseconds): void {
    if (this.#announcedAt !== null) return
    this.#announcedAt = now
    this.confirmations.startWaiting()
  }

  advance(now: Milliseconds): MoveStatus {
    if (this.#group.watch(this.plan.target)?.isReachable(now) !== true) {
      return { kind: 'abandoned', detail: `${this.plan.target} does not answer` }
    }
    if (now >= this.#deadline()) return this.#missedDeadline()
    if (this.#announcedAt === null) return { kind: 'wait' }
    this.#pollSoon(now)
    const { unconfirmed } = this.confirmations
    if (this.#mustBeConfirmed && unconfirmed.size > 0) return { kind: 'wait' }
    if (!this.#hasCaughtUp(this.#announcedAt)) return { kind: 'wait' }
    return { kind: 'ready', unconfirmed: [...unconfirmed] }
  }

  nextWake(): Milliseconds {
    return this.#deadline()
  }

  #missedDeadline(): MoveStatus {
    if (!this.isAnnounced) {
      return { kind: 'abandoned', detail: 'the store did not accept the move in time' }
    }
    const hosts = [...this.confirmations.unconfirmed]
    if (this.#mustBeConfirmed && hosts.length > 0) return { kind: 'unconfirmed', hosts }
    return { kind: 'abandoned', detail: `${this.plan.target} did not catch up in time` }
  }

  /**
   * Whether the primary's log stayed the same between two position requests, the later one sent
   * when every proxy should have received the announcement and the last confirmation had arrived,
   * and the target has reached that position. A proxy that did not confirm may still write past the
   * target's position; the choice among the fenced servers then decides by position.
   */
  #hasCaughtUp(announcedAt: Milliseconds): boolean {
    const samples = this.#group.primarySamplesSince(announcedAt)
    const last = samples.at(-1)
    const target = this.#group.report(this.plan.target)
    if (last === undefined || target === null) return false
    if (last.askedAt - announcedAt < this.#options.moveQuietMilliseconds) return false
    if (last.askedAt < (this.confirmations.lastAt ?? announcedAt)) return false
    const earlier = samples.findLast(sample => last.askedAt - sample.askedAt >= IDLE_MILLISECONDS)
    if (earlier === undefined) return false
    const isIdle = isAtOrPast(earlier.report.position, last.report.position)
    const isSameTerm = target.position.term === last.report.position.term
    return isIdle && isSameTerm && isAtOrPast(target.position, last.report.position)
  }

  #pollSoon(now: Milliseconds): void {
    this.#group.watch(this.plan.primary)?.pollSoon(now)
    this.#group.watch(this.plan.target)?.pollSoon(now)
  }

  #deadline(): Milliseconds {
    const start = this.#announcedAt ?? this.#startedAt
    const bound = this.isAnnounced
      ? this.#options.moveCatchUpMilliseconds
      : this.#options.storeTimeoutMilliseconds
    return milliseconds(start + bound)
  }
}
