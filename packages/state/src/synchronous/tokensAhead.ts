/** The tokens of one part of a limit that were handed ahead, each until no host can use it any more. */
import { addMilliseconds, type Milliseconds } from '@nutmegcourse/shared'

/** A host may use a token that it was handed ahead for this long after it has sent the request for it. */
export const AHEAD_MILLISECONDS = 1000

/** Tokens handed ahead within such a span are counted together, until the last of them has expired. */
const MERGED_SPAN_MILLISECONDS = 20

interface HandedTokens {
  readonly firstAt: Milliseconds
  count: number
  until: Milliseconds
}

export class TokensAhead {
  readonly #handed: HandedTokens[] = []
  readonly #unknownUntil: Milliseconds

  /**
   * `knownFrom`: the time from which no tokens are handed ahead that this host does not know of. For the lifetime of a
   * token after it, as many count as handed ahead as an earlier incarnation can have handed at most.
   */
  constructor(knownFrom: Milliseconds) {
    this.#unknownUntil = addMilliseconds(knownFrom, AHEAD_MILLISECONDS)
  }

  /** Tokens that may still be used; `most` while that is not known. */
  outstanding(now: Milliseconds, most: number): number {
    if (now < this.#unknownUntil) return most
    while ((this.#handed[0]?.until ?? now) < now) this.#handed.shift()
    return this.#handed.reduce((sum, { count }) => sum + count, 0)
  }

  add(count: number, now: Milliseconds): void {
    const until = addMilliseconds(now, AHEAD_MILLISECONDS)
    const last = this.#handed.at(-1)
    if (last === undefined || now > last.firstAt + MERGED_SPAN_MILLISECONDS) {
      this.#handed.push({ firstAt: now, count, until })
      return
    }
    last.count += count
    last.until = until
  }
}
