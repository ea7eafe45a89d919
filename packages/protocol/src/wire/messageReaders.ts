/** Reads the message fields that the proxy acts on. Offsets are into a whole frame, header included. */
import { FRAME_HEADER_BYTES, LENGTH_BYTES } from './messageTypes.js'

/** A text and the offset after its terminating zero byte. */
export interface TextField {
  readonly text: string
  readonly end: number
}

/** Null when no zero byte terminates the text before the frame's end. */
export function readText(bytes: Buffer, start: number, end = bytes.length): TextField | null {
  const zero = bytes.indexOf(0, start)
  if (zero < 0 || zero >= end) return null
  return { text: bytes.toString('utf8', start, zero), end: zero + 1 }
}

export type StartupPacket =
  | { readonly kind: 'encryption' }
  | { readonly kind: 'cancel'; readonly processId: number; readonly secret: number }
  | {
      readonly kind: 'startup'
      readonly minorVersion: number
      readonly parameters: ReadonlyMap<string, string>
    }
  | { readonly kind: 'unsupportedVersion'; readonly detail: string }
  | { readonly kind: 'malformed'; readonly detail: string }

const SSL_REQUEST = 80_877_103
const GSS_REQUEST = 80_877_104
const CANCEL_REQUEST = 80_877_102
const MAJOR_VERSION = 3

export function readStartupPacket(packet: Buffer): StartupPacket {
  if (packet.length < 2 * LENGTH_BYTES) {
    return { kind: 'malformed', detail: 'a startup packet without a version' }
  }
  const code = packet.readInt32BE(LENGTH_BYTES)
  if (code === SSL_REQUEST || code === GSS_REQUEST) return { kind: 'encryption' }
  if (code === CANCEL_REQUEST) return readCancel(packet)
  const major = code >>> 16
  if (major !== MAJOR_VERSION) {
    return { kind: 'unsupportedVersion', detail: `protocol ${major}.${code & 0xffff}` }
  }
  return readParameters(packet, code & 0xffff)
}

function readCancel(packet: Buffer): StartupPacket {
  if (packet.length !== 4 * LENGTH_BYTES) {
    return { kind: 'malformed', detail: 'a cancel request of the wrong length' }
  }
  return { kind: 'cancel', processId: packet.readInt32BE(8), secret: packet.readInt32BE(12) }
}

function readParameters(packet: Buffer, minorVersion: number): StartupPacket {
  const parameters = new Map<string, string>()
  let position = 2 * LENGTH_BYTES
  while (position < packet.length && packet[position] !== 0) {
    const name = readText(packet, position)
    const value = name === null ? null : readText(packet, name.end)
    if (name === null || value === null) {
      return { kind: 'malformed', detail: 'a startup parameter without an end' }
    }
    parameters.set(name.text, value.text)
    position = value.end
  }
  if (position !== packet.length - 1) {
    return { kind: 'malformed', detail: 'startup parameters without an end' }
  }
  return { kind: 'startup', minorVersion, parameters }
}

/**
 * The settings of a startup packet's `options`, such as `-c name=value --name=value`.
 * A backslash escapes a space inside a value, as in PostgreSQL.
 */
export function readStartupOptions(options: string): ReadonlyMap<string, string> {
  const words = splitWords(options)
  const settings = new Map<string, string>()
  for (let index = 0; index < words.length; index += 1) {
    const word = words[index] ?? ''
    let setting: string | undefined
    if (word === '-c') {
      index += 1
      setting = words[index]
    } else if (word.startsWith('-c')) setting = word.slice(2)
    else if (word.startsWith('--')) setting = word.slice(2)
    const equals = setting?.indexOf('=') ?? -1
    if (setting === undefined || equals < 1) continue
    settings.set(setting.slice(0, equals), setting.slice(equals + 1))
  }
  return settings
}

function splitWords(options: string): readonly string[] {
  const words = options.match(/(?:\\.|[^\s\\])+/gs) ?? []
  return words.map(word => word.replace(/\\(.)/gs, '$1'))
}

/** The tag of a CommandComplete frame, such as `INSERT 0 1`. */
export function readCommandTag(bytes: Buffer, start: number, end: number): string {
  return bytes.toString('latin1', start + FRAME_HEADER_BYTES, end - 1)
}

export interface ServerError {
  readonly severity: string
  readonly sqlState: string
  readonly message: string
}

/** Fields of an ErrorResponse frame; an absent one is read as empty. */
export function readServerError(bytes: Buffer, start: number, end: number): ServerError {
  const fields = new Map<string, string>()
  let position = start + FRAME_HEADER_BYTES
  while (position < end && bytes[position] !== 0) {
    const letter = String.fromCharCode(bytes[position] ?? 0)
    const field = readText(bytes, position + 1, end)
    if (field === null) break
    fields.set(letter, field.text)
    position = field.end
  }
  return {
    severity: fields.get('V') ?? fields.get('S') ?? '',
    sqlState: fields.get('C') ?? '',
    message: fields.get('M') ?? '',
  }
}

/** The columns of a DataRow frame, as text. */
export function readDataRow(bytes: Buffer, start: number, end: number): (string | null)[] {
  const columns: (string | null)[] = []
  let position = start + FRAME_HEADER_BYTES
  if (position + 2 > end) return columns
  const count = bytes.readInt16BE(position)
  position += 2
  for (let column = 0; column < count && position + LENGTH_BYTES <= end; column += 1) {
    const length = bytes.readInt32BE(position)
    position += LENGTH_BYTES
    if (length < 0) {
      columns.push(null)
      continue
    }
    columns.push(bytes.toString('utf8', position, Math.min(position + length, end)))
    position += length
  }
  return columns
}
