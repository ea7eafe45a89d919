/** Extended-protocol messages of a request, with statement names resolved per caller and connection. */
import {
  CallerMessage,
  FRAME_HEADER_BYTES,
  closeMessage,
  parseMessage,
  readText,
} from '@nutmegcourse/protocol'
import { assertNever } from '@nutmegcourse/shared'
import type { ConnectionStatements } from './connectionStatements.js'
import type { CallerStatements, PreparedStatement } from './statementCatalog.js'

export type RequestStep =
  /** Sent unchanged. */
  | { readonly kind: 'asIs'; readonly frame: Buffer }
  | {
      readonly kind: 'parse'
      readonly name: string
      readonly statement: PreparedStatement
      readonly frame: Buffer
    }
  /** Bind or Describe of a statement; `statement` is null if the caller has not prepared it. */
  | {
      readonly kind: 'use'
      readonly statement: PreparedStatement | null
      readonly frame: Buffer
      readonly nameStart: number
      readonly nameEnd: number
    }
  | { readonly kind: 'closeStatement' }

/** An expected ParseComplete of the server, which is not forwarded if `hidden`. */
export interface ParseSlot {
  readonly hidden: boolean
  readonly statement: PreparedStatement
  /** The caller's name of the statement; null if the proxy sent the Parse by itself. */
  readonly callerName: string | null
}

/** How an expected CloseComplete of the server is passed to the caller. */
export type CloseSlot = 'forward' | 'discard' | 'asParseComplete'

/** Expected answers on one connection, in the server's order. */
export interface AnswerSlots {
  readonly parses: ParseSlot[]
  readonly closes: CloseSlot[]
}

/** Null when the frame is malformed. */
export function readStep(frame: Buffer, statements: CallerStatements): RequestStep | null {
  switch (frame[0] ?? 0) {
    case CallerMessage.parse:
      return readParse(frame, statements)
    case CallerMessage.bind: {
      const portal = readText(frame, FRAME_HEADER_BYTES)
      return portal === null ? null : readUse(frame, portal.end, statements)
    }
    case CallerMessage.describe:
      return targetsStatement(frame)
        ? readUse(frame, FRAME_HEADER_BYTES + 1, statements)
        : asIsWithText(frame, FRAME_HEADER_BYTES + 1)
    case CallerMessage.close:
      return readClose(frame, statements)
    case CallerMessage.execute:
      return asIsWithText(frame, FRAME_HEADER_BYTES)
    default:
      return { kind: 'asIs', frame }
  }
}

const STATEMENT_KIND = 0x53

const targetsStatement = (frame: Buffer): boolean => frame[FRAME_HEADER_BYTES] === STATEMENT_KIND

function asIsWithText(frame: Buffer, start: number): RequestStep | null {
  return readText(frame, start) === null ? null : { kind: 'asIs', frame }
}

function readParse(frame: Buffer, statements: CallerStatements): RequestStep | null {
  const name = readText(frame, FRAME_HEADER_BYTES)
  if (name === null || readText(frame, name.end) === null) return null
  const statement = statements.define(name.text, frame.subarray(name.end))
  return { kind: 'parse', name: name.text, statement, frame }
}

function readUse(
  frame: Buffer,
  nameStart: number,
  statements: CallerStatements,
): RequestStep | null {
  const name = readText(frame, nameStart)
  if (name === null) return null
  const statement = statements.find(name.text)
  return { kind: 'use', statement, frame, nameStart, nameEnd: name.end }
}

function readClose(frame: Buffer, statements: CallerStatements): RequestStep | null {
  const name = readText(frame, FRAME_HEADER_BYTES + 1)
  if (name === null) return null
  if (!targetsStatement(frame)) return { kind: 'asIs', frame }
  statements.remove(name.text)
  return { kind: 'closeStatement' }
}

/** Closes a portal that never exists, which always succeeds and changes nothing. */
const CLOSE_MISSING_PORTAL = closeMessage('portal', 'nutmegcourse_nothing')
/** The proxy never uses this name, so the server answers with the expected SQLSTATE 26000. */
const UNKNOWN_STATEMENT = Buffer.from('unknown statement\0', 'latin1')

/** Encodes the steps of one request for the connection that it runs on. */
export class StepEncoder {
  readonly #statements: ConnectionStatements
  readonly #slots: AnswerSlots
  /** The connection's unnamed statement, if this request has prepared it. */
  #unnamed: PreparedStatement | null = null

  constructor(statements: ConnectionStatements, slots: AnswerSlots) {
    this.#statements = statements
    this.#slots = slots
  }

  encode(step: RequestStep, output: Buffer[]): void {
    switch (step.kind) {
      case 'asIs':
        this.#expectClose(step.frame)
        output.push(step.frame)
        return
      case 'parse':
        this.#encodeParse(step, output)
        return
      case 'use':
        this.#encodeUse(step, output)
        return
      case 'closeStatement':
        // The connection keeps the statement for other callers; the caller's name is already removed.
        this.#slots.closes.push('forward')
        output.push(CLOSE_MISSING_PORTAL)
        return
      default:
        assertNever(step)
    }
  }

  #expectClose(frame: Buffer): void {
    if (frame[0] === CallerMessage.close) this.#slots.closes.push('forward')
  }

  #encodeParse(step: Extract<RequestStep, { kind: 'parse' }>, output: Buffer[]): void {
    const { statement } = step
    const slot: ParseSlot = { hidden: false, statement, callerName: step.name }
    if (statement.serverName === '') {
      this.#unnamed = statement
      this.#slots.parses.push(slot)
      output.push(step.frame)
      return
    }
    if (this.#statements.touch(statement.serverName)) {
      // The CloseComplete arrives in the right position and is converted to a ParseComplete.
      this.#slots.closes.push('asParseComplete')
      output.push(CLOSE_MISSING_PORTAL)
      return
    }
    this.#prepare(slot, output)
  }

  #encodeUse(step: Extract<RequestStep, { kind: 'use' }>, output: Buffer[]): void {
    const { statement, frame } = step
    if (statement === null) {
      output.push(withStatementName(step, UNKNOWN_STATEMENT))
      return
    }
    if (statement.serverName === '') {
      if (this.#unnamed !== statement) this.#prepareUnnamed(statement, output)
      output.push(frame)
      return
    }
    if (!this.#statements.touch(statement.serverName)) {
      this.#prepare({ hidden: true, statement, callerName: null }, output)
    }
    output.push(withStatementName(step, Buffer.from(`${statement.serverName}\0`, 'latin1')))
  }

  #prepareUnnamed(statement: PreparedStatement, output: Buffer[]): void {
    this.#unnamed = statement
    this.#slots.parses.push({ hidden: true, statement, callerName: null })
    output.push(parseMessage('', statement.body))
  }

  #prepare(slot: ParseSlot, output: Buffer[]): void {
    const { serverName, body } = slot.statement
    this.#statements.add(serverName)
    for (const evicted of this.#statements.evictOverLimit()) {
      this.#slots.closes.push('discard')
      output.push(closeMessage('statement', evicted))
    }
    this.#slots.parses.push(slot)
    output.push(parseMessage(serverName, body))
  }
}

/** Returns the frame with another statement name and the adjusted length. */
function withStatementName(step: Extract<RequestStep, { kind: 'use' }>, name: Buffer): Buffer {
  const { frame, nameStart, nameEnd } = step
  const renamed = Buffer.allocUnsafe(frame.length - (nameEnd - nameStart) + name.length)
  frame.copy(renamed, 0, 0, nameStart)
  name.copy(renamed, nameStart)
  frame.copy(renamed, nameStart + name.length, nameEnd)
  renamed.writeInt32BE(renamed.length - 1, 1)
  return renamed
}
