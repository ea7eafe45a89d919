import { describe, it } from 'node:test'
import { expect } from 'earl'
import { planDispatchers, type HostRecord } from '@nutmegcourse/coordination'
import { VirtualClock, milliseconds } from '@nutmegcourse/shared'
import type { ConnectionPart } from '@nutmegcourse/state'
import { DispatcherDirectory } from '../src/dispatcherDirectory.js'
import type { HostContext } from '../src/hostContext.js'
import type { ServiceState } from '../src/serviceState.js'

const SERVICE = 'db-1'
const NEVER = Number.NEGATIVE_INFINITY

const hosts = new Map<string, HostRecord>(
  ['east', 'west'].flatMap(region =>
    [1, 2, 3, 4].map(index => {
      const record = { zone: `${region}-1`, region, relay: '127.0.0.1:1', weight: 1 }
      return [`${region}-host-${index}`, record] as const
    }),
  ),
)
const [first = '', second = ''] = planDispatchers(SERVICE, hosts).get('east') ?? []

interface Case {
  readonly name: string
  readonly self: string
  /** The region of the servers; both have some. */
  readonly servers: string
  readonly down?: readonly string[]
  readonly servedForOthersAgo?: number
  readonly expected: ConnectionPart['kind']
}

// Guards against two hosts that each hold a dispatcher's connections, and against a region whose dispatcher is gone
// and whose next one holds a tenth of them.
describe('the part of a dispatcher in the connections to a region', () => {
  const cases: readonly Case[] = [
    { name: 'the first of the region', self: first, servers: 'east', expected: 'dispatcher' },
    { name: 'the second of the region', self: second, servers: 'east', expected: 'standby' },
    {
      name: 'the second one while it does not reach the first',
      self: second,
      servers: 'east',
      down: [first],
      expected: 'dispatcher',
    },
    {
      name: 'the second one while other hosts send it statements',
      self: second,
      servers: 'east',
      servedForOthersAgo: 1000,
      expected: 'dispatcher',
    },
    {
      name: 'the second one once other hosts no longer send it any',
      self: second,
      servers: 'east',
      servedForOthersAgo: 6000,
      expected: 'standby',
    },
    { name: 'the first of another region', self: first, servers: 'west', expected: 'standby' },
    {
      name: 'the first of another region that serves for others',
      self: first,
      servers: 'west',
      servedForOthersAgo: 1000,
      expected: 'standby',
    },
  ]
  for (const { name, self, servers, down = [], servedForOthersAgo, expected } of cases) {
    it(`${name}: ${expected}`, () => {
      const clock = new VirtualClock(10_000)
      const regions = new Map([
        ['east-1', 'east'],
        ['west-1', 'west'],
      ])
      const settings = { entryHost: self, region: 'east', regions }
      const context = { settings, clock } as unknown as HostContext
      const service = {
        name: SERVICE,
        servers: ['east-1', 'west-1'].map(zone => ({ entry: { zone } })),
        primary: null,
        lastServedForOthersAt: milliseconds(
          servedForOthersAgo === undefined ? NEVER : clock.now() - servedForOthersAgo,
        ),
      } as unknown as ServiceState
      const directory = new DispatcherDirectory(context, host => !down.includes(host))
      directory.plan(service, hosts)
      expect(directory.partOf(service, servers).kind).toEqual(expected)
    })
  }
})
