/**
 * Digests of API keys, as hosts store and forward them. A key is secret and leaves the wire codecs only as a
 * digest, so that no log line, metric or message between hosts can disclose it.
 */
import { createHash } from 'node:crypto'
import type { Brand } from './brand.js'

export type KeyDigest = Brand<string, 'KeyDigest'>

/** 128 bits, enough that no two keys collide. */
const DIGEST_BYTES = 16

export const digestOfKey = (key: string): KeyDigest =>
  createHash('sha256')
    .update(key)
    .digest()
    .subarray(0, DIGEST_BYTES)
    .toString('base64url') as KeyDigest
