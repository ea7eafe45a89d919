/** The shipped binary: it starts, follows its agent, and stops without cutting anything in flight. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { WRITE_CLASS } from './support/proxyFixture.js'
import { RawCaller, waitUntil, query } from './support/rawCaller.js'
import { withProxyProcess } from './support/proxyProcessFixture.js'

const DRAIN_TIMEOUT_MILLISECONDS = 5000

describe('the proxy as a process', () => {
  it('serves reads and writes by the snapshot of its agent', () =>
    withProxyProcess(DRAIN_TIMEOUT_MILLISECONDS, async proxy => {
      for (const name of ['lookup', WRITE_CLASS]) {
        const client = await proxy.connect(name)
        expect((await client.query('SELECT $1', [name])).rows as unknown).toEqual([{ value: name }])
        await client.end()
      }
    }))

  it('goes on without its agent, and answers the agent once it is back', () =>
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

  // An entry host is replaced at noon. A foreman's statement runs, another is between BEGIN and COMMIT, a
  // third is idle. Whoever has something in flight must get its whole answer; the idle one is told to go.
  it('finishes what runs, lets transactions end, and tells idle callers', () =>
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

  // The operators' tool asks twice for the stop, the second time while a statement runs. The second
  // signal found no listener any more and ended the process under the statement: exit code null.
  it('does not end sooner when it is told twice to stop', () =>
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

  // Judges enter scores without pause while their entry host is replaced. Each score is answered, or refused
  // as not run; one that was refused and is there all the same would be entered a second time.
  it('under load answers each write or refuses it as not run, truly', () =>
    withProxyProcess(DRAIN_TIMEOUT_MILLISECONDS, async proxy => {
      const acknowledged = new Set<string>()
      const refused = new Map<string, string>()
      const judges = Array.from({ length: 20 }, async (_, judge) => {
        const client = await proxy.connect(WRITE_CLASS)
        const connection = { told: false }
        client.on('error', () => {
          connection.told = true
        })
        for (let score = 0; !connection.told; score += 1) {
          const id = `${judge}/${score}`
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
      await Promise.all(judges)
      expect([...refused.values()].filter(code => code !== '57P01')).toEqual([])
      expect(new Set(proxy.backend.inserted)).toEqual(acknowledged)
      expect(proxy.backend.inserted.length).toEqual(acknowledged.size)
    }))

  it('cuts what does not end within the drain timeout, and says so by its exit code', () =>
    withProxyProcess(200, async proxy => {
      const caller = await RawCaller.connect(proxy.port, WRITE_CLASS)
      caller.send(query('BEGIN'))
      await caller.untilReady()
      expect(await proxy.terminate()).toEqual(1)
      await caller.until(() => caller.closed)
    }))
})
