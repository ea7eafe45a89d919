/** Commands that a test sends directly to one backend server, bypassing the proxies. */
import { askBackendServer } from './adminCall.js'
import type { PlannedServer } from './plan.js'

/** Sets the delay after which the server applies what it receives from its primary. */
export async function setReplicationLag(
  server: PlannedServer,
  milliseconds: number,
): Promise<void> {
  await askBackendServer(server.port, `SELECT platform_lag(${milliseconds})`)
}

export async function pauseReplication(server: PlannedServer, paused: boolean): Promise<void> {
  await askBackendServer(server.port, `SELECT platform_pause_replication(${paused})`)
}

/** Number of reads and writes that the server has run since it started. */
export async function countStatements(server: PlannedServer): Promise<number> {
  const [row] = await askBackendServer(server.port, 'SELECT platform_statement_count()')
  return Number(row?.[0])
}

export interface ConnectionCounts {
  /** Most concurrent connections since the server started. */
  readonly peak: number
  /** Connections refused because the limit was reached. */
  readonly refused: number
}

export async function countConnections(server: PlannedServer): Promise<ConnectionCounts> {
  const statement = 'SELECT peak, refused FROM platform_connections()'
  const [row] = await askBackendServer(server.port, statement)
  return { peak: Number(row?.[0]), refused: Number(row?.[1]) }
}
