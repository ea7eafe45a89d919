/** Hashes that are the same at every host and in every release: what they decide must agree. */
import { xxHash32 } from 'js-xxhash'

/** An unsigned 32-bit number. */
export const stableHash = (text: string): number => xxHash32(text)

/** Names of hosts and services are few, and each is hashed again in every draw. */
const NAME_CACHE_LIMIT = 8192
const hashByName = new Map<string, number>()

/** `stableHash` of the name of a host or a service, which is kept. */
export function nameHash(name: string): number {
  const known = hashByName.get(name)
  if (known !== undefined) return known
  if (hashByName.size >= NAME_CACHE_LIMIT) hashByName.clear()
  const hash = stableHash(name)
  hashByName.set(name, hash)
  return hash
}

/** Combines two hashes so that each bit of either moves half the bits of the result. */
export function mixHashes(left: number, right: number): number {
  let mixed = (left ^ Math.imul(right, 0x9e3779b1)) >>> 0
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
