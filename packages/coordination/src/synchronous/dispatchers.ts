/**
 * Plans which entry hosts dispatch the statements of a service: in each region one host, and others that stand by for
 * it. Every host computes the same plan from the same list, and a host that joins or leaves changes it only if it is one
 * of the planned hosts.
 */
import type { HostRecord } from './changeRecord.js'
import { rankHosts } from './serviceOwners.js'

/** The dispatcher of a region and the hosts that stand by for it. */
const DISPATCHERS_PER_REGION = 3

/** A dispatcher works for all hosts of its region; those below this share of the strongest's weight come last. */
const MIN_WEIGHT_SHARE = 0.5

/** By region: the dispatcher, then the hosts that stand by for it, in the order in which they replace it. */
export type DispatcherPlan = ReadonlyMap<string, readonly string[]>

export function planDispatchers(
  service: string,
  hosts: ReadonlyMap<string, HostRecord>,
): DispatcherPlan {
  const plan = new Map<string, readonly string[]>()
  for (const [region, members] of groupByRegion(hosts)) {
    const strongest = Math.max(...[...members.values()].map(({ weight }) => weight))
    const isStrong = (host: string): boolean =>
      (members.get(host)?.weight ?? 0) >= strongest * MIN_WEIGHT_SHARE
    const ranked = rankHosts(service, members)
    const order = [...ranked.filter(isStrong), ...ranked.filter(host => !isStrong(host))]
    plan.set(region, order.slice(0, DISPATCHERS_PER_REGION))
  }
  return plan
}

/** Where a service's servers are, and which of them a statement can use. */
export interface DispatchTarget {
  /** The regions that have servers of the service. */
  readonly serverRegions: ReadonlySet<string>
  readonly primaryRegion: string | null
  /** Only the primary can run the statement. */
  readonly atPrimary: boolean
}

/** The dispatchers in the order in which a host of the region asks them. */
export function dispatchersFrom(
  plan: DispatcherPlan,
  region: string,
  { serverRegions, primaryRegion, atPrimary }: DispatchTarget,
): readonly string[] {
  const preferred = atPrimary ? [primaryRegion, region] : [region, primaryRegion]
  const rank = (each: string): number => {
    const index = preferred.indexOf(each)
    return index < 0 ? preferred.length : index
  }
  return dispatchingRegions(plan, serverRegions)
    .sort((left, right) => rank(left) - rank(right) || (left < right ? -1 : 1))
    .flatMap(each => plan.get(each) ?? [])
}

/** The regions whose dispatchers are used: those with servers, or all where none of these has a dispatcher. */
export function dispatchingRegions(
  plan: DispatcherPlan,
  serverRegions: ReadonlySet<string>,
): string[] {
  const regions = [...plan.keys()]
  const withServers = regions.filter(region => serverRegions.has(region))
  return withServers.length > 0 ? withServers : regions
}

/** The hosts that run statements for others, by region. */
function groupByRegion(
  hosts: ReadonlyMap<string, HostRecord>,
): Map<string, Map<string, HostRecord>> {
  const regions = new Map<string, Map<string, HostRecord>>()
  for (const [host, record] of hosts) {
    if (record.relay === null) continue
    const members = regions.get(record.region) ?? new Map<string, HostRecord>()
    members.set(host, record)
    regions.set(record.region, members)
  }
  return regions
}
