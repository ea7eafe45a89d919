/**
 * A planned move of the primary role, up to the point at which the old primary is fenced.
 *
 * The phase `moving` is written to the store first. Proxies that receive it hold new writes, writes
 * in flight finish and the target catches up; only then does the change of primary start. No write
 * is interrupted, and no other server is ahead of the target.
 */
import {
  isAtOrPast,
  milliseconds,
  type BackendServerId,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type { GroupRecord } from '@nutmegcourse/protocol'

import type { FailoverGroup } from './failoverGroup.js'
import type { FailoverOptions } from './failoverOptions.js'

export interface MovePlan {
  readonly primary: BackendServerId
  readonly target: BackendServerId
  /** The record in phase `moving`. */
  readonly record: GroupRecord
}

export type MoveStatus =
  | { readonly kind: 'wait' }
  /** The primary's log no longer grows and the target holds all of it. */
  | { readonly kind: 'ready' }
  | { readonly kind: 'abandoned'; readonly detail: string }

/** The log counts as idle when two position reports at least this far apart are equal. */
const IDLE_MILLISECONDS = 5

export class FailoverMove {
  readonly plan: MovePlan
  readonly #options: FailoverOptions
  readonly #group: FailoverGroup
  readonly #startedAt: Milliseconds
  /** When the phase `moving` was announced to the proxies; null until the store holds it. */
  #announcedAt: Milliseconds | null = null

  constructor(plan: MovePlan, options: FailoverOptions, group: FailoverGroup, now: Milliseconds) {
    this.plan = plan
    this.#options = options
    this.#group = group
    this.#startedAt = now
  }

  get isAnnounced(): boolean {
    return this.#announcedAt !== null
  }

  announced(now: Milliseconds): void {
    this.#announcedAt ??= now
  }

  advance(now: Milliseconds): MoveStatus {
    if (this.#group.watch(this.plan.target)?.isReachable(now) !== true) {
      return { kind: 'abandoned', detail: `${this.plan.target} does not answer` }
    }
    if (now >= this.#deadline()) {
      const detail = this.isAnnounced
        ? `${this.plan.target} did not catch up in time`
        : 'the store did not accept the move in time'
      return { kind: 'abandoned', detail }
    }
    if (this.#announcedAt === null) return { kind: 'wait' }
    this.#pollSoon(now)
    return this.#hasCaughtUp(this.#announcedAt) ? { kind: 'ready' } : { kind: 'wait' }
  }

  nextWake(): Milliseconds {
    return this.#deadline()
  }

  /**
   * Whether the primary's log stayed the same between two position requests, the later one sent
   * when every proxy should have received the announcement, and the target has reached that
   * position. A proxy that did not receive it may still write past the target's position; the
   * choice among the fenced servers then decides by position.
   */
  #hasCaughtUp(announcedAt: Milliseconds): boolean {
    const samples = this.#group.primarySamplesSince(announcedAt)
    const last = samples.at(-1)
    const target = this.#group.report(this.plan.target)
    if (last === undefined || target === null) return false
    if (last.askedAt - announcedAt < this.#options.moveQuietMilliseconds) return false
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
