import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import pg from 'pg'
import { Deployment, proxyProcessId } from '../../src/index.js'
import { eventually } from '../eventually.js'

const CLASS = 'scheduling_write'
const insert = (id: string): string => `INSERT INTO events (id, value) VALUES ('${id}', '1')`

describe('transactions when a process is killed', () => {
  let deployment: Deployment
  const clients: pg.Client[] = []
  before(async () => {
    deployment = await Deployment.start({
      shape: 'atlas-quai',
      databases: 1,
      entryHosts: 3,
      network: true,
      fleet: true,
    })
  })
  after(async () => {
    await Promise.all(clients.map(client => client.end().catch(() => undefined)))
    await deployment.stop()
  })

  const connect = async (entryHost: number): Promise<pg.Client> => {
    const client = new pg.Client({
      host: '127.0.0.1',
      port: deployment.entryHost(entryHost).proxyPort,
      user: 'caller',
      database: deployment.database(0).id,
      options: `-c nutmegcourse.class=${CLASS}`,
    })
    client.on('error', () => undefined)
    clients.push(client)
    await client.connect()
    return client
  }
  const connectWritable = async (entryHost: number): Promise<pg.Client> => {
    const client = await connect(entryHost)
    await eventually(async () => {
      await client.query(insert('warm up'))
    })
    return client
  }
  const storedIds = async (): Promise<ReadonlySet<string>> => {
    const { events } = await deployment.contents(deployment.database(0))
    return new Set(events.map(([id]) => id))
  }

  /**
   * The proxy is killed between two statements of a transaction. Nothing of it may be kept, its
   * backend connection must not serve other callers, and callers of other proxies must not be
   * affected.
   */
  it('keeps nothing of a transaction whose proxy was killed before the commit', async () => {
    const [interrupted, other] = [await connectWritable(0), await connectWritable(1)]
    await interrupted.query('BEGIN')
    await interrupted.query(insert('first half'))
    await deployment.kill(proxyProcessId(deployment.entryHost(0)))
    await other.query('BEGIN')
    await other.query(insert('whole one'))
    await other.query(insert('whole two'))
    await other.query('COMMIT')
    await deployment.process(proxyProcessId(deployment.entryHost(0))).start()
    await connectWritable(0)
    const stored = await storedIds()
    expect(stored.has('first half')).toEqual(false)
    expect([stored.has('whole one'), stored.has('whole two')]).toEqual([true, true])
  })

  /**
   * More callers than there are backend connections disconnect within a transaction. None of their
   * writes may be kept, nor be committed by the next caller on the same backend connection.
   */
  it('keeps nothing of the transactions of many callers that disconnected', async () => {
    const callerCount = 30
    for (let index = 0; index < callerCount; index += 1) {
      const leaving = await connect(1)
      await leaving.query('BEGIN')
      await leaving.query(insert(`abandoned ${index}`))
      leaving.connection.stream.destroy()
    }
    const staying = await connectWritable(1)
    await staying.query(insert('after the departures'))
    const stored = [...(await storedIds())]
    expect(stored.filter(id => id.startsWith('abandoned'))).toEqual([])
    expect(stored.includes('after the departures')).toEqual(true)
  })

  /**
   * A transaction is open when the primary is killed. Its COMMIT must not be acknowledged unless
   * all of the transaction is kept. Later statements on the same connection run on the new primary.
   */
  it('reports a transaction as lost when its primary is killed before the commit', async () => {
    const client = await connectWritable(2)
    await client.query('BEGIN')
    await client.query(insert('lost one'))
    const record = await deployment.platform.groupRecord(deployment.database(0).id)
    if (record.primary === null) throw new Error('no primary')
    await deployment.kill(record.primary)
    const committed = await client.query('COMMIT').then(
      result => result.command,
      (error: unknown) => (error instanceof pg.DatabaseError ? error.code : 'broken'),
    )
    expect(committed === 'COMMIT').toEqual(false)
    await eventually(async () => {
      await client.query(insert('found again'))
    }, 15_000)
    const stored = await storedIds()
    expect(stored.has('lost one')).toEqual(false)
    expect(stored.has('found again')).toEqual(true)
  })
})
