/** Decides whether this watcher suspects the recorded primary. */
import type { Milliseconds } from '@nutmegcourse/shared'

import type { OpinionSubject } from './failoverAgreement.js'
import type { FailoverGroup } from './failoverGroup.js'
import type { FailoverOptions } from './failoverOptions.js'
import type { FailoverServerWatch } from './failoverServerWatch.js'

export type Suspicion = 'unresponsive' | 'deposed' | 'unlisted'

export const SUSPICION_TEXTS: Readonly<Record<Suspicion, string>> = {
  unresponsive: 'does not answer',
  deposed: 'answers but does not lead',
  unlisted: 'is not listed',
}

export class FailoverSuspicion {
  readonly #options: FailoverOptions
  readonly #group: FailoverGroup
  #deposedSince: Milliseconds | null = null

  constructor(options: FailoverOptions, group: FailoverGroup) {
    this.#options = options
    this.#group = group
  }

  /** Discards the observations of the last primary. */
  reset(): void {
    this.#deposedSince = null
  }

  /** Reports requested before `recordChangedAt` say nothing about the subject's current leadership. */
  evaluate(
    subject: OpinionSubject,
    recordChangedAt: Milliseconds,
    now: Milliseconds,
  ): Suspicion | null {
    const watch = this.#group.watch(subject.server)
    if (watch === null) return this.#group.servers.length > 0 ? 'unlisted' : null
    if (watch.isUnresponsive(now)) return 'unresponsive'
    return this.#isDeposed(watch, subject, recordChangedAt, now) ? 'deposed' : null
  }

  /** Whether it answers but no longer leads: restarted as a replica, or fenced by a lost coordinator. */
  #isDeposed(
    watch: FailoverServerWatch,
    subject: OpinionSubject,
    recordChangedAt: Milliseconds,
    now: Milliseconds,
  ): boolean {
    const { latest } = watch
    if (latest === null) return false
    const isOutdated = latest.askedAt < recordChangedAt
    const { role, fencedTerm } = latest.report
    const leads = role === 'primary' && fencedTerm <= subject.term
    if (isOutdated || leads) {
      this.#deposedSince = null
      return false
    }
    this.#deposedSince ??= now
    return now - this.#deposedSince >= this.#options.deposedMilliseconds
  }
}
