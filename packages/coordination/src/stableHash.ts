/** Hashes that are equal on every host and in every release, since hosts must reach the same decisions by them. */
import { xxHash32 } from 'js-xxhash'

/** Returns an unsigned 32-bit number. */
export const stableHash = (text: string): number => xxHash32(text)

/** Limit of the cache: there are few names of hosts and services, and each is hashed for every ranking. */
const NAME_CACHE_LIMIT = 8192
const hashByName = new Map<string, number>()

/** `stableHash` of the name of a host or a service, cached. */
export function nameHash(name: string): number {
  const known = hashByName.get(name)
  if (known !== undefined) return known
  if (hashByName.size >= NAME_CACHE_LIMIT) hashByName.clear()
  const hash = stableHash(name)
  hashByName.set(name, hash)
  return hash
}

/** Combines two hashes so that flipping any bit of either flips about half the bits of the result. */
export function mixHashes(left: number, right: number): number {
  let mixed = (left ^ Math.imul(right, 0x9e3779b1)) >>> 0
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
