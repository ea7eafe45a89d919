/** The log of one backend server, persisted in a file so that it survives a process restart. */
import { closeSync, existsSync, openSync, readFileSync, writeSync } from 'node:fs'
import { logOffset, LOG_START, term, type LogPosition, type Term } from '@nutmegcourse/shared'
import type { LogRecord, TermRun } from './logRecord.js'

type JournalLine =
  { readonly record: LogRecord } | { readonly truncateTo: number } | { readonly fencedTerm: number }

/**
 * Each change is written to the file before it becomes visible, so a killed process loses no visible
 * change. A power failure could lose some, because the file is not synced to disk.
 */
export class ReplicatedLog {
  readonly #file: number | null
  readonly #records: LogRecord[] = []
  readonly restored: boolean
  #fencedTerm = term(0)

  /** With a null `path`, the log is kept in memory only. */
  constructor(path: string | null) {
    this.restored = path !== null && existsSync(path)
    if (path !== null && this.restored) this.#restore(readFileSync(path, 'utf8'))
    this.#file = path === null ? null : openSync(path, 'a')
  }

  get fencedTerm(): Term {
    return this.#fencedTerm
  }

  get length(): number {
    return this.#records.length
  }

  get position(): LogPosition {
    const last = this.#records.at(-1)
    if (last === undefined) return LOG_START
    return { term: last.term, offset: logOffset(this.#records.length) }
  }

  records(from: number, count = Number.POSITIVE_INFINITY): readonly LogRecord[] {
    return this.#records.slice(from, from + count)
  }

  append(record: LogRecord): void {
    this.#journal({ record })
    this.#records.push(record)
  }

  truncateTo(offset: number): void {
    this.#journal({ truncateTo: offset })
    this.#records.length = offset
  }

  fence(fenced: Term): void {
    this.#journal({ fencedTerm: fenced })
    this.#fencedTerm = fenced
  }

  /** The last offset of each term, oldest term first. */
  termRuns(): readonly TermRun[] {
    const runs: TermRun[] = []
    this.#records.forEach((record, index) => {
      if (runs.at(-1)?.term === record.term) runs.pop()
      runs.push({ term: record.term, lastOffset: index + 1 })
    })
    return runs
  }

  close(): void {
    if (this.#file !== null) closeSync(this.#file)
  }

  #journal(line: JournalLine): void {
    if (this.#file !== null) writeSync(this.#file, `${JSON.stringify(line)}\n`)
  }

  /** Skips an incomplete last line: the process was killed before the change became visible. */
  #restore(text: string): void {
    for (const line of text.split('\n').slice(0, -1)) {
      const entry = JSON.parse(line) as JournalLine
      if ('record' in entry) this.#records.push(entry.record)
      else if ('truncateTo' in entry) this.#records.length = entry.truncateTo
      else this.#fencedTerm = term(entry.fencedTerm)
    }
  }
}

/**
 * The offset up to which two logs are identical. A term has one primary, which only appends; two
 * logs that both hold a record of the same term at an offset therefore agree up to that offset.
 */
export function commonOffset(left: readonly TermRun[], right: readonly TermRun[]): number {
  const rightEnds = new Map(right.map(run => [run.term, run.lastOffset]))
  const shared = left.flatMap(run => {
    const end = rightEnds.get(run.term)
    return end === undefined ? [] : [Math.min(run.lastOffset, end)]
  })
  return Math.max(0, ...shared)
}
