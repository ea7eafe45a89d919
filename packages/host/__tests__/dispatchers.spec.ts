import { createServer } from 'node:net'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { planDispatchers } from '@nutmegcourse/coordination'
import { freePorts } from '@nutmegcourse/stand-ins'
import type { Caller } from './support/caller.js'
import {
  A,
  B,
  P,
  SERVICE,
  withHostFixture,
  type FixtureHost,
  type HostFixture,
} from './support/hostFixture.js'

const ZONES = ['east-1', 'east-2', 'east-1', 'east-2', 'east-1', 'west-1', 'west-2', 'west-1']
const REGION_OF_ZONE = { 'east-1': 'east', 'east-2': 'east', 'west-1': 'west', 'west-2': 'west' }
const PER_REGION = 3

interface Fleet {
  readonly fixture: HostFixture
  /** By region: the dispatcher, then its standbys. */
  readonly east: readonly FixtureHost[]
  readonly west: readonly FixtureHost[]
  /** A host of the east that is no dispatcher. */
  readonly other: FixtureHost
}

/** The primary and one replica are in the east, the other replica is in the west. */
async function withFleet(
  scenario: (fleet: Fleet) => Promise<void>,
  serverZones = ['east-1', 'east-2', 'west-1'],
  connectionLimit = 25,
): Promise<void> {
  const options = {
    relayPorts: await freePorts(ZONES.length),
    zones: ZONES,
    regionOfZone: REGION_OF_ZONE,
    serverZones,
    schedulesSlots: true,
    connectionLimit,
  }
  const records = ZONES.map((zone, index) => {
    const region = zone.startsWith('east') ? 'east' : 'west'
    return [`host-${index + 1}`, { zone, region, relay: '127.0.0.1:1', weight: 1 }] as const
  })
  const plan = planDispatchers(SERVICE, new Map(records))
  await withHostFixture(
    ZONES.length,
    async (fixture, hosts) => {
      const named = (name: string): FixtureHost[] => hosts.filter(({ host }) => host.name === name)
      const east = (plan.get('east') ?? []).flatMap(named)
      const west = (plan.get('west') ?? []).flatMap(named)
      const used = serverZones.some(zone => zone.startsWith('west')) ? [...east, ...west] : east
      const isPlanned = (): boolean =>
        hosts.every(host => isOwner(host) === used.includes(host)) && used.every(knowsPrimary)
      await fixture.until(isPlanned, 'only the dispatchers own the service')
      const other = hosts.find(
        host => ZONES[hosts.indexOf(host)] === 'east-1' && !east.includes(host),
      )
      if (other === undefined) throw new Error('every host of the east is a dispatcher')
      await scenario({ fixture, east, west, other })
    },
    options,
  )
}

const isOwner = ({ host }: FixtureHost): boolean => host.find('own')?.service.isOwned === true
const knowsPrimary = ({ host }: FixtureHost): boolean => host.find('own')?.service.primary != null

const primaryOf = ({ host }: FixtureHost): string | undefined =>
  host.find('own')?.service.primary?.entry.server

/** A host that has just started replaces no silent primary, since its list may still lack live servers. */
const LIST_COMPLETE_AFTER_MILLISECONDS = 3000

const hasCompleteList = ({ host }: FixtureHost): boolean => {
  const listedAt = host.find('own')?.service.listing.firstListAt ?? Number.POSITIVE_INFINITY
  return performance.now() >= listedAt + LIST_COMPLETE_AFTER_MILLISECONDS
}

/** The connections to servers that a host has open or is opening. */
const held = ({ host }: FixtureHost): number =>
  host.find('own')?.service.servers.reduce((sum, { pool }) => sum + pool.size, 0) ?? 0

/** The outcomes of writes, one after the other. */
async function settledWrites(caller: Caller, span: number): Promise<string[]> {
  const outcomes: string[] = []
  const limit = performance.now() + span
  while (performance.now() < limit) outcomes.push(await caller.outcomeOf('write 1'))
  return outcomes
}

/** Counts the reads and writes that a host sends to servers, by server. */
function countStatements({ dialer }: FixtureHost): Map<string, number> {
  const counts = new Map<string, number>()
  dialer.hooks.onCommand = (server, command) => {
    if (command.kind === 'forward') counts.set(server, (counts.get(server) ?? 0) + 1)
    return 'none'
  }
  return counts
}

const total = (counts: ReadonlyMap<string, number>): number =>
  [...counts.values()].reduce((sum, each) => sum + each, 0)

describe('the dispatchers of a service', () => {
  // Guards against several queues in front of one server.
  it('all statements of a region reach its servers through one host', async () => {
    await withFleet(async ({ fixture, east, other }) => {
      const counts = new Map(fixture.hosts.map(host => [host, countStatements(host)]))
      for (const host of fixture.hosts) {
        const caller = await fixture.caller(host, 'own')
        for (const text of ['write 1', 'begin', 'write 1', 'commit']) {
          expect(await caller.outcomeOf(text)).toEqual('done')
        }
      }
      const reader = await fixture.caller(other, 'bounded')
      for (let reads = 0; reads < 5; reads += 1) await reader.outcomeOf('read 1')
      const senders = fixture.hosts.filter(host => total(counts.get(host) ?? new Map()) > 0)
      expect(senders.map(({ host }) => host.name)).toEqual([east[0]?.host.name ?? ''])
    })
  })

  it('reads of another region are served by its own dispatcher and replica', async () => {
    await withFleet(async ({ fixture, west }) => {
      const [dispatcher, standby] = west
      if (dispatcher === undefined || standby === undefined) throw new Error('no dispatcher')
      const counts = countStatements(dispatcher)
      const caller = await fixture.caller(standby, 'bounded')
      await fixture.until(() => hasBound(dispatcher), 'the dispatcher knows a bound')
      for (let reads = 0; reads < 5; reads += 1) {
        expect(await caller.outcomeOf('read 1')).toEqual('done')
      }
      expect([...counts.keys()]).toEqual([B])
    })
  })

  // Guards against hosts that use up the servers' connections without dispatching.
  it('a host that is no dispatcher opens no connection', async () => {
    await withFleet(async ({ fixture, other }) => {
      await fixture.until(() => held(other) === 0, 'the connections of the start are closed')
      const caller = await fixture.caller(other, 'own')
      for (let statements = 0; statements < 10; statements += 1) {
        expect(await caller.outcomeOf(statements % 2 === 0 ? 'write 1' : 'read 1')).toEqual('done')
        expect(held(other)).toEqual(0)
      }
    })
  })

  it('a region without servers is served by that of the servers', async () => {
    await withFleet(
      async ({ fixture, east, west }) => {
        const [far] = west
        if (far === undefined) throw new Error('no host in the west')
        expect(west.map(isOwner)).toEqual(Array<boolean>(PER_REGION).fill(false))
        const caller = await fixture.caller(far, 'bounded')
        const [dispatcher] = east
        const counts = dispatcher === undefined ? new Map() : countStatements(dispatcher)
        for (let reads = 0; reads < 5; reads += 1) await caller.outcomeOf('read 1')
        expect(total(counts)).toEqual(5)
      },
      ['east-1', 'east-2', 'east-2'],
    )
  })

  const failures: readonly (readonly [string, (host: FixtureHost) => void])[] = [
    [
      'crashes',
      ({ host }) => {
        host.close()
      },
    ],
    [
      'is cut off from the primary',
      host => {
        host.dialer.unreachable.add(P)
      },
    ],
    [
      'stops as planned',
      ({ host }) => {
        void host.stop()
      },
    ],
  ]
  for (const [what, fail] of failures) {
    // Guards against a region that waits for its dispatcher: the next in the plan must serve.
    it(`the dispatcher ${what}: the next one serves`, async () => {
      await withFleet(async ({ fixture, east, other }) => {
        const [first, second] = east
        if (first === undefined || second === undefined) throw new Error('no dispatchers')
        const caller = await fixture.caller(other, 'latest')
        expect(await caller.outcomeOf('write 1')).toEqual('done')
        const counts = countStatements(second)
        fail(first)
        let served = 0
        const limit = performance.now() + 1500
        while (performance.now() < limit) {
          if ((await caller.outcomeOf('write 1')) === 'done') served += 1
          await new Promise(resolve => setTimeout(resolve, 20))
        }
        expect(served > 20).toEqual(true)
        expect((counts.get(P) ?? 0) >= served - 1).toEqual(true)
        expect(fixture.group.promotions).toEqual(0)
      })
    })
  }

  // A frozen host's system accepts connections for it. Each reconnection sent it the statements of its region again.
  it('the dispatcher freezes: its region waits for it once, not at each reconnection', async () => {
    await withFleet(async ({ fixture, east, other }) => {
      const [first] = east
      const port = first === undefined ? 0 : fixture.relayPortOf(first)
      const caller = await fixture.caller(other, 'latest')
      expect(await caller.outcomeOf('read 1')).toEqual('done')
      first?.host.close()
      const frozen = createServer(() => undefined)
      await new Promise<void>(resolve => frozen.listen(port, '127.0.0.1', resolve))
      let late = 0
      const limit = performance.now() + 4000
      while (performance.now() < limit) {
        const startedAt = performance.now()
        expect(await caller.outcomeOf('read 1')).toEqual('done')
        if (performance.now() - startedAt > 200) late += 1
        await new Promise(resolve => setTimeout(resolve, 20))
      }
      expect(late <= 1).toEqual(true)
      frozen.close()
    })
  })

  // While no host reaches the primary, every dispatcher declined a write, and hosts that are none opened connections.
  it('the primary crashes: writes wait at a dispatcher, and other hosts open no connection', async () => {
    await withFleet(async ({ fixture, other }) => {
      const caller = await fixture.caller(other, 'own')
      await fixture.until(() => held(other) === 0, 'the connections of the start are closed')
      await fixture.until(() => fixture.hosts.every(hasCompleteList), 'all servers are known')
      fixture.crash(P)
      let most = 0
      const watch = setInterval(() => (most = Math.max(most, held(other))), 5)
      const outcomes = await settledWrites(caller, 2500)
      clearInterval(watch)
      expect([outcomes.at(-1), most, fixture.group.promotions]).toEqual(['done', 0, 1])
    })
  })

  it('the primary moves to another region: writes reach it through the dispatcher there', async () => {
    await withFleet(async ({ fixture, west, other }) => {
      const caller = await fixture.caller(other, 'own')
      await caller.outcomeOf('write 1')
      for (const server of [P, A]) fixture.listServer(server, { isLeaving: true })
      await fixture.until(() => fixture.group.server(B).role === 'primary', 'the primary moved')
      const [dispatcher] = west
      await fixture.until(
        () => primaryOf(other) === B || fixture.hosts.every(host => primaryOf(host) === B),
        'the move is known',
      )
      const counts =
        dispatcher === undefined ? new Map<string, number>() : countStatements(dispatcher)
      const outcomes = await settledWrites(caller, 300)
      expect(outcomes.at(-1)).toEqual('done')
      expect((counts.get(B) ?? 0) >= outcomes.length - 1).toEqual(true)
    })
  })

  // Guards against reads that wait in a region whose replica receives nothing, until their deadline.
  it('a read that the region’s replica can not serve reaches the region of the primary', async () => {
    await withFleet(async ({ fixture, east, west }) => {
      const [dispatcher, standby] = west
      const [primaryDispatcher] = east
      if (!dispatcher || !standby || !primaryDispatcher) throw new Error('no dispatchers')
      fixture.group.server(B).isReplicationBlocked = true
      const callers = await Promise.all(
        [dispatcher, standby].map(host => fixture.caller(host, 'own')),
      )
      const counts = countStatements(primaryDispatcher)
      for (const caller of callers) {
        expect(await caller.outcomeOf('write 1', `mine-${callers.indexOf(caller)}`)).toEqual('done')
        for (let reads = 0; reads < 10; reads += 1) {
          const { answer } = await caller.run('read 1')
          expect(answer.kind === 'rows').toEqual(true)
        }
      }
      const servedByPrimaryRegion = (counts.get(P) ?? 0) + (counts.get(A) ?? 0)
      expect(servedByPrimaryRegion >= 14).toEqual(true)
    })
  })

  // Reads that leave the region of a server that is left out would never show that it has recovered.
  it('the only replica of a region is left out: once it has recovered it gets reads again', async () => {
    await withFleet(
      async ({ fixture, west }) => {
        const [dispatcher, standby] = west
        if (!dispatcher || !standby) throw new Error('no dispatchers')
        const caller = await fixture.caller(standby, 'bounded')
        await fixture.until(() => hasBound(dispatcher), 'the dispatcher knows a bound')
        const readUntil = async (event: string): Promise<void> => {
          const limit = performance.now() + 4000
          while (!dispatcher.lines.some(line => line.event === event)) {
            if (performance.now() > limit) throw new Error(`no ${event} in 4 s`)
            expect(await caller.outcomeOf('read 1')).toEqual('done')
            await new Promise(resolve => setTimeout(resolve, 10))
          }
        }
        dispatcher.dialer.hooks.onCommand = (server, { kind }) =>
          server === B && kind === 'forward' ? 'failed' : 'none'
        await readUntil('server_ejected')
        const counts = countStatements(dispatcher)
        await readUntil('server_admitted')
        expect((counts.get(B) ?? 0) > 0).toEqual(true)
      },
      undefined,
      ZONES.length - 1,
    )
  })
})

const hasBound = ({ host }: FixtureHost): boolean =>
  Number.isFinite(host.find('own')?.service.bounds.newestAsOf ?? Number.NaN)
