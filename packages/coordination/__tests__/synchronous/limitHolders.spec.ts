import { describe, it } from 'node:test'
import { expect } from 'earl'
import { customerName } from '@nutmegcourse/shared'
import {
  LIMIT_PARTS,
  limitHoldersFrom,
  ownersForCustomer,
  planLimitHolders,
  planOwners,
  type HostRecord,
} from '../../src/index.js'

const ZONES = ['a1', 'b1', 'a2', 'b2', 'a3', 'b3']

function fleet(count: number): Map<string, HostRecord> {
  const hosts = new Map<string, HostRecord>()
  for (let index = 0; index < count; index += 1) {
    const zone = ZONES[index % ZONES.length] ?? ''
    hosts.set(`host-${String(index)}`, { zone, region: zone.slice(0, 1), relay: null, weight: 1 })
  }
  return hosts
}

const CUSTOMERS = Array.from({ length: 78 }, (_, index) => customerName(`c${String(index)}`))

describe('planLimitHolders', () => {
  const sizes: readonly (readonly [number, number])[] = [
    [1, 1],
    [3, 3],
    [9, LIMIT_PARTS],
    [71, LIMIT_PARTS],
    [1500, LIMIT_PARTS],
  ]
  for (const [count, holders] of sizes) {
    it(`places ${String(holders)} parts on ${String(count)} hosts, in different zones`, () => {
      const hosts = fleet(count)
      for (const customer of CUSTOMERS.slice(0, 10)) {
        const planned = planLimitHolders(customer, hosts)
        expect(planned.length).toEqual(holders)
        const zones = new Set(planned.map(host => hosts.get(host)?.zone))
        expect(zones.size).toEqual(Math.min(holders, ZONES.length))
      }
    })
  }

  it('moves only the parts of a host that leaves', () => {
    const hosts = fleet(71)
    const before = CUSTOMERS.map(customer => planLimitHolders(customer, hosts))
    hosts.delete('host-7')
    const after = CUSTOMERS.map(customer => planLimitHolders(customer, hosts))
    const moved = before.flatMap((each, index) =>
      each.filter(host => !after[index]?.includes(host)),
    )
    expect(moved.every(host => host === 'host-7')).toEqual(true)
  })

  it('orders near holders first, and starts with different holders for different customers', () => {
    const hosts = fleet(71)
    const firsts = new Set<string>()
    for (const customer of CUSTOMERS) {
      const holders = planLimitHolders(customer, hosts)
      const order = limitHoldersFrom(holders, hosts, 'host-0', { zone: 'a1', region: 'a' })
      const regions = order.map(host => hosts.get(host)?.region)
      expect(regions).toEqual([...regions].sort())
      firsts.add(order[0] ?? '')
    }
    expect(firsts.size > 5).toEqual(true)
  })
})

describe('ownersForCustomer', () => {
  const hosts = fleet(71)
  const plan = planOwners('db-1', hosts, 6)

  it('returns every owner, beginning with one of the region', () => {
    for (const customer of CUSTOMERS) {
      const order = ownersForCustomer(plan, 'db-1', customer, { region: 'a' })
      expect([...order].sort()).toEqual([...plan.owners].sort())
      expect(hosts.get(order[0] ?? '')?.region).toEqual('a')
    }
  })

  it('distributes customers over the owners of a region', () => {
    const counts = new Map<string, number>()
    for (const customer of CUSTOMERS) {
      const [first = ''] = ownersForCustomer(plan, 'db-1', customer, { region: 'b' })
      counts.set(first, (counts.get(first) ?? 0) + 1)
    }
    expect(counts.size).toEqual(3)
    for (const count of counts.values()) expect(count >= 13 && count <= 39).toEqual(true)
  })
})
