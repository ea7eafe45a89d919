import { describe, it } from 'node:test'
import { expect } from 'earl'
import { dispatchersFrom, planDispatchers, type HostRecord } from '../../src/index.js'

const REGIONS = ['east', 'west']
const ZONES_PER_REGION = 3
const PER_REGION = 3
const MIN_WEIGHT_SHARE = 0.5
const SERVICES = Array.from({ length: 6 }, (_, index) => `db-${index}`)

/** Hosts of unequal weight, spread over the zones of the regions. */
function fleet(count: number, regions: readonly string[] = REGIONS): Map<string, HostRecord> {
  const hosts = new Map<string, HostRecord>()
  for (let index = 0; index < count; index += 1) {
    const region = regions[index % regions.length] ?? ''
    const zone = `${region}-${Math.floor(index / regions.length) % ZONES_PER_REGION}`
    const weight = 0.3 + (index % 7) * 0.15
    hosts.set(`host-${index}`, { zone, region, relay: '127.0.0.1:1', weight })
  }
  return hosts
}

const without = (hosts: ReadonlyMap<string, HostRecord>, host: string): Map<string, HostRecord> =>
  new Map([...hosts].filter(([name]) => name !== host))

describe('planDispatchers', () => {
  for (const count of [9, 65, 87, 300, 1500]) {
    it(`plans three different hosts in each region, a strong one first, of ${count} hosts`, () => {
      const hosts = fleet(count)
      for (const service of SERVICES) {
        const plan = planDispatchers(service, hosts)
        expect([...plan.keys()].sort()).toEqual(REGIONS)
        for (const [region, dispatchers] of plan) {
          expect(new Set(dispatchers).size).toEqual(PER_REGION)
          expect(dispatchers.every(host => hosts.get(host)?.region === region)).toEqual(true)
          const weights = [...hosts.values()]
            .filter(host => host.region === region)
            .map(({ weight }) => weight)
          const first = hosts.get(dispatchers[0] ?? '')?.weight ?? 0
          expect(first >= Math.max(...weights) * MIN_WEIGHT_SHARE).toEqual(true)
        }
      }
    })

    it(`replaces only the dispatcher that leaves, of ${count} hosts`, () => {
      const hosts = fleet(count)
      for (const service of SERVICES) {
        const before = planDispatchers(service, hosts).get('east') ?? []
        // One that leaves the strongest weight of the region as it is.
        const gone = before.find(host => (hosts.get(host)?.weight ?? 0) < 1.2) ?? ''
        const after = planDispatchers(service, without(hosts, gone)).get('east') ?? []
        const others = before.filter(host => host !== gone)
        expect(after.slice(0, others.length)).toEqual(others)
      }
    })

    it(`does not depend on the order in which ${count} hosts are listed`, () => {
      const hosts = fleet(count)
      const reversed = new Map([...hosts].reverse())
      for (const service of SERVICES) {
        const [one, other] = [hosts, reversed].map(each => planDispatchers(service, each))
        for (const region of REGIONS) expect(one?.get(region)).toEqual(other?.get(region))
      }
    })
  }

  it('changes nothing when a host joins that is too weak to dispatch', () => {
    const hosts = fleet(87)
    const joined = new Map(hosts).set('late', {
      zone: 'east-0',
      region: 'east',
      relay: '127.0.0.1:1',
      weight: 0.1,
    })
    for (const service of SERVICES) {
      expect(planDispatchers(service, joined).get('east')).toEqual(
        planDispatchers(service, hosts).get('east'),
      )
    }
  })

  it('plans another strong host when the strongest one leaves', () => {
    const hosts = fleet(9)
    hosts.set('strongest', { zone: 'east-0', region: 'east', relay: '127.0.0.1:1', weight: 20 })
    expect(planDispatchers('db-1', hosts).get('east')?.[0]).toEqual('strongest')
    const [first = ''] = planDispatchers('db-1', without(hosts, 'strongest')).get('east') ?? []
    expect((hosts.get(first)?.weight ?? 0) >= 1.2 * MIN_WEIGHT_SHARE).toEqual(true)
  })

  it('plans no host that runs no statements for others', () => {
    const hosts = fleet(9)
    for (const [host, record] of hosts) {
      if (record.region === 'west') hosts.set(host, { ...record, relay: null })
    }
    expect([...planDispatchers('db-1', hosts).keys()]).toEqual(['east'])
  })

  it('spreads services over the strong hosts', () => {
    const hosts = fleet(87)
    const services = Array.from({ length: 200 }, (_, index) => `s-${index}`)
    const first = services.map(service => planDispatchers(service, hosts).get('east')?.[0])
    expect(new Set(first).size >= 15).toEqual(true)
  })
})

describe('dispatchersFrom', () => {
  const regions = ['east', 'middle', 'west']
  const plan = planDispatchers('db-1', fleet(18, regions))
  const cases: readonly {
    readonly name: string
    readonly region: string
    readonly servers: readonly string[]
    readonly primary: string | null
    readonly atPrimary: boolean
    readonly expected: readonly string[]
  }[] = [
    {
      name: 'a write goes to the region of the primary, then to the own one',
      region: 'west',
      servers: regions,
      primary: 'middle',
      atPrimary: true,
      expected: ['middle', 'west', 'east'],
    },
    {
      name: 'a read goes to the own region, then to that of the primary',
      region: 'west',
      servers: regions,
      primary: 'middle',
      atPrimary: false,
      expected: ['west', 'middle', 'east'],
    },
    {
      name: 'a write follows the primary to another region',
      region: 'west',
      servers: regions,
      primary: 'east',
      atPrimary: true,
      expected: ['east', 'west', 'middle'],
    },
    {
      name: 'a read of a region without servers goes to the region of the primary',
      region: 'west',
      servers: ['east', 'middle'],
      primary: 'middle',
      atPrimary: false,
      expected: ['middle', 'east'],
    },
    {
      name: 'a write goes to the own region while no primary is known',
      region: 'west',
      servers: regions,
      primary: null,
      atPrimary: true,
      expected: ['west', 'east', 'middle'],
    },
    {
      name: 'all regions are used while no server is known',
      region: 'west',
      servers: [],
      primary: null,
      atPrimary: false,
      expected: ['west', 'east', 'middle'],
    },
  ]
  for (const { name, region, servers, primary, atPrimary, expected } of cases) {
    it(name, () => {
      const order = dispatchersFrom(plan, region, {
        serverRegions: new Set(servers),
        primaryRegion: primary,
        atPrimary,
      })
      expect(order).toEqual(expected.flatMap(each => plan.get(each) ?? []))
    })
  }
})
