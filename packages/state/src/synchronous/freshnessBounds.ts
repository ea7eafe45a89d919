/**
 * Which log position a read must find, so that it sees what its route promises.
 *
 * A bound is a position that holds every write acknowledged before a time of this host's steady
 * clock. The only source is an answer that the primary gave as primary, to a question sent at that
 * time: having seen no commit oneself says nothing of what other hosts acknowledged.
 */
import {
  laterPosition,
  milliseconds,
  type LogPosition,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type { ReadGuarantee } from '@nutmegcourse/protocol'
import { BoundHistory } from '../boundHistory.js'

export type ReadNeed =
  /** Only the primary can serve it, and has to show that it still leads. */
  | { readonly kind: 'primary' }
  /** Any server whose log holds the position. */
  | { readonly kind: 'position'; readonly position: LogPosition }
  /** No bound is young enough; the primary must be asked. */
  | { readonly kind: 'unknown' }

export class FreshnessBounds {
  readonly #history = new BoundHistory()
  #newestAsOf = milliseconds(Number.NEGATIVE_INFINITY)

  /** As of when the newest bound is. */
  get newestAsOf(): Milliseconds {
    return this.#newestAsOf
  }

  /** The primary answered a question sent at `askedAt` with the end of its log. */
  note(askedAt: Milliseconds, position: LogPosition): void {
    this.#history.add(askedAt, position)
    if (askedAt > this.#newestAsOf) this.#newestAsOf = askedAt
  }

  need(guarantee: ReadGuarantee, own: LogPosition | null, now: Milliseconds): ReadNeed {
    switch (guarantee.kind) {
      case 'latest':
        return { kind: 'primary' }
      case 'bounded':
        return this.#bounded(guarantee.maximumAgeMilliseconds, null, now)
      case 'ownWrites':
        return this.#bounded(guarantee.maximumAgeMilliseconds, own, now)
    }
  }

  /** The oldest bound that is young enough: the more servers have reached it. */
  #bounded(maximumAge: number, own: LogPosition | null, now: Milliseconds): ReadNeed {
    const bound = this.#history.boundSince(milliseconds(now - maximumAge))
    if (bound === null) return { kind: 'unknown' }
    return { kind: 'position', position: own === null ? bound : laterPosition(bound, own) }
  }
}
