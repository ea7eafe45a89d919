import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import type { StoreWatchResult } from '@nutmegcourse/protocol'
import { openJsonRpc, type JsonRpcConnection } from '@nutmegcourse/transport'
import {
  HostListServer,
  hostListSettingsSchema,
  StoreServer,
  storeSettingsSchema,
} from '../src/index.js'
import { eventually } from './testGroup.js'

const SHORT_WAIT_MILLISECONDS = 100
const LONG_WAIT_MILLISECONDS = 5000

describe('store', () => {
  const server = new StoreServer(storeSettingsSchema.parse({ answerMilliseconds: 0 }))
  let connection: JsonRpcConnection
  before(async () => {
    connection = (
      await openJsonRpc('127.0.0.1', await server.start(), {}, LONG_WAIT_MILLISECONDS)
    )._unsafeUnwrap()
  })
  after(() => {
    connection.close()
    server.stop()
  })

  const call = async (
    method: string,
    params: unknown,
    wait = LONG_WAIT_MILLISECONDS,
  ): Promise<unknown> =>
    (await connection.request(method, params, wait)).match(
      answer => answer,
      error => error.kind,
    )
  const swap = (
    key: string,
    expectedRevision: number,
    value: unknown,
    wait?: number,
  ): Promise<unknown> => call('store.compareAndSwap', { key, expectedRevision, value }, wait)

  it('swaps only when the revision is the expected one', async () => {
    expect(await swap('a', 0, 'first')).toEqual({ succeeded: true, revision: 1 })
    expect(await swap('a', 0, 'second')).toEqual({
      succeeded: false,
      current: { key: 'a', revision: 1, value: 'first' },
    })
    expect(await swap('a', 1, 'second')).toEqual({ succeeded: true, revision: 2 })
  })

  it('answers a waiting watch when a key of its prefix changes', async () => {
    const params = {
      prefix: 'watched/',
      afterRevision: 2,
      waitMilliseconds: LONG_WAIT_MILLISECONDS,
    }
    const watching = call('store.watch', params)
    await swap('other', 0, 1)
    await swap('watched/x', 0, 1)
    expect(((await watching) as StoreWatchResult).changed.map(stored => stored.key)).toEqual([
      'watched/x',
    ])
  })

  it('answers a watch without changes after its wait time', async () => {
    const params = { prefix: 'silent/', afterRevision: 0, waitMilliseconds: 20 }
    expect(((await call('store.watch', params)) as StoreWatchResult).changed).toEqual([])
  })

  it('removes the keys of an expired lease and reports them to watchers', async () => {
    const { leaseId } = (await call('store.grantLease', { timeToLiveMilliseconds: 60 })) as {
      leaseId: string
    }
    await call('store.compareAndSwap', { key: 'leased/x', expectedRevision: 0, value: 1, leaseId })
    expect(await call('store.keepAlive', { leaseId })).toEqual({ alive: true })
    const { revision } = (await call('store.list', { prefix: '' })) as { revision: number }
    const params = {
      prefix: 'leased/',
      afterRevision: revision,
      waitMilliseconds: LONG_WAIT_MILLISECONDS,
    }
    expect(((await call('store.watch', params)) as StoreWatchResult).removedKeys).toEqual([
      'leased/x',
    ])
    expect(await call('store.keepAlive', { leaseId })).toEqual({ alive: false })
  })

  it('refuses a value over a megabyte', async () => {
    expect(await swap('large', 0, 'x'.repeat(1024 * 1024))).toEqual('remote')
  })

  /** The call of the writer times out although the store kept the value; a read must return it. */
  it('carries out a swap without answering it when its answer is set to be lost', async () => {
    await call('fault.set', { loseNextAnswers: 1 })
    expect(await swap('lost', 0, 'kept', SHORT_WAIT_MILLISECONDS)).toEqual('answerTimeout')
    expect((await call('store.get', { key: 'lost' })) as { value: string }).toEqual(
      expect.subset({ value: 'kept' }),
    )
  })

  it('answers nothing and does nothing in an outage', async () => {
    await call('fault.set', { outage: true })
    expect(await swap('out', 0, 1, SHORT_WAIT_MILLISECONDS)).toEqual('answerTimeout')
    await call('fault.set', { outage: false })
    expect(await call('store.get', { key: 'out' })).toEqual(null)
  })

  it('counts each watch as one call', async () => {
    expect(((await call('calls.count', {})) as Record<string, number>).watch).toEqual(3)
  })
})

describe('host list', () => {
  const server = new HostListServer(
    hostListSettingsSchema.parse({ zones: ['near', 'far'], lagMilliseconds: 50 }),
  )
  const host = {
    kind: 'entryHost',
    id: 'h',
    address: '127.0.0.1',
    port: 1,
    zone: 'near',
    region: 'r',
    state: 'live',
  }
  const connections: JsonRpcConnection[] = []
  after(() => {
    for (const connection of connections) connection.close()
    server.stop()
  })
  const call = async (port: number, method: string, params: unknown): Promise<unknown> => {
    const connection = (
      await openJsonRpc('127.0.0.1', port, {}, LONG_WAIT_MILLISECONDS)
    )._unsafeUnwrap()
    connections.push(connection)
    return (await connection.request(method, params, LONG_WAIT_MILLISECONDS))._unsafeUnwrap()
  }

  it('reports changes after the lag and gives each zone its own addresses', async () => {
    const { port, zonePorts } = await server.start()
    const routes = [{ zone: 'far', hostId: 'h', address: '127.0.0.1', port: 2 }]
    await call(port, 'hosts.set', { hosts: [host], routes, immediate: true })
    expect(await call(zonePorts.near ?? 0, 'hosts.list', {})).toEqual({ version: 1, hosts: [host] })
    expect(await call(zonePorts.far ?? 0, 'hosts.list', {})).toEqual({
      version: 1,
      hosts: [{ ...host, port: 2 }],
    })
    const leaving = { ...host, state: 'leaving' }
    await call(port, 'hosts.set', { hosts: [leaving] })
    expect(await call(port, 'hosts.list', {})).toEqual({ version: 1, hosts: [host] })
    await eventually(async () => {
      expect(await call(port, 'hosts.list', {})).toEqual({ version: 2, hosts: [leaving] })
    })
  })
})
