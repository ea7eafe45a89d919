/** A fake backend server that accepts every login and answers each statement with one position. */
import type { Server, Socket } from 'node:net'
import { listen } from '../src/index.js'

const COLUMNS = ['role', 'term', 'log_offset', 'fenced_term', 'number']
const TEXT_TYPE = 25

function frame(type: string, ...parts: readonly Buffer[]): Buffer {
  const body = Buffer.concat(parts)
  const head = Buffer.alloc(5)
  head.write(type)
  head.writeInt32BE(body.length + 4, 1)
  return Buffer.concat([head, body])
}

function int16(value: number): Buffer {
  const bytes = Buffer.alloc(2)
  bytes.writeInt16BE(value)
  return bytes
}

function int32(value: number): Buffer {
  const bytes = Buffer.alloc(4)
  bytes.writeInt32BE(value)
  return bytes
}

/** Name, table, column number, type, size, modifier, format. */
const describeColumn = (name: string): Buffer =>
  Buffer.concat([
    Buffer.from(`${name}\0`),
    int32(0),
    int16(0),
    int32(TEXT_TYPE),
    int16(-1),
    int32(-1),
    int16(0),
  ])

const describeValue = (value: string): Buffer =>
  Buffer.concat([int32(Buffer.byteLength(value)), Buffer.from(value)])

const READY = frame('Z', Buffer.from('I'))
const LOGIN_ACCEPTED = Buffer.concat([frame('R', int32(0)), READY])

/** An ErrorResponse. */
export const errorFrame = (severity: 'ERROR' | 'FATAL', sqlState: string): Buffer =>
  frame('E', Buffer.from(`S${severity}\0C${sqlState}\0Mrefused\0\0`))

/** The answer that refuses a statement. */
export const refusal = (sqlState: string): Buffer =>
  Buffer.concat([errorFrame('ERROR', sqlState), READY])

/** The answer to a numbered statement. */
export function positionAnswer(number: string, offset = 7): Buffer {
  const values = ['primary', '1', String(offset), '1', number]
  return Buffer.concat([
    frame('T', int16(COLUMNS.length), ...COLUMNS.map(describeColumn)),
    frame('D', int16(values.length), ...values.map(describeValue)),
    frame('C', Buffer.from('SELECT 1\0')),
    READY,
  ])
}

export interface ReceivedStatement {
  /** The number that its answer has to repeat. */
  readonly number: string
  readonly socket: Socket
}

/** `onStatement` is called with each statement's number, from 1, and sends its answer by `answer`. */
export async function startPositionServer(
  onStatement: (number: number, answer: () => void, statement: ReceivedStatement) => void,
): Promise<{ readonly server: Server; readonly port: number }> {
  let statements = 0
  return listen('127.0.0.1', 0, socket => {
    let isLoggedIn = false
    socket.on('error', () => undefined)
    socket.on('data', bytes => {
      const text = bytes.toString('latin1')
      if (!isLoggedIn) {
        isLoggedIn = true
        socket.write(LOGIN_ACCEPTED)
      } else if (text.startsWith('Q')) {
        statements += 1
        const number = /(\d+) AS number/.exec(text)?.[1] ?? ''
        const answer = () => socket.write(positionAnswer(number))
        onStatement(statements, answer, { number, socket })
      }
    })
  })
}
