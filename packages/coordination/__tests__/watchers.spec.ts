import { describe, it } from 'node:test'
import { expect } from 'earl'
import { availabilityZoneId, databaseId, entryHostId, regionId } from '@nutmegcourse/shared'
import { WatcherPlan, chooseNeighbours, type HostLocation, type Watcher } from '../src/index.js'

const ZONES = ['a', 'b', 'c', 'd', 'e', 'f']
/** Three zones per region. */
const regionOf = (zone: string): string => (ZONES.indexOf(zone) < 3 ? 'west' : 'east')
const place = (zone: string) => ({
  zone: availabilityZoneId(zone),
  region: regionId(regionOf(zone)),
})

function hostsIn(zones: readonly string[], each: number): readonly HostLocation[] {
  return zones.flatMap(zone =>
    Array.from({ length: each }, (_, index) => ({
      entryHost: entryHostId(`${zone}-${index}`),
      ...place(zone),
    })),
  )
}

const DATABASES = Array.from({ length: 200 }, (_, index) => databaseId(`db-${index}`))
const SERVERS = ['a', 'b', 'c'].map(place)
const zonesOf = (watchers: readonly Watcher[]): readonly string[] =>
  watchers.map(watcher => watcher.zone).sort()

describe('WatcherPlan', () => {
  const placements = [
    {
      name: 'one watcher in each zone of the servers',
      hosts: hostsIn(ZONES, 3),
      servers: SERVERS,
      zones: ['a', 'b', 'c'],
    },
    {
      name: 'a watcher in a third zone of the region when the servers are in two zones',
      hosts: hostsIn(ZONES, 3),
      servers: [place('a'), place('b'), place('b')],
      zones: ['a', 'b', 'c'],
    },
    {
      name: 'a watcher in another region, not two in one zone, when a zone of the servers has no hosts',
      hosts: hostsIn(['a', 'b', 'd'], 3),
      servers: SERVERS,
      zones: ['a', 'b', 'd'],
    },
    {
      name: 'all watchers in one zone when no other has hosts',
      hosts: hostsIn(['a'], 3),
      servers: SERVERS,
      zones: ['a', 'a', 'a'],
    },
    {
      name: 'two watchers when only two hosts exist',
      hosts: hostsIn(['a', 'b'], 1),
      servers: SERVERS,
      zones: ['a', 'b'],
    },
    { name: 'no watcher when no host exists', hosts: [], servers: SERVERS, zones: [] },
  ]
  for (const { name, hosts, servers, zones } of placements) {
    it(`places ${name}`, () => {
      const plan = new WatcherPlan(hosts)
      for (const database of DATABASES) {
        expect(zonesOf(plan.watchersOf(database, servers))).toEqual(zones)
      }
    })
  }

  it('chooses the same watchers in whichever order the hosts are given', () => {
    const hosts = hostsIn(ZONES, 4)
    const plan = new WatcherPlan(hosts)
    const reversed = new WatcherPlan([...hosts].reverse())
    for (const database of DATABASES) {
      expect(reversed.watchersOf(database, SERVERS)).toEqual(plan.watchersOf(database, SERVERS))
    }
  })

  it('reassigns only the databases of a host that leaves', () => {
    const hosts = hostsIn(ZONES, 4)
    const before = new WatcherPlan(hosts)
    const [gone] = hosts
    const after = new WatcherPlan(hosts.slice(1))
    for (const database of DATABASES) {
      const former = before.watchersOf(database, SERVERS)
      const kept = former.filter(watcher => watcher.entryHost !== gone?.entryHost)
      const now = new Set(after.watchersOf(database, SERVERS).map(watcher => watcher.entryHost))
      expect(kept.every(watcher => now.has(watcher.entryHost))).toEqual(true)
    }
  })

  it('distributes databases so that no host of a zone watches more than twice the mean', () => {
    const plan = new WatcherPlan(hostsIn(ZONES, 4))
    const counts = new Map<string, number>()
    for (const database of DATABASES) {
      for (const { entryHost } of plan.watchersOf(database, SERVERS)) {
        counts.set(entryHost, (counts.get(entryHost) ?? 0) + 1)
      }
    }
    expect(counts.size).toEqual(12)
    expect(Math.max(...counts.values()) <= 2 * (DATABASES.length / 4)).toEqual(true)
  })
})

describe('chooseNeighbours', () => {
  it('links all hosts in a small fleet', () => {
    const [self, ...others] = hostsIn(['a', 'b', 'c'], 3)
    if (self === undefined) throw new Error('no hosts')
    expect(chooseNeighbours(self, others).length).toEqual(8)
  })

  it('links a few hosts of each distance in a large fleet, so that the fleet and each zone by itself are connected', () => {
    const hosts = hostsIn(ZONES, 30)
    const links = hosts.map(host => ({
      host,
      peers: new Set<string>(
        chooseNeighbours(
          host,
          hosts.filter(other => other !== host),
        ),
      ),
    }))
    expect(links.every(({ peers }) => peers.size === 6)).toEqual(true)
    expect(reachedFrom(hosts, links)).toEqual(hosts.length)
    for (const zone of ZONES) {
      const inZone = hosts.filter(host => host.zone === zone)
      const inside = links.filter(({ host }) => host.zone === zone)
      expect(reachedFrom(inZone, inside)).toEqual(inZone.length)
    }
  })
})

/** The number of hosts that the first one reaches over links in either direction. */
function reachedFrom(
  hosts: readonly HostLocation[],
  links: readonly { readonly host: HostLocation; readonly peers: ReadonlySet<string> }[],
): number {
  const members = new Set<string>(hosts.map(host => host.entryHost))
  const around = new Map<string, Set<string>>([...members].map(id => [id, new Set<string>()]))
  for (const { host, peers } of links) {
    for (const peer of peers) {
      if (!members.has(peer)) continue
      around.get(host.entryHost)?.add(peer)
      around.get(peer)?.add(host.entryHost)
    }
  }
  const [first] = members
  const reached = new Set<string>(first === undefined ? [] : [first])
  for (const id of reached) for (const next of around.get(id) ?? []) reached.add(next)
  return reached.size
}
