/**
 * A summary of many versioned items that is cheap to keep and to compare: hashes of buckets.
 * Two hosts with the same digest hold the same versions, but for a chance of 1 in 2^32.
 */
import type { NewsVersion } from '@nutmegcourse/protocol'
import { mixHashes, stableHash } from './stableHash.js'

export const DIGEST_BUCKETS = 64

export const bucketOf = (key: string): number => stableHash(key) % DIGEST_BUCKETS

export class GossipDigest {
  readonly #buckets = new Array<number>(DIGEST_BUCKETS).fill(0)

  /** Adds a version, or takes it out again: each is the other's inverse. */
  toggle(key: string, version: NewsVersion): void {
    const bucket = bucketOf(key)
    const entry = stableHash(`${key} ${version.join(' ')}`)
    this.#buckets[bucket] = ((this.#buckets[bucket] ?? 0) ^ entry) >>> 0
  }

  /** One number for everything. */
  root(): number {
    return this.#buckets.reduce(mixHashes, 0)
  }

  buckets(): readonly number[] {
    return [...this.#buckets]
  }

  /** Numbers of the buckets in which another host holds something else. */
  differingBuckets(others: readonly number[]): readonly number[] {
    return this.#buckets.flatMap((hash, bucket) => (hash === others[bucket] ? [] : [bucket]))
  }
}
