/**
 * Compresses long lists of changes for the change feed. A large configuration is sent to every host of a zone, and
 * would fill the link of a weak host for half a second.
 *
 * @internal
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import type { RevisedChange } from '@nutmegcourse/protocol'
import { isRevisedChange } from './relayChecks.js'

/** Shorter lists are sent as they are. */
const SHORTEST_PACKED_CHARACTERS = 8192

/** Longer lists are not unpacked to their end. */
const MAXIMUM_UNPACKED_BYTES = 256 * 1024 * 1024

/** Favours processor time: configurations repeat themselves and shrink to a tenth at any level. */
const COMPRESSION_LEVEL = 1

export interface PackedChanges {
  /** Base64 text of the compressed JSON text. */
  readonly deflated: string
}

export type SentChanges = readonly RevisedChange[] | PackedChanges

/** Null if they cannot be read. */
export function unpackChanges(sent: SentChanges): readonly RevisedChange[] | null {
  const changes = 'deflated' in sent ? inflate(sent.deflated) : sent
  return Array.isArray(changes) && changes.every(isRevisedChange) ? changes : null
}

function inflate(deflated: string): unknown {
  try {
    const packed = Buffer.from(deflated, 'base64')
    const text = inflateRawSync(packed, { maxOutputLength: MAXIMUM_UNPACKED_BYTES })
    return JSON.parse(text.toString('utf8'))
  } catch {
    // Cut off, not compressed, too long, or not JSON: the reader logs that it skips the host.
    return null
  }
}

/** Packs lists of changes, each once for all hosts that ask for the same one. */
export class ChangePacker {
  /** Of the latest revision, by the question that they answer. */
  readonly #packed = new Map<string, SentChanges>()
  #revision = 0

  pack(changes: readonly RevisedChange[], revision: number, question: string): SentChanges {
    if (revision !== this.#revision) this.#packed.clear()
    this.#revision = revision
    const known = this.#packed.get(question)
    if (known !== undefined) return known
    const sent = packChanges(changes)
    this.#packed.set(question, sent)
    return sent
  }
}

function packChanges(changes: readonly RevisedChange[]): SentChanges {
  const text = JSON.stringify(changes)
  if (text.length < SHORTEST_PACKED_CHARACTERS) return changes
  return { deflated: deflateRawSync(text, { level: COMPRESSION_LEVEL }).toString('base64') }
}
