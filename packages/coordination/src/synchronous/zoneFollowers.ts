/**
 * Which hosts of an availability zone watch the store for the others. Each change ends every watch at the store, so
 * with a watch of each host the calls grow as hosts times changes.
 */
import { mixHashes, nameHash } from '../stableHash.js'
import type { HostRecord } from './changeRecord.js'

/** In a smaller zone each host watches the store itself, which costs few calls. */
const MINIMUM_HOSTS = 6

/** Hosts of a zone that are asked, in order, before the store is. */
const FOLLOWER_COUNT = 3

/**
 * The hosts of a zone through which the others watch the store, in order: the strongest first, since forwarding
 * costs processor time and bytes. Every host works out the same from the same records.
 */
export function planFollowers(
  zone: string,
  hosts: ReadonlyMap<string, HostRecord>,
): readonly string[] {
  const members = [...hosts].filter(([, record]) => record.zone === zone && record.relay !== null)
  if (members.length < MINIMUM_HOSTS) return []
  const score = (host: string): number => mixHashes(nameHash(host), nameHash(zone))
  return members
    .sort(([left, a], [right, b]) => b.weight - a.weight || score(right) - score(left))
    .slice(0, FOLLOWER_COUNT)
    .map(([host]) => host)
}

/** Whom one host asks: the followers before it in the order. The first watches the store itself. */
export function followersBefore(followers: readonly string[], self: string): readonly string[] {
  const selfIndex = followers.indexOf(self)
  return selfIndex < 0 ? followers : followers.slice(0, selfIndex)
}
