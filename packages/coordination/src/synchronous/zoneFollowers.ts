/**
 * Plans which hosts of an availability zone watch the store and serve the change feed to the others. Each change ends
 * every watch at the store, so if every host watched, the number of calls would grow as hosts times changes.
 */
import { mixHashes, nameHash } from '../stableHash.js'
import type { HostRecord } from './changeRecord.js'

/** In a smaller zone every host watches the store itself, which takes few calls. */
const MINIMUM_HOSTS = 6

/** Number of hosts of a zone that are asked, in order, before the store. */
const FOLLOWER_COUNT = 3

/**
 * The hosts of a zone that forward store changes to the others, in order: the strongest first, since forwarding
 * costs processor time and bandwidth. Every host computes the same order from the same records.
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

/** A host's place. */
export interface HostPlace {
  readonly entryHost: string
  readonly zone: string
  readonly region: string
}

/**
 * The other hosts that follow the store themselves, in the order in which a host asks them that the store does not
 * serve: nearer ones first, and among equals in another order for each host, so that they share the load.
 */
export function otherFollowers(
  { entryHost, zone, region }: HostPlace,
  hosts: ReadonlyMap<string, HostRecord>,
): readonly string[] {
  const distance = (record: HostRecord): number => {
    if (record.zone === zone) return 0
    return record.region === region ? 1 : 2
  }
  const zones = new Set([...hosts.values()].map(record => record.zone))
  const followers = new Set([...zones].flatMap(each => followersOf(each, hosts)))
  const score = (host: string): number => mixHashes(nameHash(host), nameHash(entryHost))
  return [...hosts]
    .filter(([host, { relay }]) => followers.has(host) && host !== entryHost && relay !== null)
    .sort(([left, a], [right, b]) => distance(a) - distance(b) || score(right) - score(left))
    .map(([host]) => host)
}

/** In a small zone all hosts follow the store. */
function followersOf(zone: string, hosts: ReadonlyMap<string, HostRecord>): readonly string[] {
  const planned = planFollowers(zone, hosts)
  if (planned.length > 0) return planned
  return [...hosts].filter(([, record]) => record.zone === zone).map(([host]) => host)
}

/** The followers that one host asks: those before it in the order. The first one watches the store itself. */
export function followersBefore(followers: readonly string[], self: string): readonly string[] {
  const selfIndex = followers.indexOf(self)
  return selfIndex < 0 ? followers : followers.slice(0, selfIndex)
}
