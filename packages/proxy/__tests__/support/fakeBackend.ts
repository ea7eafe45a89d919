/** A fake backend server with a few statements, strict checks of prepared statements and fault injection. */
import type { Server, Socket } from 'node:net'
import {
  AUTHENTICATION_OK,
  BIND_COMPLETE,
  CLOSE_COMPLETE,
  CallerFrames,
  CallerMessage,
  NO_DATA,
  NO_PARAMETERS,
  PARSE_COMPLETE,
  TransactionStatus,
  backendKeyData,
  commandComplete,
  errorResponse,
  parameterStatus,
  readStartupPacket,
  readText,
  readyForQuery,
  type FrameSink,
  type TransactionStatusByte,
} from '@nutmegcourse/protocol'
import { listen } from '@nutmegcourse/transport'

const textField = (text: string): Buffer => {
  const bytes = Buffer.from(text)
  const field = Buffer.alloc(4 + bytes.length)
  field.writeInt32BE(bytes.length, 0)
  bytes.copy(field, 4)
  return field
}

const frame = (type: string, body: Buffer): Buffer => {
  const head = Buffer.alloc(5)
  head.write(type, 0, 'latin1')
  head.writeInt32BE(4 + body.length, 1)
  return Buffer.concat([head, body])
}

const withCount = (count: number, parts: readonly Buffer[]): Buffer => {
  const head = Buffer.alloc(2)
  head.writeInt16BE(count, 0)
  return Buffer.concat([head, ...parts])
}

export const rowDescription = (names: readonly string[]): Buffer => {
  const tail = Buffer.alloc(18)
  tail.writeInt32BE(25, 6)
  tail.writeInt16BE(-1, 10)
  return frame(
    'T',
    withCount(
      names.length,
      names.flatMap(name => [Buffer.from(`${name}\0`), tail]),
    ),
  )
}

export const dataRow = (values: readonly string[]): Buffer =>
  frame('D', withCount(values.length, values.map(textField)))

/** Statements without result columns, which must not run when they are only described. */
const STATEMENTS_WITHOUT_COLUMNS = /^(?:INSERT|BEGIN|COMMIT|ROLLBACK|DISCARD|SET|LISTEN)\b/

interface Reply {
  readonly columns?: readonly string[]
  readonly rows?: readonly (readonly string[])[]
  readonly tag?: string
  readonly error?: { readonly sqlState: string; readonly message: string }
}

/** Values of a Bind message, as text. */
function readBoundValues(bytes: Buffer, start: number): string[] {
  let position = start + 2 + 2 * bytes.readInt16BE(start)
  const count = bytes.readInt16BE(position)
  position += 2
  return Array.from({ length: count }, () => {
    const length = bytes.readInt32BE(position)
    const value = bytes.toString('utf8', position + 4, position + 4 + length)
    position += 4 + length
    return value
  })
}

class FakeSession implements FrameSink {
  readonly wantsMore = true
  readonly processId: number
  readonly statements = new Map<string, string>()
  readonly settings = new Map<string, string>()
  status: TransactionStatusByte = TransactionStatus.idle
  busy: NodeJS.Timeout | null = null
  readonly #backend: FakeBackend
  readonly #socket: Socket
  readonly #frames = new CallerFrames(64 * 1024 * 1024)
  #started = false
  #skipping = false
  #bound: { readonly sql: string; readonly values: readonly string[] } = { sql: '', values: [] }
  #inbox: Buffer[] = []

  constructor(backend: FakeBackend, socket: Socket, processId: number) {
    this.#backend = backend
    this.#socket = socket
    this.processId = processId
    socket.on('data', chunk => {
      this.#frames.push(chunk, this)
    })
    socket.on('error', () => undefined)
  }

  frame(bytes: Buffer): void {
    if (this.#started) {
      this.#inbox.push(bytes)
      this.#processInbox()
      return
    }
    const packet = readStartupPacket(bytes)
    if (packet.kind === 'cancel') {
      setTimeout(() => {
        this.#backend.cancel(packet.processId)
        this.#socket.end()
      }, this.#backend.cancelDelayMilliseconds)
    }
    if (packet.kind !== 'startup') return
    this.#started = true
    this.#frames.expectTypedFrames()
    this.#socket.write(
      Buffer.concat([
        AUTHENTICATION_OK,
        parameterStatus('server_version', '16.3'),
        backendKeyData(this.processId, 7),
        readyForQuery(TransactionStatus.idle),
      ]),
    )
  }

  mistake(): void {
    this.#socket.destroy()
  }

  /** Sends something that no request asked for. */
  reportParameter(): void {
    this.#socket.write(parameterStatus('application_name', 'fake'))
  }

  send(bytes: Buffer): void {
    this.#socket.write(bytes)
  }

  end(): void {
    this.#socket.destroy()
  }

  cancel(): void {
    if (this.busy === null) return
    clearTimeout(this.busy)
    this.busy = null
    this.#fail('57014', 'canceling statement due to user request')
    this.#socket.write(readyForQuery(this.status))
    this.#processInbox()
  }

  #processInbox(): void {
    while (this.busy === null) {
      const bytes = this.#inbox.shift()
      if (bytes === undefined) return
      this.#read(bytes)
    }
  }

  #read(bytes: Buffer): void {
    const type = bytes[0] ?? 0
    if (this.#skipping && type !== CallerMessage.sync) return
    switch (type) {
      case CallerMessage.query: {
        const sql = readText(bytes, 5)?.text ?? ''
        this.#backend.queries.push(sql)
        this.#runSimple(sql)
        return
      }
      case CallerMessage.parse: {
        const name = readText(bytes, 5)
        const sql = readText(bytes, name?.end ?? 5)?.text ?? ''
        if (name?.text !== '' && this.statements.has(name?.text ?? '')) {
          this.#skip('42P05', 'prepared statement already exists')
          return
        }
        this.#backend.parses += 1
        this.statements.set(name?.text ?? '', sql)
        this.#socket.write(PARSE_COMPLETE)
        return
      }
      case CallerMessage.bind: {
        const portal = readText(bytes, 5)
        const name = readText(bytes, portal?.end ?? 5)
        const sql = this.statements.get(name?.text ?? '')
        if (sql === undefined) {
          this.#skip('26000', 'prepared statement does not exist')
          return
        }
        this.#bound = { sql, values: readBoundValues(bytes, name?.end ?? 5) }
        this.#socket.write(BIND_COMPLETE)
        return
      }
      case CallerMessage.describe: {
        if (bytes[5] === 0x53) {
          const known = this.statements.get(readText(bytes, 6)?.text ?? '')
          if (known === undefined) this.#skip('26000', 'prepared statement does not exist')
          else this.#socket.write(Buffer.concat([NO_PARAMETERS, NO_DATA]))
          return
        }
        const { sql, values } = this.#bound
        const columns = STATEMENTS_WITHOUT_COLUMNS.test(sql)
          ? undefined
          : this.#reply(sql, values).columns
        this.#socket.write(columns === undefined ? NO_DATA : rowDescription(columns))
        return
      }
      case CallerMessage.execute:
        this.#backend.queries.push(this.#bound.sql)
        this.#execute(this.#bound.sql, this.#bound.values, false)
        return
      case CallerMessage.close: {
        if (bytes[5] === 0x53) this.statements.delete(readText(bytes, 6)?.text ?? '')
        this.#socket.write(CLOSE_COMPLETE)
        return
      }
      case CallerMessage.sync:
        this.#skipping = false
        this.#socket.write(readyForQuery(this.status))
        return
      default:
    }
  }

  #runSimple(sql: string): void {
    const sleep = /pg_sleep\((\d+)\)/.exec(sql)
    if (sleep !== null) {
      this.busy = setTimeout(() => {
        this.busy = null
        this.#runReply(sql)
        this.#processInbox()
      }, Number(sleep[1]))
      return
    }
    this.#runReply(sql)
  }

  #runReply(sql: string): void {
    const times = this.#backend.repeatsAnswers ? 2 : 1
    for (let time = 0; time < times; time += 1)
      if (this.#execute(sql, [], true)) this.#socket.write(readyForQuery(this.status))
  }

  /** Returns false if no ReadyForQuery may follow: the connection was broken or a COPY was started. */
  #execute(sql: string, values: readonly string[], describes: boolean): boolean {
    if (sql.includes('break_now')) {
      this.#socket.write(rowDescription(['value']))
      this.#socket.end(dataRow(['half']).subarray(0, 8))
      return false
    }
    if (sql.includes('break_silently')) {
      this.#socket.destroy()
      return false
    }
    if (sql.startsWith('COPY')) {
      this.#socket.write(frame('G', Buffer.from([0, 0, 0])))
      return false
    }
    const reply = this.#reply(sql, values)
    if (reply.error !== undefined) {
      this.#fail(reply.error.sqlState, reply.error.message)
      this.#skipping = !describes
      return true
    }
    const pieces: Buffer[] = []
    if (describes && reply.columns !== undefined) pieces.push(rowDescription(reply.columns))
    for (const row of reply.rows ?? []) pieces.push(dataRow(row))
    pieces.push(commandComplete(reply.tag ?? `SELECT ${reply.rows?.length ?? 0}`))
    this.#socket.write(Buffer.concat(pieces))
    return true
  }

  #skip(sqlState: string, message: string): void {
    this.#fail(sqlState, message)
    this.#skipping = true
  }

  #fail(sqlState: string, message: string): void {
    if (this.status === TransactionStatus.open) this.status = TransactionStatus.failed
    this.#socket.write(errorResponse({ severity: 'ERROR', sqlState, message }))
  }

  #reply(text: string, values: readonly string[]): Reply {
    const sql = text.replace(/\/\*.*?\*\//g, '').trim()
    if (this.status === TransactionStatus.failed && !/^(ROLLBACK|COMMIT)/.test(sql)) {
      return { error: { sqlState: '25P02', message: 'current transaction is aborted' } }
    }
    if (sql === 'BEGIN') return this.#setStatus(TransactionStatus.open, 'BEGIN')
    if (sql === 'COMMIT' || sql === 'ROLLBACK') return this.#setStatus(TransactionStatus.idle, sql)
    if (sql === 'LISTEN news') return { tag: 'LISTEN' }
    if (sql === 'DISCARD ALL') {
      this.settings.clear()
      this.statements.clear()
      return { tag: 'DISCARD ALL' }
    }
    const set = /^SET (?:LOCAL )?(\w+) TO '(.*)'$/.exec(sql)
    if (set !== null) this.settings.set(set[1] ?? '', set[2] ?? '')
    if (sql.startsWith('SET ')) return { tag: 'SET' }
    const shown = /^SHOW (\w+)$/.exec(sql)
    if (shown !== null) return singleValue('value', this.settings.get(shown[1] ?? '') ?? 'none')
    const rows = /^SELECT rows\((\d+), (\d+)\)$/.exec(sql)
    if (rows !== null) {
      const row = ['x'.repeat(Number(rows[2]))]
      return { columns: ['value'], rows: Array.from({ length: Number(rows[1]) }, () => row) }
    }
    if (sql.includes('platform_position')) {
      const { role, offset } = this.#backend.position
      const columns = ['role', 'term', 'log_offset', 'fenced_term']
      const row = [role, '1', String(offset), '1']
      const [, number] = /, (\d+) AS number/.exec(sql) ?? []
      if (number === undefined) return { columns, rows: [row] }
      return { columns: [...columns, 'number'], rows: [[...row, number]] }
    }
    if (sql.startsWith('INSERT')) {
      this.#backend.offset += 1
      this.#backend.inserted.push(values[0] ?? sql)
      return { tag: 'INSERT 0 1' }
    }
    if (sql.startsWith('FAIL')) return { error: { sqlState: '42601', message: 'syntax error' } }
    return singleValue('value', values[0] ?? sql)
  }

  #setStatus(status: TransactionStatusByte, tag: string): Reply {
    this.status = status
    return { tag }
  }
}

const singleValue = (column: string, value: string): Reply => ({
  columns: [column],
  rows: [[value]],
})

export class FakeBackend {
  role: 'primary' | 'replica' = 'primary'
  offset = 10
  parses = 0
  cancelDelayMilliseconds = 0
  /** Answers each simple query twice. */
  repeatsAnswers = false
  follows: FakeBackend | null = null
  readonly queries: string[] = []
  readonly inserted: string[] = []
  readonly #sessions = new Map<number, FakeSession>()
  #server: Server | null = null
  #port = 0
  #lastId = 0

  /** The reported role and log position. A follower has the position of its primary without delay. */
  get position(): { readonly role: string; readonly offset: number } {
    if (this.follows === null) return { role: this.role, offset: this.offset }
    return { role: 'replica', offset: this.follows.offset }
  }

  static async start(): Promise<FakeBackend> {
    const backend = new FakeBackend()
    const { server, port } = await listen('127.0.0.1', 0, socket => {
      backend.#accept(socket)
    })
    backend.#server = server
    backend.#port = port
    return backend
  }

  get port(): number {
    return this.#port
  }

  get connections(): number {
    return this.#sessions.size
  }

  cancel(processId: number): void {
    this.#sessions.get(processId)?.cancel()
  }

  /** Breaks all connections. New ones are accepted. */
  dropSessions(): void {
    for (const session of this.#sessions.values()) session.end()
  }

  /** Sends something unasked for over every connection. */
  reportParameter(): void {
    for (const session of this.#sessions.values()) session.reportParameter()
  }

  /** The connections that are open now, over which bytes can be sent unasked for. */
  get sessions(): readonly { send(bytes: Buffer): void }[] {
    return [...this.#sessions.values()]
  }

  close(): void {
    this.#server?.close()
    this.dropSessions()
  }

  #accept(socket: Socket): void {
    this.#lastId += 1
    const id = this.#lastId
    this.#sessions.set(id, new FakeSession(this, socket, id))
    socket.once('close', () => this.#sessions.delete(id))
  }
}
