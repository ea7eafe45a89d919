/** A backend server reduced to what the failover machine sees: log, fenced term, role and source. */
import { logPosition, type BackendServerId, type Term } from '@nutmegcourse/shared'
import type { PositionReport } from '@nutmegcourse/protocol'

export interface LogRecord {
  readonly term: number
  /** Null for the record that starts a term. */
  readonly write: number | null
}

/** The first `length` records of a primary's log. */
export interface SentLog {
  readonly term: number
  readonly log: readonly LogRecord[]
  readonly length: number
}

export type ControlReply =
  { readonly kind: 'report'; readonly report: PositionReport } | { readonly kind: 'staleTerm' }

export class FakeBackendServer {
  readonly id: BackendServerId
  /** Appended to in place; discarding a tail creates a new array, as replicas may share the old one. */
  log: LogRecord[]
  fencedTerm: number
  role: 'primary' | 'replica' = 'replica'
  source: BackendServerId | null = null
  /** Number of times that it stopped to lead; each time it closes its callers' connections. */
  demotions = 0
  /** Called when it stops to lead. */
  demoted: () => void = () => undefined

  constructor(id: BackendServerId, log: readonly LogRecord[], fencedTerm: number) {
    this.id = id
    this.log = [...log]
    this.fencedTerm = fencedTerm
  }

  get lastTerm(): number {
    return this.log.at(-1)?.term ?? 0
  }

  get leads(): boolean {
    return this.role === 'primary' && this.fencedTerm <= this.lastTerm
  }

  report(): PositionReport {
    return {
      role: this.role,
      position: logPosition(this.lastTerm, this.log.length),
      fencedTerm: this.fencedTerm as Term,
    }
  }

  fence(term: number): ControlReply {
    if (this.fencedTerm > term) return { kind: 'staleTerm' }
    this.#raiseFence(term)
    return { kind: 'report', report: this.report() }
  }

  promote(term: number): ControlReply {
    if (this.fencedTerm !== term) return { kind: 'staleTerm' }
    const isAlreadyPrimary = this.role === 'primary' && this.lastTerm === term
    if (!isAlreadyPrimary) {
      this.role = 'primary'
      this.source = null
      this.log.push({ term, write: null })
    }
    return { kind: 'report', report: this.report() }
  }

  follow(term: number, primary: BackendServerId): ControlReply {
    if (this.fencedTerm > term) return { kind: 'staleTerm' }
    this.#raiseFence(term)
    this.role = 'replica'
    this.source = primary
    return { kind: 'report', report: this.report() }
  }

  /** Appends a write to this server's log only; returns false if this server may not write. */
  write(write: number): boolean {
    if (!this.leads) return false
    this.log.push({ term: this.lastTerm, write })
    return true
  }

  /** Adopts the log and term sent by its source; discards records that the source lacks. */
  replicate(from: BackendServerId, sent: SentLog): void {
    if (this.role !== 'replica' || this.source !== from || sent.term < this.fencedTerm) return
    let shared = Math.min(this.log.length, sent.length)
    while (shared > 0 && this.log[shared - 1] !== sent.log[shared - 1]) shared -= 1
    const isUpToDate = shared === sent.length && this.lastTerm === sent.term
    if (isUpToDate) return
    this.fencedTerm = sent.term
    if (shared < this.log.length) this.log = this.log.slice(0, shared)
    for (const record of sent.log.slice(shared, sent.length)) this.log.push(record)
  }

  #raiseFence(term: number): void {
    const isDemoted = this.leads && term > this.lastTerm
    this.fencedTerm = term
    if (!isDemoted) return
    this.demotions += 1
    this.demoted()
  }
}
