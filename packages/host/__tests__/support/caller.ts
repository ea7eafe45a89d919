/** An in-process caller of an entry host, connected without a socket. */
import { ok, type Result } from 'neverthrow'
import { digestOfKey, type LogPosition } from '@nutmegcourse/shared'
import {
  statementId,
  type CallerAnswer,
  type CallerEvents,
  type CallerLink,
  type SessionStatus,
  type StatementBody,
} from '@nutmegcourse/protocol'
import type { EntryHost } from '../../src/index.js'

export interface Answered {
  readonly answer: CallerAnswer
  readonly status: SessionStatus
  readonly position: LogPosition | null
}

/** One caller. Statements are given as `begin`, `read x`, `write x`, `commit` and so on. */
export class Caller implements CallerLink {
  readonly #host: EntryHost
  #events: CallerEvents | null = null
  #waiting: ((answered: Answered) => void) | null = null
  #welcomed: ((outcome: string) => void) | null = null
  #lastId = 0
  isClosed = false

  constructor(host: EntryHost) {
    this.#host = host
  }

  connect(database: string, key = 'test'): Promise<string> {
    this.#host.admit(this)
    return new Promise(resolve => {
      this.#welcomed = resolve
      this.#events?.started(database, digestOfKey(key))
    })
  }

  run(text: string, id = this.#nextId()): Promise<Answered> {
    return new Promise(resolve => {
      this.#waiting = resolve
      this.#events?.statement({ id: statementId(id), text: textOf(text), body: bodyOf(text) })
    })
  }

  /** Runs a statement and resolves with its outcome: `done`, or the refusal. */
  async outcomeOf(text: string, id?: string): Promise<string> {
    const { answer } = await this.run(text, id)
    return answer.kind === 'refused' ? answer.refusal : 'done'
  }

  disconnect(): void {
    this.isClosed = true
    this.#events?.ended()
  }

  listen(events: CallerEvents): void {
    this.#events = events
  }

  answer(
    answer: CallerAnswer,
    status: SessionStatus,
    position: LogPosition | null,
  ): Result<void, string> {
    const settle = this.#waiting
    this.#waiting = null
    settle?.({ answer, status, position })
    return ok(undefined)
  }

  acceptSession(): void {
    this.#welcomed?.('welcome')
  }

  reject(refusal: string): void {
    this.#welcomed?.(refusal)
    this.isClosed = true
  }

  #nextId(): string {
    this.#lastId += 1
    statementCount += 1
    return `s${String(statementCount)}-${String(this.#lastId)}`
  }
}

let statementCount = 0

const textOf = (text: string): string => text.toUpperCase()

function bodyOf(text: string): StatementBody {
  const [word = '', name = '', value = ''] = text.split(' ')
  switch (word) {
    case 'begin':
      return { kind: 'begin', readOnly: name === 'read' }
    case 'commit':
    case 'rollback':
    case 'read':
    case 'write':
      return { kind: word }
    case 'set':
      return { kind: 'set', name, value }
    case 'prepare':
      return { kind: 'prepare', name, effect: value === 'write' ? 'write' : 'read', shape: 'q' }
    case 'execute':
      return { kind: 'execute', name, argument: value }
    default:
      return { kind: 'malformed', detail: text }
  }
}
