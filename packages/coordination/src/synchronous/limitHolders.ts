/** Plans which entry hosts hold the parts of a customer's limit, and the order in which a host asks them. */
import type { CustomerName } from '@nutmegcourse/shared'
import { mixHashes, nameHash } from '../stableHash.js'
import type { HostRecord } from './changeRecord.js'
import { hostDistance, planOwners } from './serviceOwners.js'

/**
 * Number of hosts that hold a part. Without one of the five, four fifths of the limit remain; a host that becomes
 * a holder before the other hosts know of it adds a fifth at most.
 */
export const LIMIT_PARTS = 5

export function planLimitHolders(
  customer: CustomerName,
  hosts: ReadonlyMap<string, HostRecord>,
): readonly string[] {
  return planOwners(`limit of ${customer}`, hosts, LIMIT_PARTS).owners
}

/** Orders the nearest holders first. Hosts of one zone start with different holders, so that the parts are used evenly. */
export function limitHoldersFrom(
  holders: readonly string[],
  hosts: ReadonlyMap<string, HostRecord>,
  self: string,
  place: Pick<HostRecord, 'zone' | 'region'>,
): readonly string[] {
  const distance = (host: string): number => hostDistance(hosts.get(host), place)
  const selfHash = nameHash(self)
  const score = (host: string): number => mixHashes(nameHash(host), selfHash)
  return [...holders].sort(
    (left, right) => distance(left) - distance(right) || score(left) - score(right),
  )
}
