/**
 * A backend server of minimal cost: answers every statement with the same row and every position
 * query with the same position, so that measurements show the cost of the components in front of
 * it.
 */
import type { Socket } from 'node:net'
import {
  AUTHENTICATION_OK,
  CallerFrames,
  CallerMessage,
  ServerMessage,
  TransactionStatus,
  backendKeyData,
  commandComplete,
  readStartupPacket,
  readyForQuery,
  type FrameSink,
} from '@nutmegcourse/protocol'
import { listen } from '@nutmegcourse/transport'
import { readProcessSettings, reportReady } from './processSettings.js'

const LOOPBACK = '127.0.0.1'
const TEXT_TYPE = 25

function frameOf(type: number, body: Buffer): Buffer {
  const head = Buffer.alloc(5)
  head[0] = type
  head.writeInt32BE(4 + body.length, 1)
  return Buffer.concat([head, body])
}

function rowDescription(names: readonly string[]): Buffer {
  const count = Buffer.alloc(2)
  count.writeInt16BE(names.length)
  const tail = Buffer.alloc(18)
  tail.writeInt32BE(TEXT_TYPE, 6)
  tail.writeInt16BE(-1, 10)
  const columns = names.flatMap(name => [Buffer.from(`${name}\0`), tail])
  return frameOf(ServerMessage.rowDescription, Buffer.concat([count, ...columns]))
}

function dataRow(values: readonly string[]): Buffer {
  const count = Buffer.alloc(2)
  count.writeInt16BE(values.length)
  const columns = values.flatMap(value => {
    const length = Buffer.alloc(4)
    length.writeInt32BE(value.length)
    return [length, Buffer.from(value)]
  })
  return frameOf(ServerMessage.dataRow, Buffer.concat([count, ...columns]))
}

const READY = readyForQuery(TransactionStatus.idle)
const GREETING = Buffer.concat([AUTHENTICATION_OK, backendKeyData(1, 1), READY])
const ROW = Buffer.concat([
  rowDescription(['value']),
  dataRow(['assignment']),
  commandComplete('SELECT 1'),
  READY,
])
const SET = Buffer.concat([commandComplete('SET'), READY])

const positionOf = (role: string, numbers: readonly string[]): Buffer =>
  Buffer.concat([
    rowDescription(['role', 'term', 'log_offset', 'fenced_term', ...numbers.map(() => 'number')]),
    dataRow([role, '1', '10', '1', ...numbers]),
    commandComplete('SELECT 1'),
    READY,
  ])

class MinimalSession implements FrameSink {
  readonly wantsMore = true
  readonly #socket: Socket
  readonly #role: string
  readonly #position: Buffer
  readonly #frames = new CallerFrames(1024 * 1024)
  #started = false
  #answers: Buffer[] = []

  constructor(socket: Socket, role: string, position: Buffer) {
    this.#socket = socket
    this.#role = role
    this.#position = position
    socket.on('error', () => undefined)
    socket.on('data', chunk => {
      this.#frames.push(chunk, this)
      const [only] = this.#answers
      if (only === undefined) return
      socket.write(this.#answers.length === 1 ? only : Buffer.concat(this.#answers))
      this.#answers = []
    })
  }

  frame(bytes: Buffer): void {
    if (!this.#started) {
      this.#started = readStartupPacket(bytes).kind === 'startup'
      this.#frames.expectTypedFrames()
      this.#answers.push(GREETING)
      return
    }
    if (bytes[0] !== CallerMessage.query) return
    if (bytes.includes('platform_position')) this.#answers.push(this.#positionAnswer(bytes))
    else if (bytes.includes('SET SESSION')) this.#answers.push(SET)
    else this.#answers.push(ROW)
  }

  /** Proxies send a number with the queries of their control connections alone, which are few. */
  #positionAnswer(bytes: Buffer): Buffer {
    if (!bytes.includes(' AS number')) return this.#position
    const [, number = ''] = /(\d+) AS number/.exec(bytes.toString('latin1')) ?? []
    return positionOf(this.#role, [number])
  }

  mistake(): void {
    this.#socket.destroy()
  }
}

const { role } = readProcessSettings()
const position = positionOf(String(role), [])
const { port } = await listen(LOOPBACK, 0, socket => {
  new MinimalSession(socket, String(role), position)
})
reportReady(port)
