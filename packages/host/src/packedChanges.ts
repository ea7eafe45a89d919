/**
 * Compresses long lists of changes for the change feed. A large configuration is sent to every host of a zone, and
 * would fill the link of a weak host for half a second.
 *
 * @internal
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import type { RevisedChange } from '@nutmegcourse/protocol'

/** Shorter lists are sent as they are. */
const SHORTEST_PACKED_CHARACTERS = 8192

/** Favours processor time: configurations repeat themselves and shrink to a tenth at any level. */
const COMPRESSION_LEVEL = 1

export interface PackedChanges {
  /** Base64 text of the compressed JSON text. */
  readonly deflated: string
}

export type SentChanges = readonly RevisedChange[] | PackedChanges

export function unpackChanges(sent: SentChanges): readonly RevisedChange[] {
  if (!('deflated' in sent)) return sent
  const text = inflateRawSync(Buffer.from(sent.deflated, 'base64')).toString('utf8')
  return JSON.parse(text) as readonly RevisedChange[]
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
