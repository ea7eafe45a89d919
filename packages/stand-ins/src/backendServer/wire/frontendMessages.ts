/** Decodes the messages that a PostgreSQL client sends (protocol 3.0) from a byte stream. */

export type PreparedTarget = 'statement' | 'portal'

export type FrontendMessage =
  /** SSLRequest or GSSENCRequest: answered with one byte. */
  | { readonly kind: 'encryptionRequest' }
  | { readonly kind: 'cancelRequest'; readonly processId: number; readonly secretKey: number }
  | { readonly kind: 'startup'; readonly parameters: ReadonlyMap<string, string> }
  | { readonly kind: 'query'; readonly text: string }
  | { readonly kind: 'parse'; readonly name: string; readonly text: string }
  | {
      readonly kind: 'bind'
      readonly portal: string
      readonly statement: string
      readonly values: readonly (string | null)[]
    }
  | { readonly kind: 'describe'; readonly target: PreparedTarget; readonly name: string }
  | { readonly kind: 'execute'; readonly portal: string }
  | { readonly kind: 'close'; readonly target: PreparedTarget; readonly name: string }
  | { readonly kind: 'sync' }
  | { readonly kind: 'flush' }
  | { readonly kind: 'terminate' }
  | { readonly kind: 'unsupported'; readonly type: string }

const PROTOCOL_VERSION = 196608
const CANCEL_CODE = 80877102
const ENCRYPTION_CODES: readonly number[] = [80877103, 80877104]
const LENGTH_BYTES = 4
const HEADER_BYTES = 5
const MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024

/** The bytes are not a valid PostgreSQL message; the connection cannot continue. */
export class MalformedMessage extends Error {}

export class FrontendReader {
  #buffer: Buffer = Buffer.alloc(0)
  #started = false

  /** Adds received bytes and returns every message that is now complete. */
  push(chunk: Buffer): readonly FrontendMessage[] {
    this.#buffer = this.#buffer.length === 0 ? chunk : Buffer.concat([this.#buffer, chunk])
    const messages: FrontendMessage[] = []
    for (let next = this.#takeMessage(); next !== null; next = this.#takeMessage())
      messages.push(next)
    return messages
  }

  #takeMessage(): FrontendMessage | null {
    const prefix = this.#started ? HEADER_BYTES : LENGTH_BYTES
    if (this.#buffer.length < prefix) return null
    const length = this.#buffer.readInt32BE(prefix - LENGTH_BYTES)
    if (length < LENGTH_BYTES || length > MAXIMUM_MESSAGE_BYTES) {
      throw new MalformedMessage(`message length ${length}`)
    }
    const end = prefix - LENGTH_BYTES + length
    if (this.#buffer.length < end) return null
    const type = this.#started ? String.fromCharCode(this.#buffer[0] ?? 0) : null
    const body = new BodyReader(this.#buffer.subarray(prefix, end))
    this.#buffer = this.#buffer.subarray(end)
    if (type !== null) return readMessage(type, body)
    const message = readStartup(body)
    this.#started = message.kind === 'startup'
    return message
  }
}

class BodyReader {
  readonly #body: Buffer
  #offset = 0

  constructor(body: Buffer) {
    this.#body = body
  }

  get done(): boolean {
    return this.#offset >= this.#body.length
  }

  int16(): number {
    return this.bytes(2).readInt16BE()
  }

  int32(): number {
    return this.bytes(4).readInt32BE()
  }

  bytes(count: number): Buffer {
    if (this.#offset + count > this.#body.length) throw new MalformedMessage('message too short')
    this.#offset += count
    return this.#body.subarray(this.#offset - count, this.#offset)
  }

  text(): string {
    const end = this.#body.indexOf(0, this.#offset)
    if (end < 0) throw new MalformedMessage('text without its end')
    const text = this.#body.toString('utf8', this.#offset, end)
    this.#offset = end + 1
    return text
  }
}

function readStartup(body: BodyReader): FrontendMessage {
  const code = body.int32()
  if (ENCRYPTION_CODES.includes(code)) return { kind: 'encryptionRequest' }
  if (code === CANCEL_CODE) {
    return { kind: 'cancelRequest', processId: body.int32(), secretKey: body.int32() }
  }
  if (code !== PROTOCOL_VERSION) throw new MalformedMessage(`protocol version ${code}`)
  const parameters = new Map<string, string>()
  for (let name = body.text(); name !== ''; name = body.done ? '' : body.text()) {
    parameters.set(name, body.text())
  }
  return { kind: 'startup', parameters }
}

function readMessage(type: string, body: BodyReader): FrontendMessage {
  switch (type) {
    case 'Q':
      return { kind: 'query', text: body.text() }
    case 'P':
      return { kind: 'parse', name: body.text(), text: body.text() }
    case 'B':
      return readBind(body)
    case 'D':
      return { kind: 'describe', target: readTarget(body), name: body.text() }
    case 'E':
      return { kind: 'execute', portal: body.text() }
    case 'C':
      return { kind: 'close', target: readTarget(body), name: body.text() }
    case 'S':
      return { kind: 'sync' }
    case 'H':
      return { kind: 'flush' }
    case 'X':
      return { kind: 'terminate' }
    default:
      return { kind: 'unsupported', type }
  }
}

function readTarget(body: BodyReader): PreparedTarget {
  return body.bytes(1).toString() === 'S' ? 'statement' : 'portal'
}

/** Ignores the format codes: values in binary format are also read as text. */
function readBind(body: BodyReader): FrontendMessage {
  const portal = body.text()
  const statement = body.text()
  const formats = body.int16()
  body.bytes(2 * formats)
  const values: (string | null)[] = []
  for (let remaining = body.int16(); remaining > 0; remaining -= 1) {
    const length = body.int32()
    values.push(length < 0 ? null : body.bytes(length).toString('utf8'))
  }
  return { kind: 'bind', portal, statement, values }
}
