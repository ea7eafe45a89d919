/** Many callers over few connections: each gets its own answers whole, and nothing of another's. */
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
  // Forty foremen ask at once, some with prepared statements, some inside transactions, some for many rows,
  // while others leave in the middle. A single answer that reaches the wrong one is a wrong assignment.
  it('never get an answer of one another', () =>
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
      const leavers = Array.from({ length: 10 }, async (_, index) => {
        const caller = await RawCaller.connect(fixture.port)
        caller.send(query('BEGIN'), query(`SELECT leaver ${index}`), query('SELECT rows(500, 500)'))
        await new Promise(resolve => setTimeout(resolve, index))
        caller.disconnect()
      })
      await Promise.all([...work, ...leavers])
      expect(fixture.backend.connections <= 4).toEqual(true)
    }))
})

describe('a cancel request', () => {
  it('ends the statement that runs, and nothing else', () =>
    withProxy(1, async fixture => {
      const client = await fixture.connect()
      const sleeping = client.query('SELECT pg_sleep(5000)')
      await waitUntil(() => fixture.backend.queries.some(sql => sql.includes('pg_sleep')))
      const { processID, secretKey } = client as unknown as Record<string, number>
      fixture.shell.cancel({ processId: processID ?? 0, secret: secretKey ?? 0 })
      await expect(sleeping).toBeRejectedWith(/canceling statement/)
      expect(valuesOf(await client.query('SELECT 1'))).toEqual(['SELECT 1'])
    }))

  it('with the wrong secret does nothing', () =>
    withProxy(1, async fixture => {
      const client = await fixture.connect()
      const sleeping = client.query('SELECT pg_sleep(100)')
      const { processID } = client as unknown as Record<string, number>
      fixture.shell.cancel({ processId: processID ?? 0, secret: -1 })
      expect((await sleeping).rows.length).toEqual(1)
    }))

  it('of a request that still waits for a connection answers it at once', () =>
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

  // A supervisor cancels a statement that ends by itself at that very moment. The backend server takes the
  // cancel late, when the connection serves the next supervisor already, and cancels that one's statement.
  it('that comes late never hits the next caller', () =>
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
