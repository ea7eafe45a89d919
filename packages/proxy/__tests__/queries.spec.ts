/** Queries of unmodified PostgreSQL clients over pooled connections. */
import { expect } from 'earl'
import { describe, it } from 'node:test'
import { startupMessage } from '@nutmegcourse/protocol'
import {
  CALLER_LIMIT,
  DATABASE,
  READ_CLASS,
  WRITE_CLASS,
  withProxy,
} from './support/proxyFixture.js'
import { RawCaller } from './support/rawCaller.js'

const valueOf = (result: { readonly rows: readonly unknown[] }): unknown =>
  (result.rows[0] as { readonly value: unknown } | undefined)?.value

describe('a caller with an unmodified client', () => {
  const texts = [
    { what: 'a plain statement', sql: 'SELECT 1', class: READ_CLASS },
    { what: 'a statement of a writing class', sql: 'SELECT 2', class: WRITE_CLASS },
    {
      what: 'a comment that names a class',
      sql: "SELECT 3 /*class='score_entry'*/",
      class: READ_CLASS,
    },
    { what: 'a text beyond ASCII', sql: "SELECT 'নাটমেগ é'", class: READ_CLASS },
  ]
  for (const { what, sql, class: name } of texts) {
    it(`gets the answer to ${what}`, () =>
      withProxy(1, async fixture => {
        const client = await fixture.connect(name)
        const expected = sql.replace(/ \/\*.*/, '')
        expect(valueOf(await client.query(sql))).toEqual(expected)
        expect(valueOf(await client.query(sql))).toEqual(expected)
      }))
  }

  it('gets values through the extended protocol, with named and unnamed statements', () =>
    withProxy(2, async fixture => {
      const client = await fixture.connect()
      expect(valueOf(await client.query('SELECT $1', ['a']))).toEqual('a')
      for (const value of ['b', 'c']) {
        const named = { name: 'pick', text: 'SELECT $1 AS picked', values: [value] }
        expect(valueOf(await client.query(named))).toEqual(value)
      }
    }))

  it('finds its prepared statement on every connection that it uses', () =>
    withProxy(3, async fixture => {
      const clients = await Promise.all([1, 2, 3, 4, 5, 6].map(() => fixture.connect()))
      for (let round = 0; round < 5; round += 1) {
        const answers = await Promise.all(
          clients.map((client, index) =>
            client.query({
              name: 'same',
              text: 'SELECT $1 AS same',
              values: [`${index}/${round}`],
            }),
          ),
        )
        expect(answers.map(valueOf)).toEqual(clients.map((_, index) => `${index}/${round}`))
      }
      // One text on three connections: prepared once per connection, not once per caller.
      expect(fixture.backend.parses <= 3).toEqual(true)
    }))

  it('may use the same statement name as another caller for a different text', () =>
    withProxy(1, async fixture => {
      const [first, second] = [await fixture.connect(), await fixture.connect()]
      for (let round = 0; round < 3; round += 1) {
        const query = { name: 'mine', text: 'SELECT 1st', values: [] }
        expect(valueOf(await first.query(query))).toEqual('SELECT 1st')
        expect(valueOf(await second.query({ ...query, text: 'SELECT 2nd' }))).toEqual('SELECT 2nd')
      }
    }))

  it('keeps its settings on every connection, and does not affect other callers', () =>
    withProxy(1, async fixture => {
      const [first, second] = [await fixture.connect(), await fixture.connect()]
      await first.query("SET search_path TO 'quay'")
      expect(valueOf(await second.query('SHOW search_path'))).toEqual('none')
      expect(valueOf(await first.query('SHOW search_path'))).toEqual('quay')
    }))

  it('gets an error for statements that pooled connections do not support, and can continue', () =>
    withProxy(1, async fixture => {
      const client = await fixture.connect()
      for (const sql of ['COPY t FROM STDIN', 'LISTEN news']) {
        await expect(client.query(sql)).toBeRejectedWith(/unsupported/)
        expect(valueOf(await client.query('SELECT 1'))).toEqual('SELECT 1')
      }
    }))

  it('is refused with unknown_class or unknown_database if its class or database is unknown', () =>
    withProxy(1, async fixture => {
      const client = await fixture.connect('nobody')
      await expect(client.query('SELECT 1')).toBeRejectedWith(/unknown_class/)
      await expect(fixture.connect(READ_CLASS, { database: 'sea' })).toBeRejectedWith(
        /unknown_database/,
      )
    }))

  it('gets the class of the first matching default', () =>
    withProxy(1, async fixture => {
      const client = await fixture.connect('', { options: '', user: 'judge' })
      await client.query('SELECT 1')
      const arrived = fixture.core.messages.find(message => message.kind === 'requestArrived')
      expect(arrived?.class as string | undefined).toEqual(WRITE_CLASS)
    }))

  it('is refused beyond the caller limit, while the other callers are still served', () =>
    withProxy(1, async fixture => {
      const client = await fixture.connect()
      const more = Array.from({ length: CALLER_LIMIT }, () => new RawCaller(fixture.port))
      await Promise.all(more.map(caller => caller.until(() => caller.connected)))
      const last = new RawCaller(fixture.port)
      last.send(startupMessage({ user: 'foreman', database: DATABASE }))
      await last.until(() => last.closed)
      expect(last.text.includes('too_many_callers')).toEqual(true)
      expect(valueOf(await client.query('SELECT 1'))).toEqual('SELECT 1')
      for (const caller of more) caller.disconnect()
    }))
})
