/**
 * One member of a database group: its log, its role, and the rules of fencing and promotion.
 *
 * A server fenced at term F accepts no write and no replication of a term below F. Once a majority
 * is fenced at F, a primary of a lower term can therefore no longer replicate a write to a majority.
 */
import { err, ok, type Result } from 'neverthrow'
import { STALE_TERM_SQL_STATE, type PositionReport } from '@nutmegcourse/protocol'
import type { LogPosition, Term } from '@nutmegcourse/shared'
import type { Change, LogRecord, TermRun } from './logRecord.js'
import { commonOffset, ReplicatedLog } from './replicatedLog.js'
import { Tables } from './tables.js'
import type { SqlError } from './wire/backendFrames.js'

type Role = { readonly kind: 'replica' } | { readonly kind: 'primary'; readonly term: Term }

export const READ_ONLY_ERROR: SqlError = {
  code: '25006',
  message: 'cannot execute a write in a read-only transaction',
}

const staleTerm = (requestedTerm: Term, fencedTerm: Term): SqlError => ({
  code: STALE_TERM_SQL_STATE,
  message: `term ${requestedTerm} is not this server's fenced term ${fencedTerm}`,
})

export interface InstanceListener {
  /** Must close callers' connections before the change of role or data becomes visible. */
  closeCallers(): void
  /** This server is no longer the primary: its replication connections must close. */
  demoted(): void
  /** This server appended records as the primary. */
  appended(): void
}

export class DatabaseInstance {
  readonly tables = new Tables()
  readonly #log: ReplicatedLog
  readonly #listener: InstanceListener
  #role: Role = { kind: 'replica' }

  constructor(log: ReplicatedLog, listener: InstanceListener) {
    this.#log = log
    this.#listener = listener
    this.#rebuildTables()
  }

  get isPrimary(): boolean {
    return this.#role.kind === 'primary'
  }

  /** The term in which this server is the primary; null for a replica. */
  get ledTerm(): Term | null {
    return this.#role.kind === 'primary' ? this.#role.term : null
  }

  get position(): LogPosition {
    return this.#log.position
  }

  get logLength(): number {
    return this.#log.length
  }

  report(): PositionReport {
    return {
      role: this.#role.kind,
      position: this.#log.position,
      fencedTerm: this.#log.fencedTerm,
    }
  }

  fence(requestedTerm: Term): Result<PositionReport, SqlError> {
    if (requestedTerm < this.#log.fencedTerm)
      return err(staleTerm(requestedTerm, this.#log.fencedTerm))
    this.#raiseFence(requestedTerm)
    return ok(this.report())
  }

  promote(requestedTerm: Term): Result<PositionReport, SqlError> {
    if (requestedTerm !== this.#log.fencedTerm)
      return err(staleTerm(requestedTerm, this.#log.fencedTerm))
    if (this.isPrimary) return ok(this.report())
    this.#role = { kind: 'primary', term: requestedTerm }
    this.#log.append({ term: requestedTerm, changes: [] })
    this.#listener.appended()
    return ok(this.report())
  }

  /** Prepares for replication from the primary of a term: raises the fence to that term. */
  allowFollowing(primaryTerm: Term): Result<PositionReport, SqlError> {
    if (primaryTerm < this.#log.fencedTerm) return err(staleTerm(primaryTerm, this.#log.fencedTerm))
    if (this.#role.kind === 'primary' && this.#role.term === primaryTerm) {
      return err({ code: '55000', message: `this server leads term ${primaryTerm} itself` })
    }
    this.#raiseFence(primaryTerm)
    return ok(this.report())
  }

  /**
   * Appends records received from the primary of `primaryTerm`. False when this server is not a
   * replica, a newer fence forbids it, or the records do not continue the log.
   */
  replicate(primaryTerm: Term, from: number, records: readonly LogRecord[]): boolean {
    if (!this.#mayReplicateFrom(primaryTerm) || from !== this.#log.length) return false
    for (const record of records) {
      this.#log.append(record)
      this.tables.apply(record.changes)
    }
    return true
  }

  /**
   * Discards the records that the primary of `primaryTerm` lacks. False when this server is not a
   * replica or a newer fence forbids it.
   */
  truncateTo(primaryTerm: Term, offset: number): boolean {
    if (!this.#mayReplicateFrom(primaryTerm)) return false
    if (offset >= this.#log.length) return true
    this.#listener.closeCallers()
    this.#log.truncateTo(offset)
    this.#rebuildTables()
    return true
  }

  commit(changes: readonly Change[]): Result<LogPosition, SqlError> {
    if (this.#role.kind !== 'primary') return err(READ_ONLY_ERROR)
    this.#log.append({ term: this.#role.term, changes })
    this.tables.apply(changes)
    this.#listener.appended()
    return ok(this.#log.position)
  }

  records(from: number, count: number): readonly LogRecord[] {
    return this.#log.records(from, count)
  }

  termRuns(): readonly TermRun[] {
    return this.#log.termRuns()
  }

  commonOffsetWith(runs: readonly TermRun[]): number {
    return commonOffset(this.#log.termRuns(), runs)
  }

  /**
   * Demotes a primary that is fenced above its term. A write that it has not answered yet must not be
   * acknowledged, because the new primary may lack it; callers see a closed connection instead.
   */
  #raiseFence(requestedTerm: Term): void {
    if (requestedTerm > this.#log.fencedTerm) this.#log.fence(requestedTerm)
    if (this.#role.kind === 'replica' || this.#role.term >= requestedTerm) return
    this.#role = { kind: 'replica' }
    this.#listener.closeCallers()
    this.#listener.demoted()
  }

  #mayReplicateFrom(primaryTerm: Term): boolean {
    return this.#role.kind === 'replica' && primaryTerm >= this.#log.fencedTerm
  }

  #rebuildTables(): void {
    this.tables.clear()
    for (const record of this.#log.records(0)) this.tables.apply(record.changes)
  }
}
