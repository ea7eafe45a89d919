import { describe, it } from 'node:test'
import { expect } from 'earl'
import { ownersFrom, planOwners, type HostRecord } from '../../src/index.js'

const record = (zone: string, weight = 1): HostRecord => ({
  zone,
  region: zone.slice(0, 1),
  relay: null,
  weight,
})

function fleet(zones: readonly string[], perZone: number): Map<string, HostRecord> {
  const hosts = new Map<string, HostRecord>()
  for (const zone of zones) {
    for (let index = 0; index < perZone; index += 1) hosts.set(`${zone}-${index}`, record(zone))
  }
  return hosts
}

const ZONES = ['a1', 'a2', 'a3', 'b1', 'b2', 'b3']

describe('planOwners', () => {
  for (const { count, zones } of [
    { count: 6, zones: 6 },
    { count: 3, zones: 3 },
    { count: 12, zones: 6 },
    { count: 1, zones: 1 },
  ]) {
    it(`distributes ${count} owners over ${zones} zones`, () => {
      const hosts = fleet(ZONES, 10)
      const { owners } = planOwners('s', hosts, count)
      expect(owners.length).toEqual(count)
      expect(new Set(owners.map(host => hosts.get(host)?.zone)).size).toEqual(zones)
    })
  }

  it('replaces only the owner that leaves', () => {
    const hosts = fleet(ZONES, 10)
    const before = planOwners('s', hosts, 6).owners
    const [gone = ''] = before
    hosts.delete(gone)
    const after = planOwners('s', hosts, 6).owners
    expect(after.filter(host => before.includes(host)).length).toEqual(5)
  })

  it('chooses strong hosts more often than weak ones', () => {
    const hosts = new Map<string, HostRecord>()
    for (let index = 0; index < 10; index += 1) {
      hosts.set(`weak-${index}`, record('a1', 0.3))
      hosts.set(`strong-${index}`, record('a1', 1.2))
    }
    let strong = 0
    for (let service = 0; service < 200; service += 1) {
      const [owner] = planOwners(`s-${service}`, hosts, 1).owners
      if (owner?.startsWith('strong') === true) strong += 1
    }
    expect(strong > 140 && strong < 180).toEqual(true)
  })

  it('chooses every host when there are fewer hosts than owners', () => {
    expect(planOwners('s', fleet(['a1'], 2), 6).owners.length).toEqual(2)
  })
})

describe('ownersFrom', () => {
  it('returns near owners first, then far ones, then hosts of its zone that are not owners', () => {
    const hosts = fleet(ZONES, 2)
    const plan = planOwners('s', hosts, 6)
    const self = [...hosts.keys()].find(
      host => host.startsWith('a1') && !plan.owners.includes(host),
    )
    const order = ownersFrom(plan, self ?? '', record('a1'))
    const zones = order.map(host => hosts.get(host)?.zone ?? '')
    expect(zones[0]).toEqual('a1')
    expect(zones.slice(1, 3).every(zone => zone.startsWith('a'))).toEqual(true)
    expect(zones.slice(3, 6).every(zone => zone.startsWith('b'))).toEqual(true)
    expect(order.includes(self ?? '')).toEqual(false)
  })
})
