import { describe, it } from 'node:test'
import { expect } from 'earl'
import { followersBefore, otherFollowers, planFollowers, type HostRecord } from '../../src/index.js'

const record = (zone: string, weight = 1, relay: string | null = '10.0.0.1:1'): HostRecord => ({
  zone,
  region: 'r',
  relay,
  weight,
})

function fleet(hosts: number, zones: number): Map<string, HostRecord> {
  const records = new Map<string, HostRecord>()
  for (let index = 0; index < hosts; index += 1) {
    records.set(`h${index}`, record(`z${index % zones}`, index % 10 === 0 ? 1.35 : 0.324))
  }
  return records
}

// Number of hosts, of zones and of hosts that watch the store themselves; the others make no calls to the store.
const LOADS: readonly (readonly [number, number, number])[] = [
  [9, 3, 9],
  [69, 6, 6],
  [195, 6, 6],
  [300, 6, 6],
  [1500, 12, 12],
]

describe('planFollowers', () => {
  for (const [hosts, zones, expected] of LOADS) {
    it(`lets ${expected} of ${hosts} hosts in ${zones} zones watch the store`, () => {
      const records = fleet(hosts, zones)
      const direct = [...records].filter(
        ([host, { zone }]) => followersBefore(planFollowers(zone, records), host).length === 0,
      )
      expect(direct.length).toEqual(expected)
    })
  }

  it('chooses the strongest hosts', () => {
    const records = fleet(195, 6)
    const weights = planFollowers('z0', records).map(host => records.get(host)?.weight)
    expect(weights).toEqual([1.35, 1.35, 1.35])
  })

  it('chooses no hosts that others cannot reach', () => {
    const records = fleet(12, 1)
    for (const host of records.keys()) records.set(host, record('z0', 1, null))
    expect(planFollowers('z0', records)).toEqual([])
  })

  it('keeps its choice when a host joins that is no stronger, or when another host leaves', () => {
    const records = fleet(60, 1)
    const before = planFollowers('z0', records)
    const other = [...records.keys()].find(host => !before.includes(host)) ?? ''
    records.delete(other)
    records.set('new', record('z0', 0.324))
    expect(planFollowers('z0', records)).toEqual(before)
  })
})

describe('otherFollowers', () => {
  const SELF = { entryHost: 'h0', zone: 'z0', region: 'r' }
  const far = (zone: string): HostRecord => ({ ...record(zone), region: 'far' })
  const CASES: Readonly<
    Record<string, readonly [hosts: ReadonlyMap<string, HostRecord>, expected: readonly string[]]>
  > = {
    'are the hosts of the own zone, the region and the others': [
      new Map([
        ['c', far('z2')],
        ['b', record('z1')],
        ['a', record('z0')],
        ['h0', record('z0')],
      ]),
      ['a', 'b', 'c'],
    ],
    'are not those that cannot be reached': [new Map([['a', record('z1', 1, null)]]), []],
  }
  for (const [name, [hosts, expected]] of Object.entries(CASES)) {
    it(name, () => {
      expect(otherFollowers(SELF, hosts)).toEqual(expected)
    })
  }

  // Guards against a large fleet in which all hosts are asked, of which most follow through others themselves.
  it('are the planned followers of large zones', () => {
    const records = fleet(60, 3)
    const planned = ['z0', 'z1', 'z2'].flatMap(zone => planFollowers(zone, records))
    const found = otherFollowers(SELF, records)
    expect([...found].sort()).toEqual(planned.filter(host => host !== 'h0').sort())
  })
})
