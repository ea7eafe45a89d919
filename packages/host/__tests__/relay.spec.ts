import { describe, it } from 'node:test'
import { expect } from 'earl'
import { planDispatchers } from '@nutmegcourse/coordination'
import { freePorts } from '@nutmegcourse/stand-ins'
import type { Caller } from './support/caller.js'
import {
  P,
  SERVICE,
  withHostFixture,
  type HostFixture,
  type FixtureHost,
} from './support/hostFixture.js'

/** Too few connections to divide among three hosts, so one host holds all of them. */
const CONNECTION_LIMIT = 5

/** Whether the line reports that a host without any connection to a server failed to open one. */
const isDenied = ({ event, fields }: FixtureHost['lines'][number]): boolean =>
  event === 'connection_not_opened' && fields.held === 0

type Scenario = (fixture: HostFixture, owner: FixtureHost, other: FixtureHost) => Promise<void>

async function withOneHolder(scenario: Scenario): Promise<void> {
  const options = { connectionLimit: CONNECTION_LIMIT, relayPorts: await freePorts(3) }
  await withHostFixture(
    3,
    async (fixture, hosts) => {
      const owners = () => hosts.filter(({ host }) => host.find('own')?.service.isOwned === true)
      await fixture.until(() => owners().length === 1, 'one host owns the service')
      const [owner] = owners()
      const other = hosts.find(each => each !== owner)
      if (owner === undefined || other === undefined) throw new Error('no owner')
      await scenario(fixture, owner, other)
    },
    options,
  )
}

/** Three of the four hosts are dispatchers; the first of them runs all statements. */
async function withDispatcher(scenario: Scenario): Promise<void> {
  const options = {
    connectionLimit: CONNECTION_LIMIT,
    relayPorts: await freePorts(4),
    schedulesSlots: true,
  }
  await withHostFixture(
    4,
    async (fixture, hosts) => {
      const record = { zone: 'zone-1', region: 'region-1', relay: '127.0.0.1:1', weight: 1 }
      const records = new Map(hosts.map(({ host }) => [host.name, record]))
      const dispatchers = planDispatchers(SERVICE, records).get('region-1') ?? []
      const isPlanned = (): boolean =>
        hosts.every(
          ({ host }) => host.find('own')?.service.isOwned === dispatchers.includes(host.name),
        )
      await fixture.until(isPlanned, 'the dispatchers own the service')
      const owner = hosts.find(({ host }) => host.name === dispatchers[0])
      const other = hosts.find(({ host }) => !dispatchers.includes(host.name))
      if (owner === undefined || other === undefined) throw new Error('no dispatcher')
      await scenario(fixture, owner, other)
    },
    options,
  )
}

describe('a host that can not reach the primary', () => {
  // A network partition separates one host from the primary; the others reach it. The writes of this host's callers
  // must be relayed through them, without a change of primary, which would cut the others off from the new one.
  it('relays writes through hosts that reach the primary, without a change of primary', async () => {
    await withHostFixture(
      3,
      async (fixture, [host]) => {
        if (host === undefined) return
        const caller = await fixture.caller(host, 'own')
        fixture.partition(host, P)
        let served = 0
        const limit = performance.now() + 4000
        while (performance.now() < limit) {
          if ((await caller.outcomeOf('write 1')) === 'done') served += 1
          await new Promise(resolve => setTimeout(resolve, 40))
        }
        expect(served > 40).toEqual(true)
        expect(fixture.group.promotions).toEqual(0)
        const outcomes = [await caller.outcomeOf('begin'), await caller.outcomeOf('write 2')]
        expect([...outcomes, await caller.outcomeOf('commit')]).toEqual(['done', 'done', 'done'])
      },
      { relayPorts: await freePorts(3) },
    )
  })
})

const OWNERS = [
  ['fewer connections than hosts', withOneHolder],
  ['a dispatcher', withDispatcher],
] as const

for (const [what, withOneOwner] of OWNERS) {
  describe(`a service with ${what}`, () => {
    // An owner registers again because its lease expired, or removes its record because it is to stop. Meanwhile it still
    // runs relayed statements. The other hosts closed their connections to it on receiving the change, and refused the
    // pending writes with an unknown outcome, 39 of them in one recovery from a store outage.
    const recordChanges: readonly (readonly [
      string,
      (fixture: HostFixture, owner: string) => void,
    ])[] = [
      [
        'registers again',
        ({ store }, owner) => {
          const key = `host/${owner}`
          const value = store.record(key)?.value ?? ''
          store.change({ expected: [], puts: [{ key, value, lease: 0 }], removes: [] })
        },
      ],
      [
        'removes its record',
        ({ store }, owner) => {
          store.revoke(`host/${owner}`)
        },
      ],
    ]
    for (const [what, change] of recordChanges) {
      it(`answers pending statements although its owner ${what}`, async () => {
        await withOneOwner(async (fixture, owner, other) => {
          const caller = await fixture.caller(other, 'own')
          await caller.outcomeOf('write 1')
          // After the changes of the start, further ones are batched for a second; wait until that is over.
          await new Promise(resolve => setTimeout(resolve, 1200))
          fixture.dialer.hooks.workMilliseconds = 300
          const asked = caller.outcomeOf('write 2')
          await new Promise(resolve => setTimeout(resolve, 50))
          change(fixture, owner.host.name)
          expect(await asked).toEqual('done')
        })
      })
    }

    it('is served on every host through the one that holds the connections', async () => {
      await withOneOwner(async (fixture, _owner, other) => {
        const caller = await fixture.caller(other, 'own')
        const outcomes: string[] = []
        const statements = [
          'set colour red',
          'prepare s write',
          'execute s 1',
          'read 1',
          'begin',
          'write 1',
        ]
        for (const text of [...statements, 'read 2', 'commit', 'begin', 'rollback', 'read 1']) {
          outcomes.push(await caller.outcomeOf(text))
        }
        expect(outcomes.filter(outcome => outcome !== 'done')).toEqual([])
        expect(fixture.group.acknowledged.length).toEqual(2)
        const held = [...fixture.dialer.links].filter(link => link.isOpen && link.values.size > 0)
        expect(held.every(link => link.values.get('colour') === 'red')).toEqual(true)
      })
    })

    // A session writes and then reads through the owner. The position of its own write must be kept by the session's
    // host, whichever owner serves the next statement.
    it('preserves the position of a session’s own write across the relay', async () => {
      await withOneOwner(async (fixture, _owner, other) => {
        const caller = await fixture.caller(other, 'own')
        for (const server of fixture.group.servers.values()) {
          if (server.role === 'replica' && server.id !== 'i-b') server.isReplicationBlocked = true
        }
        await caller.outcomeOf('write 1', 'mine')
        for (let reads = 0; reads < 4; reads += 1) {
          const { answer } = await caller.run('read 1')
          expect(answer.kind === 'rows' && answer.rows[0]).toEqual('mine')
        }
      })
    })

    /**
     * In each case the host that holds the connections crashes. A transaction that it ran must be aborted, the outcome of
     * a write or commit in flight must be unknown, and the next statement must be served by another host.
     */
    const crashes: readonly (readonly [string, readonly string[], string, string])[] = [
      ['inside a transaction', ['begin', 'write 1'], 'write 2', 'aborted'],
      ['during a commit', ['begin', 'write 1'], 'commit', 'outcomeUnknown'],
      ['during a write', [], 'write 1', 'outcomeUnknown'],
      ['during a read', [], 'read 1', 'done'],
    ]
    for (const [name, before, text, expected] of crashes) {
      it(`answers correctly when its owner crashes ${name}`, async () => {
        await withOneOwner(async (fixture, owner, other) => {
          const caller = await fixture.caller(other, 'own')
          for (const each of before) expect(await caller.outcomeOf(each)).toEqual('done')
          fixture.dialer.hooks.onCommand = (_server, command) => {
            if (command.kind !== 'forward' || command.id !== 'x') return 'none'
            delete fixture.dialer.hooks.onCommand
            owner.host.close()
            return 'lostBefore'
          }
          expect(await caller.outcomeOf(text, 'x')).toEqual(expected)
          if (expected === 'aborted') await caller.outcomeOf('rollback')
          expect(await caller.outcomeOf('read 1')).toEqual('done')
        })
      })
    }

    // The owner stops as planned. Hosts that relay to it must switch to another host without refusing a statement.
    it('is served without refusals when its owner stops', async () => {
      await withOneOwner(async (fixture, owner, other) => {
        const caller = await fixture.caller(other, 'own')
        const stopped = owner.host.stop()
        for (let reads = 0; reads < 20; reads += 1) {
          expect(await caller.outcomeOf('read 1')).toEqual('done')
          await new Promise(resolve => setTimeout(resolve, 20))
        }
        await stopped
      })
    })

    // An owner stops while a caller of another host has a transaction open there for longer than an owner allows its own
    // callers. The transaction was not ended in time, the owner's process ended while a statement ran in it, and a commit
    // was refused with an unknown outcome.
    it('aborts a long transaction when its owner stops', async () => {
      await withOneOwner(async (fixture, owner, other) => {
        const caller = await fixture.caller(other, 'own')
        await caller.outcomeOf('begin')
        await caller.outcomeOf('write 1')
        const stopped = owner.host.stop()
        await new Promise(resolve => setTimeout(resolve, 560))
        fixture.dialer.hooks.workMilliseconds = 120
        expect(await caller.outcomeOf('commit')).toEqual('aborted')
        await stopped
        expect(fixture.group.acknowledged).toEqual([])
      })
    })

    // An owner stops during a store outage, so the others do not receive the change from the store. They continued to
    // relay statements, which it declined, until its process ended; writes in flight at that moment had an unknown
    // outcome.
    it('relays no more statements to a stopping owner, also during a store outage', async () => {
      await withOneOwner(async (fixture, owner, other) => {
        const callers = await Promise.all([1, 2, 3, 4].map(() => fixture.caller(other, 'own')))
        for (const caller of callers) await caller.outcomeOf('write 0')
        fixture.dialer.hooks.workMilliseconds = 4
        for (const { store } of fixture.hosts) store.behaviour = 'silent'
        const before = other.lines.length
        const stopped = owner.host.stop()
        let isOver = false
        void stopped.then(() => (isOver = true))
        const outcomes = new Set<string>()
        const goesOn = (): boolean => !isOver
        const work = async (caller: Caller): Promise<void> => {
          while (goesOn()) outcomes.add(await caller.outcomeOf('write 1'))
        }
        await Promise.all(callers.map(work))
        expect([...outcomes]).toEqual(['done'])
        const declined = other.lines.slice(before).filter(({ event }) => event === 'relay_failed')
        expect(declined.length <= callers.length).toEqual(true)
      })
    })
  })
}

describe('a service with fewer connections than hosts', () => {
  // The only owner crashes, and one host per availability zone serves in its place. Each one opened connections as if
  // it were the only holder: the first two took nearly all, the third zone was refused as "not run", and so was every
  // caller after the owner's return, for the 5 s for which the others kept unused connections.
  it('is served in every availability zone after its owner crashed', async () => {
    const zones = ['a', 'b', 'c', 'a', 'b', 'c']
    const options = { connectionLimit: 12, relayPorts: await freePorts(zones.length), zones }
    await withHostFixture(
      zones.length,
      async (fixture, hosts) => {
        const owners = () => hosts.filter(({ host }) => host.find('own')?.service.isOwned === true)
        await fixture.until(() => owners().length === 1, 'one host owns the service')
        const others = hosts.filter(host => !owners().includes(host))
        const callerHosts = others.flatMap(host => [host, host, host, host])
        const callers = await Promise.all(callerHosts.map(host => fixture.caller(host, 'own')))
        fixture.dialer.hooks.workMilliseconds = 30
        owners()[0]?.host.close()
        const settledAt = performance.now() + 700
        const served = new Map<FixtureHost, number>()
        const work = async (caller: Caller, index: number): Promise<void> => {
          const host = callerHosts[index]
          while (performance.now() < settledAt + 800) {
            const askedAt = performance.now()
            const outcome = await caller.outcomeOf('write 1')
            if (host === undefined || askedAt < settledAt || outcome !== 'done') continue
            served.set(host, (served.get(host) ?? 0) + 1)
          }
        }
        const settled = new Promise(resolve => setTimeout(resolve, 700))
        const before = settled.then(() => others.map(({ lines }) => lines.length))
        await Promise.all(callers.map(work))
        const started = await before
        const denied = others.flatMap(({ lines }, index) =>
          lines.slice(started[index]).filter(isDenied),
        )
        expect([denied.length, served.size]).toEqual([0, others.length])
      },
      options,
    )
  })
})
