/**
 * Chooses the hosts that watch a database: a few live ones, by rendezvous hash, so that every host
 * computes the same watchers from the same members, and a host that leaves moves only the databases
 * that it watched.
 */
import type { Watcher } from './failoverMessages.js'
import type { AvailabilityZoneId, DatabaseId, RegionId } from '@nutmegcourse/shared'
import type { HostLocation } from './neighbours.js'
import { mixHashes, stableHash } from './stableHash.js'

export const DEFAULT_WATCHER_COUNT = 3

export interface ServerLocation {
  readonly zone: AvailabilityZoneId
  readonly region: RegionId
}

interface Candidate extends HostLocation {
  readonly hash: number
}

interface ScoredCandidate {
  readonly host: Candidate
  readonly score: number
}

export class WatcherPlan {
  readonly #byZone = new Map<AvailabilityZoneId, Candidate[]>()
  readonly #watcherCount: number

  constructor(hosts: readonly HostLocation[], watcherCount = DEFAULT_WATCHER_COUNT) {
    this.#watcherCount = watcherCount
    for (const host of hosts) {
      const candidates = this.#byZone.get(host.zone) ?? []
      candidates.push({ ...host, hash: stableHash(host.entryHost) })
      this.#byZone.set(host.zone, candidates)
    }
  }

  /**
   * Watchers are placed in the zones of the database's servers that have live hosts, one per zone:
   * they see what the servers see when a zone is cut off, and no requests cross the billed link from a
   * region without servers. Other zones of the same regions come next, then the remaining zones, and
   * only then a second host of a zone. The result is in the order in which the watchers try to
   * coordinate.
   */
  watchersOf(database: DatabaseId, servers: readonly ServerLocation[]): readonly Watcher[] {
    const databaseHash = stableHash(database)
    const chosen = this.#bestOfZones(databaseHash, distinctZones(servers))
    if (chosen.length < this.#watcherCount) this.#fill(databaseHash, servers, chosen)
    return chosen
      .sort(byScore)
      .slice(0, this.#watcherCount)
      .map(({ host }) => ({ entryHost: host.entryHost, zone: host.zone, region: host.region }))
  }

  #bestOfZones(databaseHash: number, zones: Iterable<AvailabilityZoneId>): ScoredCandidate[] {
    const chosen: ScoredCandidate[] = []
    for (const zone of zones) {
      const best = bestOf(this.#byZone.get(zone) ?? [], databaseHash)
      if (best !== null) chosen.push(best)
    }
    return chosen
  }

  /** Adds the best host of each further zone; zones of the servers' regions go first. */
  #fill(databaseHash: number, servers: readonly ServerLocation[], chosen: ScoredCandidate[]): void {
    const regions = new Set(servers.map(server => server.region))
    const used = new Set(chosen.map(({ host }) => host.zone))
    const others = this.#bestOfZones(
      databaseHash,
      [...this.#byZone.keys()].filter(zone => !used.has(zone)),
    ).sort(byScore)
    const inServerRegions = others.filter(({ host }) => regions.has(host.region))
    const elsewhere = others.filter(({ host }) => !regions.has(host.region))
    const missing = this.#watcherCount - chosen.length
    chosen.push(...[...inServerRegions, ...elsewhere].slice(0, missing))
    if (chosen.length < this.#watcherCount) this.#fillFromUsedZones(databaseHash, regions, chosen)
  }

  /** With too few zones left, adds second hosts of zones; those of the servers' regions go first. */
  #fillFromUsedZones(
    databaseHash: number,
    regions: ReadonlySet<RegionId>,
    chosen: ScoredCandidate[],
  ): void {
    const taken = new Set(chosen.map(({ host }) => host.entryHost))
    const rest = [...this.#byZone.values()]
      .flat()
      .filter(host => !taken.has(host.entryHost))
      .map(host => ({ host, score: mixHashes(host.hash, databaseHash) }))
      .sort(byScore)
    const inServerRegions = rest.filter(({ host }) => regions.has(host.region))
    const elsewhere = rest.filter(({ host }) => !regions.has(host.region))
    chosen.push(...[...inServerRegions, ...elsewhere].slice(0, this.#watcherCount - chosen.length))
  }
}

const byScore = (left: ScoredCandidate, right: ScoredCandidate): number => right.score - left.score

function bestOf(candidates: readonly Candidate[], databaseHash: number): ScoredCandidate | null {
  let best: ScoredCandidate | null = null
  for (const host of candidates) {
    const score = mixHashes(host.hash, databaseHash)
    if (best === null || score > best.score) best = { host, score }
  }
  return best
}

function distinctZones(servers: readonly ServerLocation[]): ReadonlySet<AvailabilityZoneId> {
  return new Set(servers.map(server => server.zone))
}
