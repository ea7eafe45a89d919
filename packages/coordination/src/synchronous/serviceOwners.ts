/**
 * Which entry hosts hold connections to the backend servers of a service, where there are more hosts
 * than connections. The others hand their statements to one of them. Every host works out the same
 * owners from the same list, and a host that comes or goes moves few of them (rendezvous hashing).
 */
import { mixHashes, nameHash } from '../stableHash.js'
import type { HostRecord } from './changeRecord.js'

export interface OwnerPlan {
  /** In the order of the draw. */
  readonly owners: readonly string[]
  /** All hosts, as they were drawn. */
  readonly ranked: readonly string[]
  readonly hosts: ReadonlyMap<string, HostRecord>
}

const HASH_RANGE = 2 ** 32

/**
 * A host with twice the processor is drawn twice as often: owners work for others, and the weakest
 * hosts have less than a quarter of the strongest ones' processor.
 */
function rendezvousScore(host: string, service: string, weight: number): number {
  const hash = mixHashes(nameHash(host), nameHash(service))
  return -weight / Math.log((hash + 1) / (HASH_RANGE + 1))
}

/** Draws `count` owners, zone by zone in turn, so that most callers find one near them. */
export function planOwners(
  service: string,
  hosts: ReadonlyMap<string, HostRecord>,
  count: number,
): OwnerPlan {
  const ranked = rankHosts(service, hosts)
  const zones = groupByZone(ranked, hosts)
  const order = [...zones.keys()].sort(
    (left, right) => rendezvousScore(right, service, 1) - rendezvousScore(left, service, 1),
  )
  const owners: string[] = []
  for (let round = 0; owners.length < Math.min(count, hosts.size); round += 1) {
    for (const zone of order) {
      const host = zones.get(zone)?.[round]
      if (host !== undefined && owners.length < count) owners.push(host)
    }
  }
  return { owners, ranked, hosts }
}

/** How far a host is from a place: in its zone, in its region, or past the link. */
export function hostDistance(
  record: HostRecord | undefined,
  place: Pick<HostRecord, 'zone' | 'region'>,
): 0 | 1 | 2 {
  if (record?.zone === place.zone) return 0
  return record?.region === place.region ? 1 : 2
}

/**
 * Whom a host asks, in order: owners in its zone, in its region, past the link; then the hosts of its
 * zone that come before it in the draw, which serve in an owner's place when none can be reached. The
 * first of them asks nobody: asking each other, all of a zone took connections in the owner's place.
 */
export function ownersFrom(plan: OwnerPlan, self: string, place: HostRecord): string[] {
  const { owners, ranked, hosts } = plan
  const distance = (host: string): number => hostDistance(hosts.get(host), place)
  const ownersByDistance = [...owners].sort((left, right) => distance(left) - distance(right))
  const substitutes = ranked.filter(host => !owners.includes(host) && distance(host) === 0)
  const selfIndex = substitutes.indexOf(self)
  const substitutesBefore = selfIndex < 0 ? substitutes : substitutes.slice(0, selfIndex)
  return [...ownersByDistance.filter(host => host !== self), ...substitutesBefore]
}

/**
 * The owners of one customer's connections in the order in which every host of a region asks them, so that the
 * connections stand in as few places as possible. Owners of the region come first: its hosts are near enough to each
 * other, while the link between regions is slow.
 */
export function ownersForCustomer(
  { owners, hosts }: OwnerPlan,
  service: string,
  customer: string,
  place: Pick<HostRecord, 'region'>,
): string[] {
  const regionDistance = (host: string): number =>
    hosts.get(host)?.region === place.region ? 0 : 1
  const subject = `${service} ${customer}`
  const score = (host: string): number =>
    rendezvousScore(host, subject, hosts.get(host)?.weight ?? 1)
  return [...owners].sort(
    (left, right) => regionDistance(left) - regionDistance(right) || score(right) - score(left),
  )
}

function groupByZone(
  hosts: readonly string[],
  records: ReadonlyMap<string, HostRecord>,
): Map<string, string[]> {
  const zones = new Map<string, string[]>()
  for (const host of hosts) {
    const zone = records.get(host)?.zone ?? ''
    const members = zones.get(zone)
    if (members === undefined) zones.set(zone, [host])
    else members.push(host)
  }
  return zones
}

function rankHosts(service: string, hosts: ReadonlyMap<string, HostRecord>): string[] {
  const scores = new Map<string, number>()
  for (const [host, { weight }] of hosts) scores.set(host, rendezvousScore(host, service, weight))
  return [...hosts.keys()].sort((left, right) => (scores.get(right) ?? 0) - (scores.get(left) ?? 0))
}
