import { after, before, describe, it } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'earl'
import pg from 'pg'
import { SeededRandom } from '@nutmegcourse/shared'
import { countConnections, Deployment } from '../../src/index.js'
import { eventually } from '../eventually.js'

const CALLERS = 60
const REQUESTS = 30
const LARGEST_ROWS = 200
const ROW_BYTES = 500
const RESETS = 6
const RESET_INTERVAL_MILLISECONDS = 150

interface Tally {
  whole: number
  refused: number
  readonly wrong: string[]
}

describe('complete answers', () => {
  let deployment: Deployment
  const clients = new Set<pg.Client>()
  before(async () => {
    deployment = await Deployment.start({
      shape: 'atlas-quai',
      databases: 1,
      entryHosts: 3,
      network: true,
      fleet: true,
    })
    await eventually(async () => {
      for (const at of [0, 1, 2]) await (await connect(at)).query('SELECT 1')
    })
  })
  after(async () => {
    await Promise.all([...clients].map(client => client.end().catch(() => undefined)))
    await deployment.stop()
  })

  const connect = async (at: number): Promise<pg.Client> => {
    const client = new pg.Client({
      host: '127.0.0.1',
      port: deployment.entryHost(at % 3).proxyPort,
      user: 'caller',
      database: deployment.database(0).id,
      options: '-c nutmegcourse.class=supervisor_lookup',
    })
    client.on('error', () => undefined)
    clients.add(client)
    await client.connect()
    return client
  }

  /**
   * Queries the caller's marker with a prepared and a simple query, and the given number of rows.
   * Returns a description of a wrong answer, or null.
   */
  const ask = async (
    client: pg.Client,
    marker: string,
    rowCount: number,
  ): Promise<string | null> => {
    const rows = `SELECT generate_rows(${rowCount}, ${ROW_BYTES})`
    const [named, simple, many] = await Promise.all([
      client.query<{ own: string }>({ name: 'own', text: 'SELECT $1 AS own', values: [marker] }),
      client.query<{ own: string }>(`SELECT '${marker}' AS own`),
      client.query<{ generate_rows: string }>(rows),
    ])
    if (named.rows[0]?.own !== marker) return `${marker} got ${JSON.stringify(named.rows)}`
    if (simple.rows[0]?.own !== marker) return `${marker} got ${JSON.stringify(simple.rows)}`
    const whole = many.rows.every(
      (row, index) => row.generate_rows === `${index + 1}:${'x'.repeat(ROW_BYTES)}`,
    )
    return whole && many.rows.length === rowCount ? null : `${marker} got ${many.rows.length} rows`
  }

  const run = async (at: number, tally: Tally): Promise<void> => {
    const random = new SeededRandom(at)
    let client: pg.Client | null = null
    for (let turn = 0; turn < REQUESTS; turn += 1) {
      const rowCount = 1 + Math.floor(random.next() * LARGEST_ROWS)
      try {
        client ??= await connect(at)
        const wrong = await ask(client, `caller ${at} turn ${turn}`, rowCount)
        if (wrong === null) tally.whole += 1
        else tally.wrong.push(wrong)
      } catch {
        tally.refused += 1
        client?.connection.stream.destroy()
        client = null
        await delay(20)
      }
    }
  }

  /**
   * Guards against callers that receive another caller's answer or an incomplete one. Many callers
   * share few backend connections, which are reset, and a replica is restarted, while answers are
   * in transit.
   */
  it('gives each caller the complete answer to its own request, or an error', async () => {
    const tally: Tally = { whole: 0, refused: 0, wrong: [] }
    const callers = Array.from({ length: CALLERS }, (_, at) => run(at, tally))
    const [, replica] = deployment.database(0).servers
    for (let turn = 0; turn < RESETS; turn += 1) {
      await delay(RESET_INTERVAL_MILLISECONDS)
      await deployment.resetConnections(deployment.zones, deployment.zones)
      if (turn === RESETS / 2) await deployment.restart(replica?.id ?? '')
    }
    await Promise.all(callers)
    process.stdout.write(`${JSON.stringify({ ...tally, wrong: tally.wrong.length })}\n`)
    expect(tally.wrong).toEqual([])
    for (const server of deployment.database(0).servers) {
      const { peak, refused } = await countConnections(server)
      process.stdout.write(`${server.id}: at most ${peak} connections, ${refused} refused\n`)
      expect(refused).toEqual(0)
    }
    expect(tally.whole).toBeGreaterThan(CALLERS * (REQUESTS / 2))
  })
})
