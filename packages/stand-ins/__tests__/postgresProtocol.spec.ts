import { after, before, describe, it } from 'node:test'
import { connect } from 'node:net'
import { expect } from 'earl'
import pg from 'pg'
import { TestGroup } from './testGroup.js'

const RAISE =
  'INSERT INTO entries (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = EXCLUDED.value WHERE entries.value::bigint < EXCLUDED.value::bigint'

describe('backend server: protocol', () => {
  const group = new TestGroup()
  let client: pg.Client
  before(async () => {
    await group.start({ connectionLimit: 8, connectMilliseconds: 5 })
    client = await group.connect(0)
  })
  after(() => group.stop())

  const statements: readonly {
    readonly text: string
    readonly values?: readonly string[]
    readonly rows: readonly unknown[][]
  }[] = [
    { text: 'SELECT 1', rows: [['1']] },
    { text: "SELECT 'it''s' AS answer", rows: [["it's"]] },
    { text: "/*class='x'*/ INSERT INTO entries (key, value) VALUES ('k', 'v;w')", rows: [] },
    { text: "SELECT value FROM entries WHERE key = 'k' /*class='y'*/", rows: [['v;w']] },
    { text: 'SELECT value FROM entries WHERE key = $1', values: ['k'], rows: [['v;w']] },
    { text: 'UPDATE entries SET value = $1 WHERE key = $2', values: ['$2', 'k'], rows: [] },
    { text: 'SELECT key, value FROM entries', rows: [['k', '$2']] },
    {
      text: 'INSERT INTO entries (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = EXCLUDED.value',
      values: ['k', 'w'],
      rows: [],
    },
    { text: 'SELECT count(*) FROM entries', rows: [['1']] },
    { text: RAISE, values: ['k9', '9'], rows: [] },
    { text: RAISE, values: ['k9', '8'], rows: [] },
    { text: 'SELECT value FROM entries WHERE key = $1', values: ['k9'], rows: [['9']] },
    { text: "DELETE FROM entries WHERE key = 'k9'", rows: [] },
    { text: 'INSERT INTO events (id, value) VALUES ($1, $2)', values: ['e', '1'], rows: [] },
    { text: 'INSERT INTO events (id, value) VALUES ($1, $2)', values: ['e', '1'], rows: [] },
    {
      text: 'SELECT id, value FROM events WHERE id = $1',
      values: ['e'],
      rows: [
        ['e', '1'],
        ['e', '1'],
      ],
    },
    { text: 'SELECT generate_rows(2, 3)', rows: [['1:xxx'], ['2:xxx']] },
    { text: 'DISCARD ALL', rows: [] },
    { text: '', rows: [] },
  ]
  for (const { text, values, rows } of statements) {
    it(`answers ${text} ${JSON.stringify(values ?? '')}`, async () => {
      const query = { text, rowMode: 'array', ...(values && { values: [...values] }) } as const
      expect((await client.query<unknown[]>(query)).rows).toEqual(rows.map(row => [...row]))
    })
  }

  const errors = [
    { text: 'SELECT nonsense()', code: '42601' },
    { text: "INSERT INTO entries (key, value) VALUES ('k', 'again')", code: '23505' },
  ]
  for (const { text, code } of errors) {
    for (const values of [undefined, []]) {
      it(`refuses ${text} with ${code}, ${values ? 'extended' : 'simple'}, and continues the session`, async () => {
        const query = { text, ...(values && { values, name: `named ${text}` }) }
        const found = await client.query(query).then(
          () => '',
          (error: unknown) => (error as pg.DatabaseError).code,
        )
        expect(found).toEqual(code)
        expect((await client.query('SELECT 1')).rowCount).toEqual(1)
      })
    }
  }

  it('keeps a named prepared statement', async () => {
    const named = { name: 'lookup', text: 'SELECT value FROM entries WHERE key = $1' }
    expect((await client.query({ ...named, values: ['k'] })).rows).toEqual([{ value: 'w' }])
    expect((await client.query({ ...named, values: ['absent'] })).rows).toEqual([])
  })

  it('answers pipelined statements in order, and a position queried after a write includes it', async () => {
    const write = client.query("INSERT INTO entries (key, value) VALUES ('piped', '1')")
    const position = client.query<{ log_offset: string }>(
      'SELECT role, term, log_offset, fenced_term FROM platform_position()',
    )
    await write
    const pipelinedOffset = Number((await position).rows[0]?.log_offset)
    const [, , currentOffset] = await group.position(0)
    expect(pipelinedOffset).toEqual(Number(currentOffset))
  })

  it('repeats the number of a numbered statement in the last column', async () => {
    const { rows, fields } = await client.query<Record<string, string>>(
      'SELECT role, term, log_offset, fenced_term, 17 AS number FROM platform_position()',
    )
    expect(rows.map(({ role, number }) => [role, number])).toEqual([['primary', '17']])
    expect(fields.at(-1)?.name).toEqual('number')
  })

  it('commits a transaction as one record and logs none for a rollback', async () => {
    const offset = async (): Promise<number> => Number((await group.position(0))[2])
    const start = await offset()
    await client.query('BEGIN')
    await client.query("INSERT INTO entries (key, value) VALUES ('t1', '1')")
    await client.query("INSERT INTO entries (key, value) VALUES ('t2', '1')")
    expect(await group.query(0, "SELECT value FROM entries WHERE key = 't1'")).toEqual([])
    await client.query('COMMIT')
    expect(await offset()).toEqual(start + 1)
    await client.query('BEGIN')
    await client.query("INSERT INTO entries (key, value) VALUES ('t3', '1')")
    await client.query('ROLLBACK')
    expect(await offset()).toEqual(start + 1)
  })

  it('aborts a transaction at its first error', async () => {
    await client.query('BEGIN')
    await client.query('SELECT nonsense()').catch(() => undefined)
    const code = await client
      .query('SELECT 1')
      .catch((error: unknown) => (error as pg.DatabaseError).code)
    expect(code).toEqual('25P02')
    expect((await client.query('COMMIT')).command).toEqual('ROLLBACK')
  })

  it('refuses writes of a read-only session and of a replica', async () => {
    await client.query('SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY')
    const write = "INSERT INTO entries (key, value) VALUES ('never', '1')"
    const code = await client
      .query(write)
      .catch((error: unknown) => (error as pg.DatabaseError).code)
    expect(code).toEqual('25006')
    await client.query('SET SESSION CHARACTERISTICS AS TRANSACTION READ WRITE')
    expect(await group.errorCode(1, write)).toEqual('25006')
  })

  it('runs several statements of one message atomically', async () => {
    const insert = (key: string): string =>
      `INSERT INTO entries (key, value) VALUES ('${key}', '1')`
    await client.query(`${insert('m1')}; ${insert('k')}`).catch(() => undefined)
    expect(await group.query(0, "SELECT value FROM entries WHERE key = 'm1'")).toEqual([])
    await client.query(`${insert('m1')}; ${insert('m2')}`)
    expect(await group.query(0, "SELECT value FROM entries WHERE key = 'm2'")).toEqual([['1']])
  })

  it('cancels a running statement', async () => {
    const { processID, secretKey } = client as unknown as { processID: number; secretKey: number }
    const running = client
      .query('SELECT pg_sleep(30)')
      .catch((error: unknown) => (error as pg.DatabaseError).code)
    const request = Buffer.alloc(16)
    ;[16, 80877102, processID, secretKey].forEach((value, index) =>
      request.writeInt32BE(value, 4 * index),
    )
    await new Promise(resolve => setTimeout(resolve, 20))
    connect({ host: '127.0.0.1', port: group.port(0) }).end(request)
    expect(await running).toEqual('57014')
  })

  it('refuses connections past its limit', async () => {
    const opened = await Promise.allSettled(Array.from({ length: 9 }, () => group.connect(2)))
    const refused = opened.filter(result => result.status === 'rejected')
    expect(refused.map(result => (result.reason as pg.DatabaseError).code)).toEqual(['53300'])
  })
})
