/**
 * Finds a primary that leads without a record of it, and completes its record.
 *
 * A coordinator may be lost after the promotion took effect and before it announced the new leader.
 * The leader then reports its term itself; since a term has only one leader, its report is sufficient.
 */
import type { BackendServerId, Milliseconds, Term } from '@nutmegcourse/shared'
import type { GroupRecord } from '@nutmegcourse/protocol'

import type { FailoverContext } from './failoverContext.js'
import { withLeader } from './failoverRecord.js'

/** Added to a watcher's delay for each watcher that ranks before it. */
const RANK_DELAY_MILLISECONDS = 200

export class FailoverLeaderSearch {
  readonly #context: FailoverContext
  #unrecordedTerm: Term | null = null
  #unrecordedSince: Milliseconds | null = null

  constructor(context: FailoverContext) {
    this.#context = context
  }

  /** Returns a record for a leader that has been unrecorded for the adoption delay, or else null. */
  advance(now: Milliseconds): GroupRecord | null {
    const { group, eventLog, records } = this.#context
    const leader = group.findLeader(now)
    if (leader === null || !this.#isUnrecorded(leader.term)) {
      this.#unrecordedSince = null
      return null
    }
    if (leader.term !== this.#unrecordedTerm) this.#unrecordedSince = null
    this.#unrecordedTerm = leader.term
    this.#unrecordedSince ??= now
    if (now - this.#unrecordedSince < this.#adoptionDelay(leader.term)) return null
    this.#unrecordedSince = null
    eventLog.append('promoted', leader.term, `${leader.server} was found as leader`, now)
    return this.#createRecord(leader.server, leader.term, records.record)
  }

  #isUnrecorded(term: Term): boolean {
    const { isStoreEmpty, record, isStoreResponding } = this.#context.records
    // Until the store answers, it may hold a record; if it fails, the servers' reports decide.
    if (record === null) return isStoreEmpty || !isStoreResponding
    if (term !== record.term) return term > record.term
    return record.phase.kind === 'fencing' || record.phase.kind === 'promoting'
  }

  #adoptionDelay(term: Term): number {
    const { agreement, options, records } = this.#context
    const rank = agreement.rank * RANK_DELAY_MILLISECONDS
    if (records.record === null) return rank
    if (term === records.record.term) return options.watchIntervalMilliseconds + rank
    return options.adoptionMilliseconds + rank
  }

  #createRecord(server: BackendServerId, term: Term, known: GroupRecord | null): GroupRecord {
    const { database, makeAttemptId, self } = this.#context
    if (known?.term === term) return withLeader(known, server)
    return {
      database,
      term,
      primary: server,
      phase: { kind: 'stable' },
      coordinator: self.entryHost,
      attempt: makeAttemptId(),
      termStarts: known?.termStarts ?? [],
    }
  }
}
