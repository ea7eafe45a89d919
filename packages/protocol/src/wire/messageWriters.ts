/** Builds the messages that a proxy sends itself, to callers and to backend servers. */
import { REASONS, type Refusal } from '@nutmegcourse/shared'
import {
  CallerMessage,
  FRAME_HEADER_BYTES,
  LENGTH_BYTES,
  ServerMessage,
  TransactionStatus,
  type TransactionStatusByte,
} from './messageTypes.js'

const PROTOCOL_3_0 = 196_608
const CANCEL_REQUEST = 80_877_102
const CANCEL_REQUEST_BYTES = 16

function frameOf(type: number, body: Buffer): Buffer {
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + body.length)
  frame[0] = type
  frame.writeInt32BE(LENGTH_BYTES + body.length, 1)
  body.copy(frame, FRAME_HEADER_BYTES)
  return frame
}

const textBody = (...texts: readonly string[]): Buffer =>
  Buffer.from(texts.map(text => `${text.replaceAll('\0', '')}\0`).join(''), 'utf8')

const EMPTY = Buffer.alloc(0)

const readyFrame = (status: TransactionStatusByte): Buffer =>
  frameOf(ServerMessage.readyForQuery, Buffer.from([status]))

const READY_FRAMES: ReadonlyMap<number, Buffer> = new Map(
  Object.values(TransactionStatus).map(status => [status, readyFrame(status)]),
)

/** The refusal of TLS or GSSAPI: a bare letter, not a frame. */
export const ENCRYPTION_REFUSED = Buffer.from('N')

export const PARSE_COMPLETE = frameOf(ServerMessage.parseComplete, EMPTY)
export const BIND_COMPLETE = frameOf(ServerMessage.bindComplete, EMPTY)
export const CLOSE_COMPLETE = frameOf(ServerMessage.closeComplete, EMPTY)
export const NO_DATA = frameOf(ServerMessage.noData, EMPTY)
export const NO_PARAMETERS = frameOf(ServerMessage.parameterDescription, Buffer.from([0, 0]))
export const AUTHENTICATION_OK = frameOf(ServerMessage.authentication, Buffer.alloc(4))

export function readyForQuery(status: TransactionStatusByte): Buffer {
  return READY_FRAMES.get(status) ?? readyFrame(status)
}

export function commandComplete(tag: string): Buffer {
  return frameOf(ServerMessage.commandComplete, textBody(tag))
}

export function parameterStatus(name: string, value: string): Buffer {
  return frameOf(ServerMessage.parameterStatus, textBody(name, value))
}

export function backendKeyData(processId: number, secret: number): Buffer {
  const body = Buffer.alloc(8)
  body.writeInt32BE(processId, 0)
  body.writeInt32BE(secret, 4)
  return frameOf(ServerMessage.backendKeyData, body)
}

/** Informs a client of a newer minor version that minor version 0 is used, and which options are unknown. */
export function negotiateProtocolVersion(unknownOptions: readonly string[]): Buffer {
  const head = Buffer.alloc(8)
  head.writeInt32BE(0, 0)
  head.writeInt32BE(unknownOptions.length, 4)
  return frameOf(
    ServerMessage.negotiateProtocolVersion,
    Buffer.concat([head, textBody(...unknownOptions)]),
  )
}

export interface ErrorFields {
  readonly severity: 'ERROR' | 'FATAL'
  readonly sqlState: string
  readonly message: string
  readonly detail?: string | undefined
  readonly hint?: string | undefined
}

export function errorResponse(fields: ErrorFields): Buffer {
  const texts = [
    `S${fields.severity}`,
    `V${fields.severity}`,
    `C${fields.sqlState}`,
    `M${fields.message}`,
    ...(fields.detail === undefined ? [] : [`D${fields.detail}`]),
    ...(fields.hint === undefined ? [] : [`H${fields.hint}`]),
  ]
  return frameOf(ServerMessage.errorResponse, textBody(...texts, ''))
}

/** A refusal as callers see it: stable reason code, SQLSTATE of the table, time after which to retry. */
export function refusalResponse(
  refusal: Refusal,
  severity: ErrorFields['severity'] = 'ERROR',
): Buffer {
  const entry = REASONS[refusal.reason]
  const wait = refusal.retryAfterMilliseconds
  return errorResponse({
    severity,
    sqlState: entry.sqlState,
    message: `${refusal.reason}: ${entry.message}`,
    detail: refusal.detail,
    hint: wait === undefined ? undefined : `retry-after-milliseconds=${Math.ceil(wait)}`,
  })
}

/** Ends a run of messages; answered with ReadyForQuery alone. */
export const SYNC = frameOf(CallerMessage.sync, Buffer.alloc(0))

export function queryMessage(text: string): Buffer {
  return frameOf(CallerMessage.query, textBody(text))
}

/** `body` is what follows the statement's name: text, and parameter types. */
export function parseMessage(name: string, body: Buffer): Buffer {
  return frameOf(CallerMessage.parse, Buffer.concat([textBody(name), body]))
}

export type CloseTarget = 'statement' | 'portal'

export function closeMessage(target: CloseTarget, name: string): Buffer {
  const letter = target === 'statement' ? 'S' : 'P'
  return frameOf(CallerMessage.close, Buffer.concat([Buffer.from(letter), textBody(name)]))
}

export function startupMessage(parameters: Readonly<Record<string, string>>): Buffer {
  const body = textBody(...Object.entries(parameters).flat(), '')
  const packet = Buffer.alloc(2 * LENGTH_BYTES + body.length)
  packet.writeInt32BE(packet.length, 0)
  packet.writeInt32BE(PROTOCOL_3_0, 4)
  body.copy(packet, 2 * LENGTH_BYTES)
  return packet
}

export function cancelRequest(processId: number, secret: number): Buffer {
  const packet = Buffer.alloc(CANCEL_REQUEST_BYTES)
  packet.writeInt32BE(CANCEL_REQUEST_BYTES, 0)
  packet.writeInt32BE(CANCEL_REQUEST, 4)
  packet.writeInt32BE(processId, 8)
  packet.writeInt32BE(secret, 12)
  return packet
}
