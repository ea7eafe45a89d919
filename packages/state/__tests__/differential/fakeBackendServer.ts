/** An in-memory backend server with a log, a fence and a role, as the platform's control statements define them. */
import { logPosition, term, type LogPosition } from '@nutmegcourse/shared'
import type { PositionReport } from '@nutmegcourse/protocol'

interface LogRecord {
  readonly term: number
  /** Null for the record that opens a term. */
  readonly write: string | null
}

export class FakeBackendServer {
  readonly name: string
  isAlive = true
  /** It receives no records from its primary for the time being. */
  isLagging = false
  #log: LogRecord[] = []
  #fencedTerm = 0
  #ledTerm: number | null = null
  #followedTerm: number | null = null
  /** Incremented when callers' connections are closed; connections of earlier incarnations are broken. */
  incarnation = 0

  constructor(name: string) {
    this.name = name
  }

  get position(): LogPosition {
    return logPosition(this.#log.at(-1)?.term ?? 0, this.#log.length)
  }

  get report(): PositionReport {
    const role = this.#ledTerm === null ? 'replica' : 'primary'
    return { role, position: this.position, fencedTerm: term(this.#fencedTerm) }
  }

  get writes(): readonly string[] {
    return this.#log.flatMap(({ write }) => (write === null ? [] : [write]))
  }

  get ledTerm(): number | null {
    return this.#ledTerm
  }

  get followedTerm(): number | null {
    return this.#followedTerm
  }

  get canWrite(): boolean {
    return this.#ledTerm !== null && this.#fencedTerm <= this.#ledTerm
  }

  /** Returns false if the server may not write; then nothing of the write ran. */
  run(write: string): boolean {
    if (this.#ledTerm === null || !this.canWrite) return false
    this.#log.push({ term: this.#ledTerm, write })
    return true
  }

  fence(newTerm: number): boolean {
    if (newTerm < this.#fencedTerm) return false
    this.#fencedTerm = newTerm
    if (this.#ledTerm !== null && this.#ledTerm < newTerm) this.incarnation += 1
    return true
  }

  promote(newTerm: number): boolean {
    if (this.#fencedTerm !== newTerm || this.#ledTerm === newTerm) return false
    this.#ledTerm = newTerm
    this.#followedTerm = null
    this.#log.push({ term: newTerm, write: null })
    return true
  }

  /** Becomes a replica of `primary` and discards the records that it lacks. */
  follow(primary: FakeBackendServer): boolean {
    const led = primary.ledTerm
    if (led === null || led < this.#fencedTerm || primary === this) return false
    this.#fencedTerm = led
    this.#ledTerm = null
    this.#followedTerm = led
    this.incarnation += 1
    const firstDifference = this.#log.findIndex(
      (record, index) => !isSameRecord(record, primary.#log[index]),
    )
    if (firstDifference >= 0) this.#log.length = firstDifference
    return true
  }

  /** Copies up to `maxRecords` further records. */
  replicateFrom(primary: FakeBackendServer, maxRecords: number): void {
    const led = primary.ledTerm
    if (this.#followedTerm !== led || led === null || this.#fencedTerm > led) return
    if (this.isLagging) return
    this.#log.push(...primary.#log.slice(this.#log.length, this.#log.length + maxRecords))
  }
}

function isSameRecord(left: LogRecord, right: LogRecord | undefined): boolean {
  return left.term === right?.term && left.write === right.write
}
