/**
 * Checks the promises to callers from what callers were told and what the backend servers hold. A
 * finding is one sentence; an empty list is a run that kept its word.
 */
import { isAtOrPast, laterPosition, logPosition, type LogPosition } from '@nutmegcourse/shared'
import type { MemoryGroup } from '@nutmegcourse/stand-ins'
import type { ToldStatement } from './soakCaller.js'

export type ReadRule =
  | { readonly kind: 'latest' }
  | { readonly kind: 'bounded'; readonly age: number }
  | { readonly kind: 'own'; readonly age: number }

interface Acknowledged {
  readonly at: number
  /** The newest of all acknowledged by then. */
  readonly newest: LogPosition
}

const START = logPosition(1, 0)

export class PromiseJudge {
  readonly findings: string[] = []
  readonly #groups: ReadonlyMap<string, MemoryGroup>
  readonly #acknowledged = new Map<string, Acknowledged[]>()
  readonly #acknowledgedIds = new Map<string, string>()
  readonly #refusedIds = new Map<string, string>()
  readonly #sentIds = new Set<string>()
  readonly counts = { acknowledged: 0, reads: 0, notRun: 0, unknown: 0, closed: 0 }

  constructor(groups: readonly MemoryGroup[]) {
    this.#groups = new Map(groups.map(group => [group.service, group]))
  }

  sent(id: string): void {
    this.#sentIds.add(id)
  }

  /** The caller was told that these writes are kept, together. Returns where they stand. */
  acknowledged(service: string, ids: readonly string[], signature: string): LogPosition | null {
    const expected = `commit-${ids.join('+')}`
    if (signature !== expected) this.#find(`${signature} answered the commit of ${ids.join(', ')}`)
    for (const id of ids) this.#acknowledgedIds.set(id, service)
    this.counts.acknowledged += ids.length
    const [first] = ids
    const position = first === undefined ? null : this.#group(service).positionOf(first)
    if (position === null) {
      this.#find(`${ids.join(', ')} acknowledged, but no server ran it`)
      return null
    }
    const known = this.#acknowledged.get(service) ?? []
    const newest = laterPosition(known.at(-1)?.newest ?? START, position)
    known.push({ at: performance.now(), newest })
    this.#acknowledged.set(service, known)
    return position
  }

  /** The caller was told that nothing is kept, or never asked for it to be kept. */
  notKept(service: string, ids: readonly string[]): void {
    for (const id of ids) this.#refusedIds.set(id, service)
  }

  /** What a read that is sent now must see. */
  required(service: string, rule: ReadRule, own: LogPosition | null): LogPosition {
    const now = performance.now()
    const known = this.#acknowledged.get(service) ?? []
    if (rule.kind === 'latest') return known.at(-1)?.newest ?? START
    const last = known.findLast(({ at }) => at <= now - rule.age)?.newest ?? START
    return rule.kind === 'own' && own !== null ? laterPosition(last, own) : last
  }

  /** A read was answered from a log that ends with the write `row`. */
  readAnswered(
    service: string,
    id: string,
    answer: { readonly signature: string; readonly rows: readonly string[] },
    required: LogPosition,
  ): void {
    this.counts.reads += 1
    if (answer.signature !== `read-${id}`) this.#find(`${answer.signature} answered read ${id}`)
    const [row = 'nothing'] = answer.rows
    const found = row === 'nothing' ? START : this.#group(service).positionOf(row)
    if (found !== null && isAtOrPast(found, required)) return
    const [at, need] = [found, required].map(each =>
      each === null ? 'nowhere' : `${String(each.term)}.${String(each.offset)}`,
    )
    this.#find(`read ${id} saw ${String(at)}, and had to see ${String(need)}`)
  }

  /**
   * What a caller was told while nothing but planned work went on. A stop and a new configuration are
   * no reason to cut a statement, to roll back a transaction or not to know what became of one; a
   * refusal that leaves nothing behind and can be repeated at once may be.
   */
  toldAmidPlannedWork(
    { host, id, owedMilliseconds, answer }: ToldStatement,
    isStopping: boolean,
  ): void {
    const owed = `owed for ${owedMilliseconds.toFixed(1)} ms`
    switch (answer.kind) {
      case 'closed':
        if (isStopping) this.#find(`${host} stopped as planned and cut ${id}, ${owed}`)
        return
      case 'unknown':
        this.#find(`${host} told ${id} "${answer.detail}" amid planned work, ${owed}`)
        return
      case 'notRun':
        if (!answer.isRolledBack) return
        this.#find(`${host} rolled ${id} back amid planned work: "${answer.detail}", ${owed}`)
    }
  }

  note(finding: string): void {
    this.#find(finding)
  }

  /** What the servers hold in the end. */
  close(): readonly string[] {
    const held = new Set<string>()
    for (const group of this.#groups.values()) {
      this.findings.push(...group.violations)
      for (const id of group.doubled) this.#find(`write ${id} stands twice`)
      for (const { id } of group.leader?.log ?? []) held.add(id)
      if (group.leader === null) this.#find(`${group.service} has no primary in the end`)
    }
    for (const id of this.#acknowledgedIds.keys()) {
      if (!held.has(id)) this.#find(`acknowledged write ${id} is lost`)
    }
    for (const id of this.#refusedIds.keys()) {
      if (held.has(id)) this.#find(`write ${id} is kept, though its caller was told that it is not`)
    }
    for (const id of held) if (!this.#sentIds.has(id)) this.#find(`nobody sent write ${id}`)
    return this.findings
  }

  #group(service: string): MemoryGroup {
    const group = this.#groups.get(service)
    if (group === undefined) throw new Error(`no service ${service}`)
    return group
  }

  #find(finding: string): void {
    this.findings.push(finding)
  }
}
