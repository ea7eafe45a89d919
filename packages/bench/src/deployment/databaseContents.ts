/** Reads the contents of a database from the backend server with the highest log position. */
import { POSITION_STATEMENT, readPositionReport } from '@nutmegcourse/protocol'
import { comparePositions, type LogPosition } from '@nutmegcourse/shared'
import { askBackendServer } from './adminCall.js'

export interface DatabaseContents {
  readonly position: LogPosition
  readonly entries: ReadonlyMap<string, string>
  /** Contains an id once per insertion. */
  readonly events: readonly (readonly [id: string, value: string])[]
}

/** Throws unless a majority of the servers answers. */
export async function readDatabaseContents(ports: readonly number[]): Promise<DatabaseContents> {
  const asked = await Promise.allSettled(ports.map(readPosition))
  const answered = asked.flatMap(result => (result.status === 'fulfilled' ? [result.value] : []))
  if (answered.length * 2 <= ports.length)
    throw new Error('no majority of the backend servers answered')
  const [greatest] = answered.sort((left, right) => comparePositions(right.position, left.position))
  if (greatest === undefined) throw new Error('no backend server answered')
  const entries = await askBackendServer(greatest.port, 'SELECT key, value FROM entries')
  const events = await askBackendServer(greatest.port, 'SELECT id, value FROM events')
  return {
    position: greatest.position,
    entries: new Map(entries.map(([key = '', value = '']) => [key, value])),
    events: events.map(([id = '', value = '']) => [id, value]),
  }
}

async function readPosition(port: number): Promise<{ port: number; position: LogPosition }> {
  const [row] = await askBackendServer(port, POSITION_STATEMENT)
  const report = readPositionReport(row ?? [])
  if (report === null) throw new Error('the backend server reported an unreadable log position')
  return { port, position: report.position }
}
