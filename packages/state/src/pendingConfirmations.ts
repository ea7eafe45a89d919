/**
 * Tracks writes that ran and wait until a majority is known to hold them.
 *
 * @internal
 */
import type { BackendServerId, LogPosition, Milliseconds } from '@nutmegcourse/shared'
import type { TermStart } from '@nutmegcourse/protocol'
import type { PositionTracker } from './positionTracker.js'
import type { ProxyRequest } from './proxyRequest.js'
import { containsWrite } from './termHistory.js'

export interface PendingWrite {
  readonly request: ProxyRequest
  readonly position: LogPosition
  readonly primary: BackendServerId
  readonly ranAt: Milliseconds
  readonly expiresAt: Milliseconds
}

export type SettledWrite =
  | { readonly kind: 'confirmed'; readonly write: PendingWrite }
  /** The log of a later term, which a majority holds, does not contain it: the loss is final. */
  | { readonly kind: 'rolledBack'; readonly write: PendingWrite }
  | { readonly kind: 'expired'; readonly write: PendingWrite }

export class PendingConfirmations {
  #writes: PendingWrite[] = []

  get size(): number {
    return this.#writes.length
  }

  get writes(): readonly PendingWrite[] {
    return this.#writes
  }

  add(write: PendingWrite): void {
    this.#writes.push(write)
  }

  remove(request: ProxyRequest): void {
    this.#writes = this.#writes.filter(write => write.request !== request)
  }

  nextExpiry(): Milliseconds | null {
    let earliest: Milliseconds | null = null
    for (const { expiresAt } of this.#writes) {
      if (earliest === null || expiresAt < earliest) earliest = expiresAt
    }
    return earliest
  }

  /** Removes and returns the writes that expired or whose outcome the position reports decide. */
  settle(
    tracker: PositionTracker,
    termStarts: readonly TermStart[],
    now: Milliseconds,
  ): SettledWrite[] {
    if (this.#writes.length === 0) return []
    const settled: SettledWrite[] = []
    this.#writes = this.#writes.filter(write => {
      const outcome = confirmationOutcome(write, tracker, termStarts)
      const kind = outcome ?? (now >= write.expiresAt ? 'expired' : null)
      if (kind !== null) settled.push({ kind, write })
      return kind === null
    })
    return settled
  }
}

/**
 * Decides a write's outcome from the newest position reports; null while it is open.
 *
 * Confirmed by its own term: a majority, including its primary, held it while their logs ended in
 * that term and none was fenced at a later one. A coordinator that fences a majority for a later
 * term reaches one of these servers, so the later term starts at or past the write. A server that
 * is fenced at a later term does not count: it may hold the write as a copy from a later primary,
 * which a third term can outrank.
 *
 * Decided by a later term: once the logs of a majority end in term L, at which they are fenced,
 * every later primary is chosen from a fenced majority that overlaps with it, so its log begins
 * with L's. What L's log contains is then permanent, and what it lacks can never be inserted before
 * L's opening record: such a write "did not run". Before a majority holds L both outcomes are open:
 * L may still fail, and a server that lacks L but holds the write may be chosen for the term after
 * it. (Until the replaced primary follows the new one, a read there may see the write; such a read
 * is only guaranteed its required position, not the write.)
 */
export function confirmationOutcome(
  { position, primary }: PendingWrite,
  tracker: PositionTracker,
  termStarts: readonly TermStart[],
): 'confirmed' | 'rolledBack' | null {
  if (position.offset <= tracker.confirmedOffset(position.term, primary)) return 'confirmed'
  const later = tracker.majorityTerm
  if (later === null || later <= position.term) return null
  const containment = containsWrite(termStarts, later, position)
  if (containment === 'unknown') return null
  return containment === 'held' ? 'confirmed' : 'rolledBack'
}
