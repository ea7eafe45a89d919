/** Records the callers' requests and answers, and checks them against the naive reference database. */
import { REASONS, type Reason } from '@nutmegcourse/shared'
import { NaiveDatabase, type AcknowledgedCount } from './naiveDatabase.js'

export interface CallerRequest {
  readonly id: string
  readonly proxy: string
  readonly session: string
  readonly access: 'read' | 'write'
  readonly idempotent: boolean
  readonly freshnessMilliseconds: number
  /** It opens a transaction; only the write of the later commit request is kept. */
  readonly opensTransaction: boolean
  /** How many writes were acknowledged when it arrived. */
  readonly acknowledgedBefore: AcknowledgedCount
  answers: number
  outcome: 'none' | 'served' | 'abandoned' | Reason
}

export class CallerChecker {
  readonly naive = new NaiveDatabase()
  readonly requests = new Map<string, CallerRequest>()
  readonly violations: string[] = []

  request(given: Omit<CallerRequest, 'acknowledgedBefore' | 'answers' | 'outcome'>): void {
    const acknowledgedBefore = this.naive.length
    this.requests.set(given.id, { ...given, acknowledgedBefore, answers: 0, outcome: 'none' })
  }

  /** Records a further statement of the transaction that `opener` opened. */
  continueTransaction(id: string, opener: string): void {
    this.request({ ...this.get(opener), id, opensTransaction: false })
  }

  abandon(id: string): void {
    const request = this.get(id)
    if (request.outcome === 'none') request.outcome = 'abandoned'
  }

  acknowledge(id: string, now: number): void {
    const request = this.#answer(id, 'served')
    if (!request.opensTransaction) this.naive.acknowledge(id, request.session, now)
  }

  refuse(id: string, reason: Reason): void {
    this.#answer(id, reason)
  }

  /** Records and checks a read's answer; `sentAt` is when the read was sent to its server. */
  answerRead(id: string, seen: readonly string[], sentAt: number): void {
    const request = this.#answer(id, 'served')
    const { session, freshnessMilliseconds: age, acknowledgedBefore: before } = request
    const seenWrites = new Set(seen)
    const required = [
      ...this.naive.ownWrites(session, before),
      ...(age === 0 ? this.naive.allWrites(before) : this.naive.writesBefore(sentAt - age)),
    ]
    const missing = required.filter(write => !seenWrites.has(write))
    if (missing.length > 0) this.violations.push(`stale: ${id} does not see ${missing.join()}`)
  }

  /** Compares the answers with the writes that the database holds in the end. */
  checkFinalState(found: readonly string[]): void {
    const counts = new Map<string, number>()
    for (const write of found) counts.set(write, (counts.get(write) ?? 0) + 1)
    for (const write of this.naive.writes) {
      if (!counts.has(write)) this.violations.push(`lost: ${write}`)
    }
    for (const request of this.requests.values()) {
      const { id, outcome, idempotent } = request
      const count = counts.get(id) ?? 0
      if (count > 1 && !idempotent) this.violations.push(`doubled: ${id}`)
      if (outcome === 'none') this.violations.push(`unanswered: ${id}`)
      if (count > 0 && isNotRun(outcome)) this.violations.push(`not run, but ran: ${id} ${outcome}`)
    }
  }

  get(id: string): CallerRequest {
    const request = this.requests.get(id)
    if (request === undefined) throw new Error(`no request ${id}`)
    return request
  }

  #answer(id: string, outcome: CallerRequest['outcome']): CallerRequest {
    const request = this.get(id)
    request.answers += 1
    if (request.answers > 1) this.violations.push(`answered twice: ${id}`)
    if (request.outcome === 'abandoned') this.violations.push(`answered after leaving: ${id}`)
    request.outcome = outcome
    return request
  }
}

function isNotRun(outcome: CallerRequest['outcome']): boolean {
  if (outcome === 'none' || outcome === 'served' || outcome === 'abandoned') return false
  return REASONS[outcome].kind === 'notRun'
}
