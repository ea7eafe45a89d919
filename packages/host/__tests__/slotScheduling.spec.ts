import { describe, it } from 'node:test'
import { expect } from 'earl'
import { customerName, digestOfKey } from '@nutmegcourse/shared'
import type { Customer } from '@nutmegcourse/protocol'
import { freePorts } from '@nutmegcourse/stand-ins'
import {
  CONFIGURATION,
  P,
  withHostFixture,
  type FixtureHost,
  type HostFixture,
} from './support/hostFixture.js'

/** Of the servers in the fixture. */
const SLOTS = 3
const WORK_MILLISECONDS = 20

const HIGHEST = { ...CONFIGURATION.routes[0], name: 'r-highest', database: 'highest', priority: 0 }
const ROUTES = [...CONFIGURATION.routes, HIGHEST] as typeof CONFIGURATION.routes

const customer = (name: string, priority: number): Customer => ({
  name: customerName(name),
  keys: [digestOfKey(`key-of-${name}`)],
  priority,
  limit: null,
})

async function withScheduledHost(
  scenario: (fixture: HostFixture, host: FixtureHost) => Promise<void>,
): Promise<void> {
  const customers = [customer('alfa', 0), customer('bravo', 0)]
  await withHostFixture(
    1,
    async (fixture, [host]) => {
      if (host === undefined) return
      fixture.configure({ version: 2, routes: ROUTES, customers })
      await fixture.until(() => host.host.find('highest') !== null, 'the route is known')
      fixture.dialer.hooks.workMilliseconds = WORK_MILLISECONDS
      await scenario(fixture, host)
    },
    { customers, schedulesSlots: true, connectionLimit: 40 },
  )
}

/** Keeps `count` callers busy with one statement after the other until the returned function is called. */
async function keepBusy(
  fixture: HostFixture,
  host: FixtureHost,
  { count, database, key }: { count: number; database: string; key: string },
): Promise<() => Promise<string[]>> {
  let isOver = false
  const outcomes: string[] = []
  const work = Array.from({ length: count }, async () => {
    const caller = await fixture.caller(host, database, key)
    while (!isOver) {
      const outcome = await caller.outcomeOf('write 1')
      outcomes.push(outcome)
      if (outcome !== 'done') await new Promise(resolve => setTimeout(resolve, WORK_MILLISECONDS))
    }
  })
  await new Promise(resolve => setTimeout(resolve, 300))
  return async () => {
    isOver = true
    await Promise.all(work)
    return outcomes
  }
}

describe('a host that schedules slots', () => {
  const cases: readonly (readonly [string, { database: string; key: string }])[] = [
    ['burst of the lower class', { database: 'highest', key: 'key-of-alfa' }],
    ['hot customer', { database: 'latest', key: 'key-of-bravo' }],
  ]
  for (const [pattern, waiting] of cases) {
    it(`serves the others within a few statements: ${pattern}`, async () => {
      await withScheduledHost(async (fixture, host) => {
        const stop = await keepBusy(fixture, host, {
          count: 8 * SLOTS,
          database: 'latest',
          key: 'key-of-alfa',
        })
        const caller = await fixture.caller(host, waiting.database, waiting.key)
        const askedAt = performance.now()
        const outcome = await caller.outcomeOf('write 1')
        const elapsed = performance.now() - askedAt
        const others = await stop()
        const target = CONFIGURATION.routes[0]?.latencyTargetMilliseconds ?? 0
        expect([outcome, elapsed < target]).toEqual(['done', true])
        expect(others.filter(each => each === 'done').length > 0).toEqual(true)
      })
    })
  }

  it('lets a transaction go on while new work waits', async () => {
    await withScheduledHost(async (fixture, host) => {
      const transaction = await fixture.caller(host, 'latest', 'key-of-alfa')
      expect([
        await transaction.outcomeOf('begin'),
        await transaction.outcomeOf('write 1'),
      ]).toEqual(['done', 'done'])
      const stop = await keepBusy(fixture, host, {
        count: 8 * SLOTS,
        database: 'highest',
        key: 'key-of-bravo',
      })
      expect([
        await transaction.outcomeOf('write 2'),
        await transaction.outcomeOf('commit'),
      ]).toEqual(['done', 'done'])
      await stop()
    })
  })

  // Guards against writes that were sent, one after the other as slots became free, to a primary that had stopped
  // confirming writes while they waited: each caller was left with an unknown outcome.
  it('does not send writes that waited while it became doubtful that they would be confirmed', async () => {
    await withScheduledHost(async (fixture, host) => {
      const write = async (): Promise<string> =>
        (await fixture.caller(host, 'latest', 'key-of-alfa')).outcomeOf('write 1')
      const writes = (): Promise<string>[] => Array.from({ length: SLOTS }, write)
      expect(await write()).toEqual('done')
      fixture.dialer.hooks.onCommand = (server, { kind }) =>
        server === P && kind === 'forward' ? 'lostBefore' : 'none'
      const sent = writes()
      await new Promise(resolve => setTimeout(resolve, 5 * WORK_MILLISECONDS))
      const waiting = writes()
      expect(new Set(await Promise.all(sent))).toEqual(new Set(['outcomeUnknown']))
      const outcomes = await Promise.all(waiting)
      // One may be sent, to learn whether writes are confirmed again.
      expect(outcomes.filter(outcome => outcome === 'notRun').length >= SLOTS - 1).toEqual(true)
    })
  })

  // Guards against a server that was given more slots, of which most stay unused.
  it('uses the slots of a server of which the directory says that it has more now', async () => {
    await withScheduledHost(async (fixture, { host }) => {
      const limit = (): number | undefined =>
        host.slotStatus?.servers.find(({ server }) => server === P)?.limit
      expect(limit()).toEqual(SLOTS)
      fixture.listServer(P, { slots: 4 * SLOTS })
      await fixture.until(() => limit() === 4 * SLOTS, 'the slots are known')
    })
  })

  // Guards against a standstill: new work holds all slots and waits for the connections of transactions, and these wait
  // for a slot, until the statements have run out of time.
  it('lets transactions go on while new work waits for their connections', async () => {
    const heldByDispatcher = 2
    const scenario = async (fixture: HostFixture, host: FixtureHost): Promise<void> => {
      const transactions = []
      for (let count = 0; count < heldByDispatcher; count += 1) {
        const caller = await fixture.caller(host, 'latest')
        expect(await caller.outcomeOf('begin')).toEqual('done')
        expect(await caller.outcomeOf('write 1')).toEqual('done')
        transactions.push(caller)
      }
      const newcomers = []
      for (let count = 0; count < SLOTS; count += 1) {
        const caller = await fixture.caller(host, 'latest')
        newcomers.push(caller.outcomeOf('write 2'))
      }
      await new Promise(resolve => setTimeout(resolve, WORK_MILLISECONDS))
      const askedAt = performance.now()
      const commits = await Promise.all(transactions.map(caller => caller.outcomeOf('commit')))
      const elapsed = performance.now() - askedAt
      const target = CONFIGURATION.routes[0]?.latencyTargetMilliseconds ?? 0
      expect([...commits, ...(await Promise.all(newcomers)), elapsed < target]).toEqual([
        ...transactions.map(() => 'done'),
        ...newcomers.map(() => 'done'),
        true,
      ])
    }
    const relayPorts = await freePorts(1)
    await withHostFixture(
      1,
      async (fixture, [host]) => {
        if (host !== undefined) await scenario(fixture, host)
      },
      { connectionLimit: 2 * heldByDispatcher, relayPorts, schedulesSlots: true },
    )
  })
})
