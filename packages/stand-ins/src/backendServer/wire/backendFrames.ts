/** Encodes the messages that a PostgreSQL server sends (protocol 3.0). */

export type TransactionStatus = 'I' | 'T' | 'E'

export interface Column {
  readonly name: string
  readonly type: 'text' | 'bigint'
}

/** An error response. `code` is an SQLSTATE. */
export interface SqlError {
  readonly code: string
  readonly message: string
}

const TYPE_OIDS = { text: 25, bigint: 20 } as const
const TYPE_SIZES = { text: -1, bigint: 8 } as const

export function frame(type: string, ...parts: readonly Buffer[]): Buffer {
  const length = parts.reduce((sum, part) => sum + part.length, 4)
  const header = Buffer.allocUnsafe(5)
  header.write(type, 0, 'latin1')
  header.writeInt32BE(length, 1)
  return Buffer.concat([header, ...parts])
}

const text = (value: string): Buffer => Buffer.from(`${value}\0`, 'utf8')

function int16(value: number): Buffer {
  const bytes = Buffer.allocUnsafe(2)
  bytes.writeInt16BE(value)
  return bytes
}

function int32(...values: readonly number[]): Buffer {
  const bytes = Buffer.allocUnsafe(4 * values.length)
  values.forEach((value, index) => bytes.writeInt32BE(value, 4 * index))
  return bytes
}

export const authenticationOk = (): Buffer => frame('R', int32(0))
export const parameterStatus = (name: string, value: string): Buffer =>
  frame('S', text(name), text(value))
export const backendKeyData = (processId: number, secretKey: number): Buffer =>
  frame('K', int32(processId, secretKey))
export const readyForQuery = (status: TransactionStatus): Buffer => frame('Z', Buffer.from(status))
export const commandComplete = (tag: string): Buffer => frame('C', text(tag))
export const parseComplete = (): Buffer => frame('1')
export const bindComplete = (): Buffer => frame('2')
export const closeComplete = (): Buffer => frame('3')
export const noData = (): Buffer => frame('n')
export const emptyQueryResponse = (): Buffer => frame('I')

export function parameterDescription(count: number): Buffer {
  const types = Array.from({ length: count }, () => TYPE_OIDS.text)
  return frame('t', int16(count), int32(...types))
}

export function rowDescription(columns: readonly Column[]): Buffer {
  const fields = columns.map(column =>
    Buffer.concat([
      text(column.name),
      int32(0),
      int16(0),
      int32(TYPE_OIDS[column.type]),
      int16(TYPE_SIZES[column.type]),
      int32(-1),
      int16(0),
    ]),
  )
  return frame('T', int16(columns.length), ...fields)
}

export function dataRow(values: readonly (string | null)[]): Buffer {
  const fields = values.map(value => {
    if (value === null) return int32(-1)
    const bytes = Buffer.from(value, 'utf8')
    return Buffer.concat([int32(bytes.length), bytes])
  })
  return frame('D', int16(values.length), ...fields)
}

export function errorResponse(error: SqlError, severity: 'ERROR' | 'FATAL' = 'ERROR'): Buffer {
  const field = (name: string, value: string): Buffer => text(`${name}${value}`)
  return frame(
    'E',
    field('S', severity),
    field('V', severity),
    field('C', error.code),
    field('M', error.message),
    Buffer.from([0]),
  )
}
