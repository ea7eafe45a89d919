/**
 * Determines the log position that a server must have reached for a read to meet its route's freshness guarantee.
 *
 * A bound is a position that covers every write acknowledged before a time of this host's monotonic
 * clock. Its only source is a primary's answer, given as primary, to a request sent at that time:
 * that this host has seen no commit says nothing about commits acknowledged through other hosts.
 */
import {
  laterPosition,
  milliseconds,
  type LogPosition,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type { ReadGuarantee } from '@nutmegcourse/protocol'
import { BoundHistory } from '../boundHistory.js'

export type ReadRequirement =
  /** Only the primary can serve the read, and must prove that it still leads. */
  | { readonly kind: 'primary' }
  /** Any server whose log has reached the position can serve the read. */
  | { readonly kind: 'position'; readonly position: LogPosition }
  /** No bound is recent enough; the primary must be queried first. */
  | { readonly kind: 'unknown' }

export class FreshnessBounds {
  readonly #history = new BoundHistory()
  #newestAsOf = milliseconds(Number.NEGATIVE_INFINITY)

  /** The time as of which the newest bound holds. */
  get newestAsOf(): Milliseconds {
    return this.#newestAsOf
  }

  /** The primary answered a request sent at `askedAt` with the end position of its log. */
  add(askedAt: Milliseconds, position: LogPosition): void {
    this.#history.add(askedAt, position)
    if (askedAt > this.#newestAsOf) this.#newestAsOf = askedAt
  }

  requirementFor(
    guarantee: ReadGuarantee,
    ownPosition: LogPosition | null,
    now: Milliseconds,
  ): ReadRequirement {
    switch (guarantee.kind) {
      case 'latest':
        return { kind: 'primary' }
      case 'bounded':
        return this.#positionWithin(guarantee.maximumAgeMilliseconds, null, now)
      case 'ownWrites':
        return this.#positionWithin(guarantee.maximumAgeMilliseconds, ownPosition, now)
    }
  }

  /** Uses the oldest bound that is recent enough, because more servers have reached it. */
  #positionWithin(
    maximumAge: number,
    ownPosition: LogPosition | null,
    now: Milliseconds,
  ): ReadRequirement {
    const bound = this.#history.boundSince(milliseconds(now - maximumAge))
    if (bound === null) return { kind: 'unknown' }
    return {
      kind: 'position',
      position: ownPosition === null ? bound : laterPosition(bound, ownPosition),
    }
  }
}
