/**
 * `node packages/bench/dist/src/watcherPlacement.js`: measures how many databases each host
 * watches, and how many watches move when a host, a rack or a zone fails. The last line is one JSON
 * object.
 */
import { WatcherPlan, type HostLocation } from '@nutmegcourse/coordination'
import { databaseId } from '@nutmegcourse/shared'
import { hostLocations, serversOf, type FleetSize } from './fleet/fleetShape.js'

const SIZES: readonly FleetSize[] = [
  { hosts: 6, databases: 3 },
  { hosts: 9, databases: 3 },
  { hosts: 9, databases: 1900 },
  { hosts: 1500, databases: 1900 },
]
const RACK_HOSTS = 20

interface Loss {
  readonly name: string
  readonly remaining: (hosts: readonly HostLocation[]) => readonly HostLocation[]
}

const LOSSES: readonly Loss[] = [
  { name: 'nothing', remaining: hosts => hosts },
  { name: 'a host', remaining: hosts => hosts.slice(1) },
  {
    name: `a rack of ${RACK_HOSTS} in one zone`,
    remaining: hosts => {
      const rack = hosts.filter(host => host.zone === hosts[0]?.zone).slice(0, RACK_HOSTS)
      return hosts.filter(host => !rack.includes(host))
    },
  },
  { name: 'a zone', remaining: hosts => hosts.filter(host => host.zone !== hosts[0]?.zone) },
]

type Assignment = ReadonlyMap<string, readonly string[]>

function assign(hosts: readonly HostLocation[], size: FleetSize): Assignment {
  const plan = new WatcherPlan(hosts)
  return new Map(
    Array.from({ length: size.databases }, (_, index) => {
      const watchers = plan.watchersOf(databaseId(`db-${index}`), serversOf(index, size, 0))
      return [`db-${index}`, watchers.map(watcher => watcher.entryHost)]
    }),
  )
}

function countsOf(assignment: Assignment, hosts: readonly HostLocation[]): readonly number[] {
  const counts = new Map<string, number>(hosts.map(host => [host.entryHost, 0]))
  for (const watchers of assignment.values()) {
    for (const id of watchers) counts.set(id, (counts.get(id) ?? 0) + 1)
  }
  return [...counts.values()].sort((left, right) => left - right)
}

/** Number of watches that move to a host which did not have them before. */
function movedBetween(before: Assignment, after: Assignment): number {
  let moved = 0
  for (const [database, watchers] of after) {
    const former = new Set(before.get(database))
    moved += watchers.filter(id => !former.has(id)).length
  }
  return moved
}

const results = SIZES.flatMap(size => {
  const hosts = hostLocations(size)
  const before = assign(hosts, size)
  return LOSSES.map(({ name, remaining }) => {
    const left = remaining(hosts)
    const startedAt = performance.now()
    const after = assign(left, size)
    const milliseconds = performance.now() - startedAt
    const counts = countsOf(after, left)
    const sum = counts.reduce((total, count) => total + count, 0)
    return {
      ...size,
      lost: name,
      hostsLeft: left.length,
      meanWatched: Number((sum / Math.max(1, left.length)).toFixed(2)),
      mostWatched: counts.at(-1) ?? 0,
      fewestWatched: counts[0] ?? 0,
      watches: sum,
      moved: movedBetween(before, after),
      planMilliseconds: Number(milliseconds.toFixed(1)),
    }
  })
})
console.table(results)
console.log(JSON.stringify({ results }))
