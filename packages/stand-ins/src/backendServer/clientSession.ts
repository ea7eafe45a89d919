/** A PostgreSQL session after startup: processes messages and answers them in order. */
import { once } from 'node:events'
import type { Socket } from 'node:net'
import { assertNever } from '@nutmegcourse/shared'
import { parseStatement, type ParsedStatement, type Statement } from './statements.js'
import { splitStatements, withoutComments } from './statementText.js'
import type { Answer, StatementRunner } from './statementRunner.js'
import * as frames from './wire/backendFrames.js'
import type { Column, SqlError } from './wire/backendFrames.js'
import type { FrontendMessage } from './wire/frontendMessages.js'

const FLUSH_BYTES = 64 * 1024

interface Portal {
  /** Null for an empty statement text. */
  readonly statement: Statement | null
  readonly columns: readonly Column[] | null
}

export class ClientSession {
  readonly #socket: Socket
  readonly #runner: StatementRunner
  readonly #statements = new Map<string, ParsedStatement | null>()
  readonly #portals = new Map<string, Portal>()
  readonly #inbox: FrontendMessage[] = []
  #unsent: Buffer[] = []
  #unsentBytes = 0
  #isProcessing = false
  #skipToSync = false

  constructor(socket: Socket, runner: StatementRunner) {
    this.#socket = socket
    this.#runner = runner
  }

  receive(messages: readonly FrontendMessage[]): void {
    this.#inbox.push(...messages)
    if (!this.#isProcessing) this.#processMessages().catch(() => this.#socket.destroy())
  }

  async #processMessages(): Promise<void> {
    this.#isProcessing = true
    for (let next = this.#inbox.shift(); next !== undefined; next = this.#inbox.shift()) {
      if (this.#runner.terminated) return
      await this.#handle(next)
    }
    this.#isProcessing = false
  }

  async #handle(message: FrontendMessage): Promise<void> {
    if (this.#skipToSync && message.kind !== 'sync' && message.kind !== 'terminate') return
    switch (message.kind) {
      case 'query':
        await this.#simpleQuery(message.text)
        return
      case 'parse':
        this.#parse(message.name, message.text)
        return
      case 'bind':
        this.#bind(message.portal, message.statement, message.values)
        return
      case 'describe':
        this.#describe(message)
        return
      case 'execute':
        await this.#execute(message.portal)
        return
      case 'close':
        if (message.target === 'statement') this.#statements.delete(message.name)
        else this.#portals.delete(message.name)
        this.#queueFrame(frames.closeComplete())
        return
      case 'sync':
        this.#skipToSync = false
        this.#sendReady()
        return
      case 'flush':
        this.#flush()
        return
      case 'terminate':
        this.#socket.end()
        return
      case 'unsupported':
        this.#extendedError({
          code: '0A000',
          message: `message type ${message.type} not supported`,
        })
        return
      case 'startup':
      case 'encryptionRequest':
      case 'cancelRequest':
        this.#socket.destroy()
        return
      default:
        assertNever(message)
    }
  }

  async #simpleQuery(text: string): Promise<void> {
    const statements = splitStatements(text)
    if (statements.length === 0) this.#queueFrame(frames.emptyQueryResponse())
    if (statements.length > 1) this.#runner.beginImplicit()
    let failed = false
    for (const statement of statements) {
      failed = !(await this.#runSimple(statement))
      if (failed) break
    }
    if (statements.length > 1 && !failed) {
      this.#runner.commitImplicit().mapErr(error => {
        this.#queueFrame(frames.errorResponse(error))
      })
    }
    this.#sendReady()
  }

  async #runSimple(text: string): Promise<boolean> {
    const parsed = parseStatement(text)
    if (parsed === null) {
      this.#runner.fail()
      this.#queueFrame(frames.errorResponse(unknownStatement(text)))
      return false
    }
    const outcome = await this.#runner.run(parsed.bind([]))
    if (outcome.isErr()) {
      this.#queueFrame(frames.errorResponse(outcome.error))
      return false
    }
    if (parsed.columns !== null) this.#queueFrame(frames.rowDescription(parsed.columns))
    await this.#sendAnswer(outcome.value)
    return true
  }

  #parse(name: string, text: string): void {
    const empty = withoutComments(text) === ''
    const parsed = empty ? null : parseStatement(text)
    if (parsed === null && !empty) {
      this.#extendedError(unknownStatement(text))
      return
    }
    if (name !== '' && this.#statements.has(name)) {
      this.#extendedError({ code: '42P05', message: `prepared statement "${name}" already exists` })
      return
    }
    this.#statements.set(name, parsed)
    this.#queueFrame(frames.parseComplete())
  }

  #bind(portal: string, name: string, values: readonly (string | null)[]): void {
    const parsed = this.#statements.get(name)
    if (parsed === undefined) {
      this.#extendedError(unknownPreparedStatement(name))
      return
    }
    const expectedCount = parsed?.parameterCount ?? 0
    if (values.length !== expectedCount) {
      const message = `bind message supplies ${values.length} parameters, but ${expectedCount} are required`
      this.#extendedError({ code: '08P01', message })
      return
    }
    this.#portals.set(portal, {
      statement: parsed?.bind(values) ?? null,
      columns: parsed?.columns ?? null,
    })
    this.#queueFrame(frames.bindComplete())
  }

  #describe(message: Extract<FrontendMessage, { kind: 'describe' }>): void {
    const found =
      message.target === 'statement'
        ? this.#statements.get(message.name)
        : this.#portals.get(message.name)
    if (found === undefined) {
      this.#extendedError(unknownPreparedStatement(message.name))
      return
    }
    if (message.target === 'statement') {
      const count = this.#statements.get(message.name)?.parameterCount ?? 0
      this.#queueFrame(frames.parameterDescription(count))
    }
    const columns = found?.columns ?? null
    this.#queueFrame(columns === null ? frames.noData() : frames.rowDescription(columns))
  }

  /** Ignores the row limit of Execute: all rows are sent at once. */
  async #execute(name: string): Promise<void> {
    const portal = this.#portals.get(name)
    if (portal === undefined) {
      this.#extendedError({ code: '34000', message: `portal "${name}" does not exist` })
      return
    }
    if (portal.statement === null) {
      this.#queueFrame(frames.emptyQueryResponse())
      return
    }
    const outcome = await this.#runner.run(portal.statement)
    if (outcome.isErr()) {
      this.#skipToSync = true
      this.#queueFrame(frames.errorResponse(outcome.error))
      return
    }
    await this.#sendAnswer(outcome.value)
    this.#dropDiscardedStatements(portal.statement)
  }

  #dropDiscardedStatements(statement: Statement): void {
    if (statement.kind === 'discardAll') this.#statements.clear()
    if (statement.kind !== 'deallocate') return
    if (statement.name === null) this.#statements.clear()
    else this.#statements.delete(statement.name)
  }

  async #sendAnswer(answer: Answer): Promise<void> {
    let count = 0
    for (const row of answer.rows) {
      count += 1
      this.#queueFrame(frames.dataRow(row))
      if (this.#unsentBytes < FLUSH_BYTES) continue
      this.#flush()
      if (this.#socket.writableNeedDrain) await this.#waitForDrain()
      if (this.#socket.destroyed) return
    }
    this.#queueFrame(frames.commandComplete(answer.tag(count)))
  }

  /** Waits until the socket drains or closes. */
  async #waitForDrain(): Promise<void> {
    const abortOnClose = new AbortController()
    const closed = (): void => {
      abortOnClose.abort()
    }
    this.#socket.once('close', closed)
    await once(this.#socket, 'drain', { signal: abortOnClose.signal }).catch(() => undefined)
    this.#socket.off('close', closed)
  }

  #extendedError(error: SqlError): void {
    this.#runner.fail()
    this.#skipToSync = true
    this.#queueFrame(frames.errorResponse(error))
  }

  #sendReady(): void {
    this.#queueFrame(frames.readyForQuery(this.#runner.status))
    this.#flush()
  }

  #queueFrame(frame: Buffer): void {
    this.#unsent.push(frame)
    this.#unsentBytes += frame.length
  }

  #flush(): void {
    if (this.#unsent.length > 0 && !this.#socket.destroyed) {
      this.#socket.write(Buffer.concat(this.#unsent))
    }
    this.#unsent = []
    this.#unsentBytes = 0
  }
}

const unknownStatement = (text: string): SqlError => ({
  code: '42601',
  message: `the stand-in does not know this statement: ${text.slice(0, 80)}`,
})
const unknownPreparedStatement = (name: string): SqlError => ({
  code: '26000',
  message: `prepared statement "${name}" does not exist`,
})
