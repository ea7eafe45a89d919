/**
 * A digest of many versioned items that is cheap to update and to compare: one hash for each bucket.
 * Two hosts with the same digest hold the same versions, except with a probability of 1 in 2^32.
 */
import type { GossipVersion } from '@nutmegcourse/protocol'
import { mixHashes, stableHash } from './stableHash.js'

export const DIGEST_BUCKETS = 64

export const bucketOf = (key: string): number => stableHash(key) % DIGEST_BUCKETS

export class GossipDigest {
  readonly #buckets = new Array<number>(DIGEST_BUCKETS).fill(0)

  /** Adds a version, or removes it again: the operation is its own inverse. */
  toggle(key: string, version: GossipVersion): void {
    const bucket = bucketOf(key)
    const entry = stableHash(`${key} ${version.join(' ')}`)
    this.#buckets[bucket] = ((this.#buckets[bucket] ?? 0) ^ entry) >>> 0
  }

  /** One hash over all buckets. */
  root(): number {
    return this.#buckets.reduce(mixHashes, 0)
  }

  buckets(): readonly number[] {
    return [...this.#buckets]
  }

  /** Indexes of the buckets whose hashes differ from another host's. */
  differingBuckets(others: readonly number[]): readonly number[] {
    return this.#buckets.flatMap((hash, bucket) => (hash === others[bucket] ? [] : [bucket]))
  }
}
