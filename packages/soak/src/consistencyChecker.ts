/**
 * Checks the promises to callers against the answers that they received and the final logs of the
 * primaries. Each finding is one sentence; a run without findings broke none of the checked promises.
 */
import { isAtOrPast, laterPosition, logPosition, type LogPosition } from '@nutmegcourse/shared'
import type { MemoryGroup } from '@nutmegcourse/stand-ins'
import {
  BOUNDED_AGE_MILLISECONDS,
  IDLE_TRANSACTION_MILLISECONDS,
  type Guarantee,
} from './guarantees.js'
import { failoverGapsOf, type FailoverGaps } from './failoverGaps.js'
import type { UnsuccessfulStatement } from './soakCallerOptions.js'

export type ReadRule =
  | { readonly kind: 'latest' }
  | { readonly kind: 'bounded'; readonly ageMilliseconds: number }
  | { readonly kind: 'own'; readonly ageMilliseconds: number }

interface AcknowledgedPosition {
  readonly at: number
  /** The newest position acknowledged up to this time. */
  readonly newestPosition: LogPosition
}

const LOG_START = logPosition(1, 0)

export class ConsistencyChecker {
  readonly findings: string[] = []
  readonly #groups: ReadonlyMap<string, MemoryGroup>
  readonly #acknowledged = new Map<string, AcknowledgedPosition[]>()
  readonly #acknowledgedIds = new Map<string, string>()
  readonly #notAppliedIds = new Map<string, string>()
  readonly #sentIds = new Set<string>()
  readonly counts = { acknowledged: 0, reads: 0, notRun: 0, unknown: 0, closed: 0 }

  constructor(groups: readonly MemoryGroup[]) {
    this.#groups = new Map(groups.map(group => [group.service, group]))
  }

  recordSent(id: string): void {
    this.#sentIds.add(id)
  }

  /**
   * Records that a caller received the acknowledgement of these writes. Returns their position; null
   * if no server executed them.
   */
  recordAcknowledged(
    service: string,
    ids: readonly string[],
    signature: string,
  ): LogPosition | null {
    const expected = `commit-${ids.join('+')}`
    if (signature !== expected)
      this.#report(`answer ${signature} was returned for the commit of ${ids.join(', ')}`)
    for (const id of ids) this.#acknowledgedIds.set(id, service)
    this.counts.acknowledged += ids.length
    const [first] = ids
    const position = first === undefined ? null : this.#group(service).positionOf(first)
    if (position === null) {
      this.#report(`${ids.join(', ')} acknowledged, but no server executed it`)
      return null
    }
    const known = this.#acknowledged.get(service) ?? []
    const newest = laterPosition(known.at(-1)?.newestPosition ?? LOG_START, position)
    known.push({ at: performance.now(), newestPosition: newest })
    this.#acknowledged.set(service, known)
    return position
  }

  /** Records writes that must not be in effect: refused, rolled back or never committed. */
  recordNotApplied(service: string, ids: readonly string[]): void {
    for (const id of ids) this.#notAppliedIds.set(id, service)
  }

  /** Returns the lowest log position at which a server may answer a read that is sent now. */
  requiredPosition(service: string, rule: ReadRule, own: LogPosition | null): LogPosition {
    const now = performance.now()
    const known = this.#acknowledged.get(service) ?? []
    if (rule.kind === 'latest') return known.at(-1)?.newestPosition ?? LOG_START
    const last =
      known.findLast(({ at }) => at <= now - rule.ageMilliseconds)?.newestPosition ?? LOG_START
    return rule.kind === 'own' && own !== null ? laterPosition(last, own) : last
  }

  /** Checks a read; its row is the id of the last write in the log that answered it. */
  checkRead(
    service: string,
    id: string,
    answer: { readonly signature: string; readonly rows: readonly string[] },
    required: LogPosition,
  ): void {
    this.counts.reads += 1
    if (answer.signature !== `read-${id}`)
      this.#report(`answer ${answer.signature} was returned for read ${id}`)
    const [row = 'nothing'] = answer.rows
    const found = row === 'nothing' ? LOG_START : this.#group(service).positionOf(row)
    if (found !== null && isAtOrPast(found, required)) return
    const [at, need] = [found, required].map(each =>
      each === null ? 'an unknown position' : `${String(each.term)}.${String(each.offset)}`,
    )
    this.#report(`read ${id} saw ${String(at)}, but required at least ${String(need)}`)
  }

  /**
   * Checks an unsuccessful statement while only planned operations were in progress. A planned stop
   * or a new configuration must not interrupt a statement, roll back a transaction or leave its
   * outcome unknown. A refusal without effect that can be retried at once is allowed, and the end of a
   * transaction that was idle for as long as the operators allow.
   */
  checkDuringPlannedOperation(
    { host, id, owedMilliseconds, answer, restedMilliseconds }: UnsuccessfulStatement,
    isStopping: boolean,
  ): void {
    const waited = `unanswered for ${owedMilliseconds.toFixed(1)} ms`
    switch (answer.kind) {
      case 'closed':
        if (isStopping)
          this.#report(`${host} closed the connection of ${id} during a planned stop, ${waited}`)
        return
      case 'unknown':
        this.#report(
          `${host} reported an unknown outcome of ${id}, "${answer.detail}", during planned operations, ${waited}`,
        )
        return
      case 'notRun':
        if (!answer.isRolledBack || restedMilliseconds >= IDLE_TRANSACTION_MILLISECONDS) return
        this.#report(
          `${host} rolled ${id} back during planned operations: "${answer.detail}", ${waited}`,
        )
    }
  }

  /** From what callers saw up to now. */
  get failoverGaps(): FailoverGaps {
    const writes = [...this.#acknowledged].map(
      ([service, known]) =>
        [
          service,
          known.map(({ at, newestPosition }) => ({ at, term: newestPosition.term })),
        ] as const,
    )
    return failoverGapsOf(new Map(writes))
  }

  addFinding(finding: string): void {
    this.#report(finding)
  }

  /** Checks the final log of each primary and returns all findings. */
  finish(): readonly string[] {
    const held = new Set<string>()
    for (const group of this.#groups.values()) {
      this.findings.push(...group.violations)
      for (const id of group.duplicateWrites) this.#report(`write ${id} was applied twice`)
      for (const { id } of group.currentPrimary?.log ?? []) held.add(id)
      if (group.currentPrimary === null)
        this.#report(`${group.service} has no primary at the end of the run`)
    }
    for (const id of this.#acknowledgedIds.keys()) {
      if (!held.has(id)) this.#report(`acknowledged write ${id} is lost`)
    }
    for (const id of this.#notAppliedIds.keys()) {
      if (held.has(id))
        this.#report(`write ${id} was applied, although it was refused or never committed`)
    }
    for (const id of held) if (!this.#sentIds.has(id)) this.#report(`no caller sent write ${id}`)
    return this.findings
  }

  #group(service: string): MemoryGroup {
    const group = this.#groups.get(service)
    if (group === undefined) throw new Error(`unknown service ${service}`)
    return group
  }

  #report(finding: string): void {
    this.findings.push(finding)
  }
}

/** What a read of a route must see. */
export function readRuleOf(guarantee: Guarantee): ReadRule {
  switch (guarantee) {
    case 'latest':
      return { kind: 'latest' }
    case 'bounded':
    case 'own':
      return { kind: guarantee, ageMilliseconds: BOUNDED_AGE_MILLISECONDS }
  }
}
