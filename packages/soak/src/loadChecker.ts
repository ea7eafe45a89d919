/**
 * Checks the order in which hard load is served, from what callers see while load is on and no fault is: the highest
 * class does not wait behind lower ones, and no customer is refused while another one is served more than its share.
 */
import { customerWeight } from '@nutmegcourse/state'
import type { CustomerName } from '@nutmegcourse/shared'
import type { WireAnswer } from '@nutmegcourse/platform/standIns'
import { LATENCY_TARGET_MILLISECONDS, type Guarantee } from './guarantees.js'
import { CLASS_PRIORITIES, CUSTOMERS } from './hardLoad.js'

/** A read, write or commit that was answered, or whose session ended before its answer. */
export interface EndedStatement {
  readonly id: string
  readonly service: string
  readonly guarantee: Guarantee
  readonly customer: CustomerName | null
  /** Where it competes for slots: at the primary, or at the servers of a region. */
  readonly place: string
  readonly sentAt: number
  readonly endedAt: number
  readonly answer: WireAnswer
}

/** The part of the highest class that may be late or refused: a host may stand still, or a limit be probed. */
const MAXIMUM_LATE_SHARE = 0.05

/** Customers' shares are those of this period. No refused caller is told to stay away for longer. */
const SHARES_PERIOD_MILLISECONDS = 2000

/** A customer is under its share if it was answered so many standard deviations of a random count less than it is due. */
const DEVIATIONS = 3

const WEIGHTS = new Map(CUSTOMERS.map(({ name, priority }) => [name, customerWeight(priority)]))

export interface Interval {
  readonly from: number
  readonly until: number
}

export class LoadChecker {
  /** In the order of their ends. */
  readonly #ended: { readonly statement: EndedStatement; readonly isCalm: boolean }[] = []
  /** Answered statements of the last period, by place and class. */
  readonly #served = new Map<string, EndedStatement[]>()
  readonly #findings: string[] = []
  readonly counts = { highest: 0, highestLate: 0, lower: 0, lowerLate: 0, refused: 0 }

  /** `isCalm`: load was on and no fault, from the time that its effects take before the statement to its end. */
  record(statement: EndedStatement, isCalm: boolean): void {
    this.#ended.push({ statement, isCalm })
  }

  /** Statements that were unanswered while a host stood still are not judged. */
  finish(standstills: readonly Interval[]): readonly string[] {
    for (const { statement, isCalm } of this.#ended) {
      const wasHeldUp = standstills.some(
        ({ from, until }) => from <= statement.endedAt && until >= statement.sentAt,
      )
      this.#judge(statement, isCalm && !wasHeldUp)
    }
    const { highest, highestLate } = this.counts
    if (highestLate <= highest * MAXIMUM_LATE_SHARE) return this.#findings
    const finding = `${String(highestLate)} of ${String(highest)} statements of the highest class were refused or later than ${String(LATENCY_TARGET_MILLISECONDS)} ms under load`
    return [...this.#findings, finding]
  }

  #judge(statement: EndedStatement, isCalm: boolean): void {
    const { answer, endedAt, sentAt } = statement
    if (isCalm) {
      const isInTime = answer.kind === 'done' && endedAt - sentAt <= LATENCY_TARGET_MILLISECONDS
      this.#count(statement, isInTime)
      if (isBusy(answer)) this.#checkShares(statement)
    }
    if (answer.kind === 'done') this.#recent(statement).push(statement)
  }

  #count({ guarantee, answer }: EndedStatement, isInTime: boolean): void {
    if (CLASS_PRIORITIES[guarantee] === 0) {
      this.counts.highest += 1
      if (!isInTime) this.counts.highestLate += 1
    } else {
      this.counts.lower += 1
      if (!isInTime) this.counts.lowerLate += 1
    }
    if (isBusy(answer)) this.counts.refused += 1
  }

  /** A customer under its limit was refused as overloaded. */
  #checkShares(refused: EndedStatement): void {
    const { id, customer, service, guarantee, endedAt } = refused
    const served = this.#recent(refused).filter(
      other => other.endedAt >= endedAt - SHARES_PERIOD_MILLISECONDS,
    )
    const counts = new Map([[customer, 0]])
    for (const other of served) {
      counts.set(other.customer, (counts.get(other.customer) ?? 0) + 1)
    }
    const weights = [...counts.keys()].reduce((sum, name) => sum + weightOf(name), 0)
    const dueTo = (name: CustomerName | null): number => (weightOf(name) * served.length) / weights
    const due = dueTo(customer)
    if ((counts.get(customer) ?? 0) >= due - DEVIATIONS * Math.sqrt(due)) return
    const shareOf = (name: CustomerName | null): number => (counts.get(name) ?? 0) / dueTo(name)
    const over = [...counts.keys()].filter(name => shareOf(name) > 1)
    const shares = over.map(name => `${String(name)} at ${shareOf(name).toFixed(1)}`).join(', ')
    this.#findings.push(
      `${String(customer)}, at ${shareOf(customer).toFixed(2)} of its share of ${service} for ${guarantee}, was refused ${id} while others were served beyond theirs: ${shares}`,
    )
  }

  #recent({ service, guarantee, place, endedAt }: EndedStatement): EndedStatement[] {
    const key = `${service} ${guarantee} ${place}`
    const known = (this.#served.get(key) ?? []).filter(
      other => other.endedAt >= endedAt - SHARES_PERIOD_MILLISECONDS,
    )
    this.#served.set(key, known)
    return known
  }
}

const weightOf = (customer: CustomerName | null): number =>
  customer === null ? 1 : (WEIGHTS.get(customer) ?? 1)

/** Refused for want of room; refusals of a limit have another code. */
const isBusy = (answer: WireAnswer): boolean =>
  answer.kind === 'notRun' && answer.detail.startsWith('BUSY')
