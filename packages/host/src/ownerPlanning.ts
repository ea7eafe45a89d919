/**
 * Plans for one service which hosts hold connections to its servers, and which vote on its primary.
 *
 * @internal
 */
import { planOwners, type HostRecord, type OwnerPlan } from '@nutmegcourse/coordination'
import { regionId, type RegionId } from '@nutmegcourse/shared'

/**
 * The least number of hosts that vote on a primary that an owner finds silent. A network partition that separates
 * a third of nine hosts leaves three that can agree; with only the three owners voting, it left one, which waited
 * for seconds because it might have been cut off itself.
 */
const MIN_OBSERVERS = 9

/** A plan of owners, and the hosts that vote on the primary: the owners, and others where they are few. */
export interface ObservedPlan extends OwnerPlan {
  readonly observers: readonly string[]
}

export function planHolders(
  service: string,
  hosts: ReadonlyMap<string, HostRecord>,
  holders: number,
): ObservedPlan {
  const plan = planOwners(service, hosts, Math.max(holders, MIN_OBSERVERS))
  // A plan for fewer hosts contains the first ones of a larger plan.
  return { ...plan, owners: plan.owners.slice(0, holders), observers: plan.owners }
}

/** The plan for a service whose owners are its dispatchers. */
export function planAround(
  dispatchers: readonly string[],
  service: string,
  hosts: ReadonlyMap<string, HostRecord>,
): ObservedPlan {
  const plan = planOwners(service, hosts, MIN_OBSERVERS)
  const others = plan.owners.filter(host => !dispatchers.includes(host))
  const missing = Math.max(0, MIN_OBSERVERS - dispatchers.length)
  return {
    ...plan,
    owners: dispatchers,
    observers: [...dispatchers, ...others.slice(0, missing)],
  }
}

export function countByRegion({ owners, hosts }: OwnerPlan): Map<RegionId, number> {
  const counts = new Map<RegionId, number>()
  for (const owner of owners) {
    const region = hosts.get(owner)?.region
    if (region === undefined) continue
    const key = regionId(region)
    counts.set(key, (counts.get(key) ?? 0) + 1)
  }
  return counts
}
