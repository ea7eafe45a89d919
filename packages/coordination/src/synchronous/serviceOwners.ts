/**
 * Plans which entry hosts hold connections to the backend servers of a service when there are more
 * hosts than connections. The other hosts relay their statements to one of these owners. Every host
 * computes the same owners from the same list, and a host that joins or leaves changes few of them
 * (rendezvous hashing).
 */
import { mixHashes, nameHash } from '../stableHash.js'
import type { HostRecord } from './changeRecord.js'

export interface OwnerPlan {
  /** In the order of assignment: zone by zone in turn. */
  readonly owners: readonly string[]
  /** All hosts, by descending rendezvous score. */
  readonly ranked: readonly string[]
  readonly hosts: ReadonlyMap<string, HostRecord>
}

const HASH_RANGE = 2 ** 32

/**
 * Weighted rendezvous hashing: a host with twice the processor is chosen twice as often, since owners
 * work for other hosts, and the weakest hosts have less than a quarter of the processor of the
 * strongest ones.
 */
function rendezvousScore(host: string, service: string, weight: number): number {
  const hash = mixHashes(nameHash(host), nameHash(service))
  return -weight / Math.log((hash + 1) / (HASH_RANGE + 1))
}

/** Chooses `count` owners, zone by zone in turn, so that most callers have one nearby. */
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

/** Distance of a host from a location: 0 in the same zone, 1 in the same region, 2 in another region. */
export function hostDistance(
  record: HostRecord | undefined,
  place: Pick<HostRecord, 'zone' | 'region'>,
): 0 | 1 | 2 {
  if (record?.zone === place.zone) return 0
  return record?.region === place.region ? 1 : 2
}

/**
 * The hosts that a host asks, in order: owners in its zone, in its region and in other regions, then
 * the hosts of its zone that rank before it, which act as substitutes when no owner is reachable. The
 * first substitute asks no other: when hosts asked each other, all hosts of a zone opened connections in
 * the owner's place.
 */
export function ownersFrom(plan: OwnerPlan, self: string, place: HostRecord): string[] {
  const { owners, hosts } = plan
  const distance = (host: string): number => hostDistance(hosts.get(host), place)
  const ownersByDistance = [...owners].sort((left, right) => distance(left) - distance(right))
  return [
    ...ownersByDistance.filter(host => host !== self),
    ...substitutesBefore(plan, self, place),
  ]
}

/** The hosts of a zone that rank before a host and act as substitutes when no owner is reachable. */
export function substitutesBefore(
  { owners, ranked, hosts }: OwnerPlan,
  self: string,
  place: Pick<HostRecord, 'zone' | 'region'>,
): string[] {
  const isSubstitute = (host: string): boolean =>
    !owners.includes(host) && hostDistance(hosts.get(host), place) === 0
  const substitutes = ranked.filter(isSubstitute)
  const selfIndex = substitutes.indexOf(self)
  return selfIndex < 0 ? substitutes : substitutes.slice(0, selfIndex)
}

/**
 * The owners of one customer's connections in the order in which every host of a region asks them, so that the
 * connections are held by as few hosts as possible. Owners of the region come first: its hosts are near enough to
 * each other, while the link between regions is slow.
 */
export function ownersForCustomer(
  { owners, hosts }: OwnerPlan,
  service: string,
  customer: string,
  place: Pick<HostRecord, 'region'>,
): string[] {
  const isFar = (host: string): number => (hosts.get(host)?.region === place.region ? 0 : 1)
  const subject = `${service} ${customer}`
  const score = (host: string): number =>
    rendezvousScore(host, subject, hosts.get(host)?.weight ?? 1)
  return [...owners].sort((left, right) => isFar(left) - isFar(right) || score(right) - score(left))
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

/** The hosts by descending rendezvous score. */
export function rankHosts(service: string, hosts: ReadonlyMap<string, HostRecord>): string[] {
  const scores = new Map<string, number>()
  for (const [host, { weight }] of hosts) scores.set(host, rendezvousScore(host, service, weight))
  return [...hosts.keys()].sort((left, right) => (scores.get(right) ?? 0) - (scores.get(left) ?? 0))
}
