/**
 * JSON-RPC calls to the stand-ins (faults, cuts, the host list) and to agents, and single statements
 * on a backend server.
 */
import pg from 'pg'
import { openJsonRpc } from '@nutmegcourse/transport'

const TIMEOUT_MILLISECONDS = 5000
const LOOPBACK = '127.0.0.1'

/** Makes one JSON-RPC call on a separate connection. Throws if it fails. */
export async function adminCall<Answer>(
  port: number,
  method: string,
  params: unknown,
): Promise<Answer> {
  const opened = await openJsonRpc(LOOPBACK, port, {}, TIMEOUT_MILLISECONDS)
  if (opened.isErr()) throw new Error(`${method}: ${opened.error.detail}`)
  const answer = await opened.value.request<Answer>(method, params, TIMEOUT_MILLISECONDS)
  opened.value.close()
  if (answer.isErr()) throw new Error(answer.error.detail)
  return answer.value
}

/** Runs one statement directly on a backend server, bypassing the proxies. */
export async function askBackendServer(
  port: number,
  statement: string,
): Promise<readonly (readonly string[])[]> {
  const client = new pg.Client({
    host: LOOPBACK,
    port,
    user: 'administrator',
    database: 'any',
    application_name: 'nutmegcourse-control',
    connectionTimeoutMillis: TIMEOUT_MILLISECONDS,
    query_timeout: TIMEOUT_MILLISECONDS,
  })
  client.on('error', () => undefined)
  try {
    await client.connect()
    const { rows } = await client.query<string[]>({ text: statement, rowMode: 'array' })
    return rows
  } finally {
    await client.end().catch(() => undefined)
  }
}
