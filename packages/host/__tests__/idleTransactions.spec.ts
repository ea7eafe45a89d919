import { connect } from 'node:net'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { freePorts } from '@nutmegcourse/stand-ins'
import { JsonRpcConnection } from '@nutmegcourse/transport'
import { RELAY_METHODS, type BeginMessage } from '../src/relayMessages.js'
import type { Caller } from './support/caller.js'
import {
  CONFIGURATION,
  withHostFixture,
  type FixtureHost,
  type HostFixture,
} from './support/hostFixture.js'

/** Of this limit a dispatcher holds 2 connections. */
const CONNECTION_LIMIT = 4
const HELD = 2
const SHORT_LIMIT_MILLISECONDS = 200

const wait = (span: number): Promise<void> => new Promise(resolve => setTimeout(resolve, span))

async function withHost(
  scenario: (fixture: HostFixture, host: FixtureHost, relayPort: number) => Promise<void>,
): Promise<void> {
  const relayPorts = await freePorts(1)
  await withHostFixture(
    1,
    async (fixture, [host]) => {
      if (host !== undefined) await scenario(fixture, host, relayPorts[0] ?? 0)
    },
    { connectionLimit: CONNECTION_LIMIT, relayPorts, schedulesSlots: true },
  )
}

async function configureShortLimit(fixture: HostFixture, { host }: FixtureHost): Promise<void> {
  const idleTransactionMilliseconds = SHORT_LIMIT_MILLISECONDS
  fixture.configure({ version: CONFIGURATION.version + 1, idleTransactionMilliseconds })
  await fixture.until(
    () => host.idleTransactionMilliseconds === idleTransactionMilliseconds,
    'the limit is in force',
  )
}

/** Callers with a transaction each, which together hold all connections to the primary. */
async function holdAllConnections(fixture: HostFixture, host: FixtureHost): Promise<Caller[]> {
  const callers: Caller[] = []
  for (let count = 0; count < HELD; count += 1) {
    const caller = await fixture.caller(host, 'latest')
    expect(await caller.outcomeOf('begin')).toEqual('done')
    expect(await caller.outcomeOf('write 1')).toEqual('done')
    callers.push(caller)
  }
  return callers
}

const endedForWaiters = ({ lines }: FixtureHost): FixtureHost['lines'] =>
  lines.filter(({ event }) => event === 'idle_transaction_ended_for_waiters')

describe('idle transactions that hold all connections of a server', () => {
  // Guards against waiting for a margin on top of the limit: another host that hangs holds transactions open, and the
  // statements of others ran out of time meanwhile.
  it('are ended as soon as their limit has passed if their host does not end them', async () => {
    await withHost(async (fixture, host, port) => {
      await configureShortLimit(fixture, host)
      const hanging = new JsonRpcConnection(connect(port, '127.0.0.1'), {})
      for (let count = 0; count < HELD; count += 1) {
        const begun = await hanging.request(RELAY_METHODS.begin, beginMessage(count), 1000)
        expect(begun.isOk()).toEqual(true)
      }
      const caller = await fixture.caller(host, 'latest')
      const askedAt = performance.now()
      expect(await caller.outcomeOf('write 1')).toEqual('done')
      const elapsed = performance.now() - askedAt
      expect([elapsed > SHORT_LIMIT_MILLISECONDS / 2, elapsed < 700]).toEqual([true, true])
      expect(endedForWaiters(host).length).toEqual(1)
      hanging.close()
    })
  })

  // The ended transaction's connection runs a transaction of another caller when the host that began the first one ends
  // it; that must not roll back the other caller's.
  it('are not ended a second time, on a connection that others use by then', async () => {
    await withHost(async (fixture, host, port) => {
      await configureShortLimit(fixture, host)
      const hanging = new JsonRpcConnection(connect(port, '127.0.0.1'), {})
      for (let count = 0; count < HELD; count += 1) {
        await hanging.request(RELAY_METHODS.begin, beginMessage(count), 1000)
      }
      const caller = await fixture.caller(host, 'latest')
      const begun = [await caller.outcomeOf('begin'), await caller.outcomeOf('write 1')]
      hanging.close()
      await wait(SHORT_LIMIT_MILLISECONDS / 4)
      expect([...begun, await caller.outcomeOf('commit')]).toEqual(['done', 'done', 'done'])
      expect(fixture.group.acknowledged.length).toEqual(1)
      expect(endedForWaiters(host).length).toEqual(1)
    })
  })

  // The limit was lowered while they were idle, so their own timers are later.
  it('are ended longest idle first, one for one waiter, and their callers hear of it', async () => {
    await withHost(async (fixture, host) => {
      const [first, second] = await holdAllConnections(fixture, host)
      await wait(2 * SHORT_LIMIT_MILLISECONDS)
      await configureShortLimit(fixture, host)
      const caller = await fixture.caller(host, 'latest')
      expect(await caller.outcomeOf('write 1')).toEqual('done')
      expect(endedForWaiters(host).length).toEqual(1)
      expect(await second?.outcomeOf('commit')).toEqual('done')
      expect(await first?.outcomeOf('write 2')).toEqual('aborted')
      expect(await first?.outcomeOf('read 1')).toEqual('malformed')
      expect(await first?.outcomeOf('rollback')).toEqual('done')
      expect(await first?.outcomeOf('write 3')).toEqual('done')
    })
  })

  // A statement runs in the transaction that is open for longest.
  it('go on while a statement runs in them', async () => {
    await withHost(async (fixture, host) => {
      const [first, second] = await holdAllConnections(fixture, host)
      await wait(2 * SHORT_LIMIT_MILLISECONDS)
      await configureShortLimit(fixture, host)
      const caller = await fixture.caller(host, 'latest')
      fixture.dialer.hooks.workMilliseconds = 150
      const running = first?.outcomeOf('write 2')
      const waiting = caller.outcomeOf('write 1')
      expect(await running).toEqual('done')
      expect(await first?.outcomeOf('commit')).toEqual('done')
      expect(await waiting).toEqual('done')
      expect(await second?.outcomeOf('commit')).toEqual('aborted')
      expect(endedForWaiters(host).length).toEqual(1)
    })
  })

  it('go on while no one waits for a connection', async () => {
    await withHost(async (fixture, host) => {
      const callers = await holdAllConnections(fixture, host)
      await wait(2 * SHORT_LIMIT_MILLISECONDS)
      await configureShortLimit(fixture, host)
      await wait(SHORT_LIMIT_MILLISECONDS)
      for (const each of callers) expect(await each.outcomeOf('commit')).toEqual('done')
      expect(endedForWaiters(host).length).toEqual(0)
    })
  })
})

function beginMessage(count: number): BeginMessage {
  const route = CONFIGURATION.routes.find(({ database }) => database === 'latest')
  if (route === undefined) throw new Error('the fixture has no route for the database "latest"')
  return {
    request: {
      route: { number: 1, route },
      customer: null,
      id: `of-another-host-${String(count)}`,
      text: 'WRITE 1',
      body: { kind: 'write' },
      isWrite: true,
      values: [],
      prepared: null,
      own: null,
      remaining: 800,
    },
    readOnly: false,
  }
}
