/**
 * `node packages/bench/dist/src/neighbourGraph.js`: measures the reach and the hop count of the
 * graph of links between agents, in the whole fleet and after a partition. The last line is one
 * JSON object.
 */
import { chooseNeighbours, type HostLocation } from '@nutmegcourse/coordination'
import { hostLocations } from './fleet/fleetShape.js'

const SIZES = [9, 30, 300, 1500]

interface Part {
  readonly name: string
  readonly includes: (host: HostLocation, first: HostLocation) => boolean
}

const PARTS: readonly Part[] = [
  { name: 'whole fleet', includes: () => true },
  { name: 'one region alone', includes: (host, first) => host.region === first.region },
  { name: 'one zone alone', includes: (host, first) => host.zone === first.zone },
]

type Graph = ReadonlyMap<string, ReadonlySet<string>>

/** The bidirectional links within a part, chosen while all hosts of the fleet were alive. */
function linksAmong(all: readonly HostLocation[], part: readonly HostLocation[]): Graph {
  const members = new Set<string>(part.map(host => host.entryHost))
  const graph = new Map<string, Set<string>>([...members].map(id => [id, new Set<string>()]))
  for (const host of part) {
    const others = all.filter(other => other !== host)
    for (const peer of chooseNeighbours(host, others)) {
      if (!members.has(peer)) continue
      graph.get(host.entryHost)?.add(peer)
      graph.get(peer)?.add(host.entryHost)
    }
  }
  return graph
}

/** Hops from a host to the farthest one it reaches, and the number of hosts it reaches. */
function breadthFirstSpread(
  start: string,
  graph: Graph,
): { readonly hops: number; readonly reached: number } {
  const seen = new Set([start])
  let frontier = [start]
  let hops = 0
  for (;;) {
    const next = [...new Set(frontier.flatMap(id => [...(graph.get(id) ?? [])]))].filter(
      id => !seen.has(id),
    )
    if (next.length === 0) return { hops, reached: seen.size }
    for (const id of next) seen.add(id)
    frontier = next
    hops += 1
  }
}

const results = SIZES.flatMap(size => {
  const all = hostLocations({ hosts: size, databases: 0 })
  return PARTS.map(({ name, includes }) => {
    const part = all.filter(host => all[0] !== undefined && includes(host, all[0]))
    const graph = linksAmong(all, part)
    const spreads = [...graph.keys()].map(id => breadthFirstSpread(id, graph))
    const links = [...graph.values()].map(peers => peers.size)
    return {
      hosts: size,
      part: name,
      hostsInPart: part.length,
      reachedByAll: Math.min(...spreads.map(spread => spread.reached)),
      mostHops: Math.max(...spreads.map(spread => spread.hops)),
      meanLinks: Number((links.reduce((sum, count) => sum + count, 0) / links.length).toFixed(1)),
      mostLinks: Math.max(...links),
    }
  })
})
console.table(results)
console.log(JSON.stringify({ results }))
