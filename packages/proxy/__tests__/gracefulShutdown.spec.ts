/** The proxy binary: startup, snapshots from its agent, and graceful shutdown with requests in flight. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { WRITE_CLASS } from './support/proxyFixture.js'
import { RawCaller, waitUntil, query } from './support/rawCaller.js'
import { withProxyProcess } from './support/proxyProcessFixture.js'

const DRAIN_TIMEOUT_MILLISECONDS = 5000

describe('the proxy as a process', () => {
  it('serves reads and writes according to the snapshot of its agent', () =>
    withProxyProcess(DRAIN_TIMEOUT_MILLISECONDS, async proxy => {
      for (const name of ['lookup', WRITE_CLASS]) {
        const client = await proxy.connect(name)
        expect((await client.query('SELECT $1', [name])).rows as unknown).toEqual([{ value: name }])
        await client.end()
      }
    }))

  it('keeps serving without its agent, and answers the agent after reconnecting', () =>
    withProxyProcess(DRAIN_TIMEOUT_MILLISECONDS, async proxy => {
      const client = await proxy.connect()
      await client.query('SELECT 1')
      const [lost] = proxy.links
      lost?.close()
      expect((await client.query('SELECT 2')).rows.length).toEqual(1)
      await waitUntil(() => proxy.links.size === 1 && !proxy.links.has(lost as never))
      const [link] = proxy.links
      const status = await link?.request('proxy.status', {}, DRAIN_TIMEOUT_MILLISECONDS)
      expect(status?.isOk()).toEqual(true)
      const question = { kind: 'database', database: 'harbour' }
      expect(
        (await link?.request('proxy.explain', question, DRAIN_TIMEOUT_MILLISECONDS))?.isOk(),
      ).toEqual(true)
      await client.end()
    }))

  // An entry host shuts down while one caller runs a statement, another is between BEGIN and COMMIT, and
  // a third is idle. Work in flight must be completed; only the idle caller is disconnected at once.
  it('finishes running statements and open transactions, and closes idle connections with 57P01', () =>
    withProxyProcess(DRAIN_TIMEOUT_MILLISECONDS, async proxy => {
      const running = await proxy.connect()
      const inTransaction = await proxy.connect(WRITE_CLASS)
      const idle = await RawCaller.connect(proxy.port)
      await inTransaction.query('BEGIN')
      const slow = running.query('SELECT pg_sleep(400)')
      await waitUntil(() => proxy.backend.queries.some(sql => sql.includes('pg_sleep')))
      const exit = proxy.terminate()
      await idle.until(() => idle.closed)
      expect(idle.text.includes('C57P01\0')).toEqual(true)
      expect((await slow).rows.length).toEqual(1)
      await inTransaction.query("INSERT 'last words'")
      await inTransaction.query('COMMIT')
      expect(await exit).toEqual(0)
      expect(proxy.backend.inserted.length).toEqual(1)
    }))

  // A tool sends SIGTERM twice, the second time while a statement runs. Without a listener the second
  // signal would terminate the process during the statement, with exit code null.
  it('finishes running statements even if it receives SIGTERM twice', () =>
    withProxyProcess(DRAIN_TIMEOUT_MILLISECONDS, async proxy => {
      const client = await proxy.connect()
      const slow = client.query('SELECT pg_sleep(600)')
      await waitUntil(() => proxy.backend.queries.some(sql => sql.includes('pg_sleep')))
      const first = proxy.terminate()
      await new Promise(resolve => setTimeout(resolve, 100))
      const second = proxy.terminate()
      expect((await slow).rows.length).toEqual(1)
      expect([await first, await second]).toEqual([0, 0])
    }))

  // Callers write continuously while their entry host shuts down. A write that is refused as not run but
  // was applied would be applied a second time by the caller's retry.
  it('acknowledges each applied write when stopped under load, and refuses every other as not run', () =>
    withProxyProcess(DRAIN_TIMEOUT_MILLISECONDS, async proxy => {
      const acknowledged = new Set<string>()
      const refused = new Map<string, string>()
      const writers = Array.from({ length: 20 }, async (_, writer) => {
        const client = await proxy.connect(WRITE_CLASS)
        const connection = { failed: false }
        client.on('error', () => {
          connection.failed = true
        })
        for (let sequence = 0; !connection.failed; sequence += 1) {
          const id = `${writer}/${sequence}`
          try {
            await client.query('INSERT $1', [id])
            acknowledged.add(id)
          } catch (error) {
            refused.set(id, (error as { readonly code?: string }).code ?? String(error))
            return
          }
        }
      })
      await waitUntil(() => proxy.backend.inserted.length > 200)
      expect(await proxy.terminate()).toEqual(0)
      await Promise.all(writers)
      expect([...refused.values()].filter(code => code !== '57P01')).toEqual([])
      expect(new Set(proxy.backend.inserted)).toEqual(acknowledged)
      expect(proxy.backend.inserted.length).toEqual(acknowledged.size)
    }))

  it('closes what is open after the drain timeout, and exits with code 1', () =>
    withProxyProcess(200, async proxy => {
      const caller = await RawCaller.connect(proxy.port, WRITE_CLASS)
      caller.send(query('BEGIN'))
      await caller.untilReady()
      expect(await proxy.terminate()).toEqual(1)
      await caller.until(() => caller.closed)
    }))
})
