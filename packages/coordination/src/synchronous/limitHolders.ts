/** Which entry hosts hold the parts of a customer's limit, and in which order a host asks them. */
import type { CustomerName } from '@nutmegcourse/shared'
import { mixHashes, nameHash } from '../stableHash.js'
import type { HostRecord } from './changeRecord.js'
import { hostDistance, planOwners } from './serviceOwners.js'

/**
 * Hosts that hold a part. With one of five gone, four fifths of the limit are left; a host that newly holds a part
 * while another one has not heard of it adds a fifth at most.
 */
export const LIMIT_PARTS = 5

export function planLimitHolders(
  customer: CustomerName,
  hosts: ReadonlyMap<string, HostRecord>,
): readonly string[] {
  return planOwners(`limit of ${customer}`, hosts, LIMIT_PARTS).owners
}

/** Near ones first. Hosts of one place begin with different ones, so that the parts are used up evenly. */
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
