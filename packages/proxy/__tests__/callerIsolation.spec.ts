/** Many callers share few backend connections: each gets exactly its own answers. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { SeededRandom } from '@nutmegcourse/shared'
import { WRITE_CLASS, withProxy } from './support/proxyFixture.js'
import { RawCaller, waitUntil, query } from './support/rawCaller.js'

const CALLERS = 40
const ROUNDS = 15

const valuesOf = (result: { readonly rows: readonly unknown[] }): readonly unknown[] =>
  result.rows.map(row => (row as { readonly value: unknown }).value)

describe('many callers over few connections', () => {
  // 40 callers send requests concurrently, with prepared statements, transactions and large results,
  // while others disconnect during their requests. No answer may reach another caller.
  it('never receive an answer for another caller', () =>
    withProxy(4, async fixture => {
      const random = new SeededRandom(20)
      const work = Array.from({ length: CALLERS }, async (_, index) => {
        const client = await fixture.connect(index % 3 === 0 ? WRITE_CLASS : 'lookup')
        for (let round = 0; round < ROUNDS; round += 1) {
          const own = `${index}/${round}`
          const choice = Math.floor(random.next() * 4)
          if (choice === 0)
            expect(valuesOf(await client.query(`SELECT ${own}`))).toEqual([`SELECT ${own}`])
          else if (choice === 1) {
            const named = {
              name: `n${round % 3}`,
              text: `SELECT $1 AS n${round % 3}`,
              values: [own],
            }
            expect(valuesOf(await client.query(named))).toEqual([own])
          } else if (choice === 2) {
            const { rows } = await client.query('SELECT rows(50, 100)')
            expect(rows.length).toEqual(50)
          } else {
            await client.query('BEGIN')
            expect(valuesOf(await client.query('SELECT $1', [own]))).toEqual([own])
            await client.query(round % 2 === 0 ? 'COMMIT' : 'ROLLBACK')
          }
        }
      })
      const disconnects = Array.from({ length: 10 }, async (_, index) => {
        const caller = await RawCaller.connect(fixture.port)
        caller.send(query('BEGIN'), query(`SELECT leaver ${index}`), query('SELECT rows(500, 500)'))
        await new Promise(resolve => setTimeout(resolve, index))
        caller.disconnect()
      })
      await Promise.all([...work, ...disconnects])
      expect(fixture.backend.connections <= 4).toEqual(true)
    }))
})

describe('a cancel request', () => {
  it('cancels only the running statement', () =>
    withProxy(1, async fixture => {
      const client = await fixture.connect()
      const sleeping = client.query('SELECT pg_sleep(5000)')
      await waitUntil(() => fixture.backend.queries.some(sql => sql.includes('pg_sleep')))
      const { processID, secretKey } = client as unknown as Record<string, number>
      fixture.shell.cancel({ processId: processID ?? 0, secret: secretKey ?? 0 })
      await expect(sleeping).toBeRejectedWith(/canceling statement/)
      expect(valuesOf(await client.query('SELECT 1'))).toEqual(['SELECT 1'])
    }))

  it('is ignored if its secret is wrong', () =>
    withProxy(1, async fixture => {
      const client = await fixture.connect()
      const sleeping = client.query('SELECT pg_sleep(100)')
      const { processID } = client as unknown as Record<string, number>
      fixture.shell.cancel({ processId: processID ?? 0, secret: -1 })
      expect((await sleeping).rows.length).toEqual(1)
    }))

  it('immediately cancels a request that waits for a connection', () =>
    withProxy(1, async fixture => {
      const [first, second] = [await fixture.connect(), await fixture.connect()]
      const running = first.query('SELECT pg_sleep(100)')
      await waitUntil(() => fixture.backend.queries.some(sql => sql.includes('pg_sleep')))
      const waiting = second.query('SELECT 2')
      await waitUntil(
        () => fixture.core.messages.filter(each => each.kind === 'requestArrived').length === 2,
      )
      const { processID, secretKey } = second as unknown as Record<string, number>
      fixture.shell.cancel({ processId: processID ?? 0, secret: secretKey ?? 0 })
      await expect(waiting).toBeRejectedWith(/canceling statement/)
      expect((await running).rows.length).toEqual(1)
    }))

  // A statement ends by itself while its cancel request is on the way. The backend server processes the
  // cancel when the connection may already serve another caller, and would cancel that caller's statement.
  it('never cancels a statement of the next caller, even if it arrives late', () =>
    withProxy(1, async fixture => {
      fixture.backend.cancelDelayMilliseconds = 60
      const [first, second] = [await fixture.connect(), await fixture.connect()]
      const ending = first.query('SELECT pg_sleep(30)')
      await waitUntil(() => fixture.backend.queries.some(sql => sql.includes('pg_sleep')))
      const { processID, secretKey } = first as unknown as Record<string, number>
      fixture.shell.cancel({ processId: processID ?? 0, secret: secretKey ?? 0 })
      const next = second.query('SELECT pg_sleep(120)')
      expect((await ending).rows.length).toEqual(1)
      expect((await next).rows.length).toEqual(1)
    }))
})
