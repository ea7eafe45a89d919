/**
 * Tracks whether a primary's writes are still confirmed by its replicas. A primary that is partitioned from them goes
 * on serving reads but blocks every write: each holds a connection until its deadline, so that none is left for reads,
 * and its caller is answered that the outcome is unknown, although an unsent write could have gone elsewhere.
 */
import { milliseconds, type Milliseconds } from '@nutmegcourse/shared'

/**
 * A write that takes longer than this, and longer than a few usual statements, is more than slow: a loaded primary
 * answers within 200 ms, and each further millisecond leaves one more caller with an unknown outcome.
 */
const MIN_CONFIRMATION_TIMEOUT_MILLISECONDS = 300
const CONFIRMATION_TIMEOUT_FACTOR = 3

/**
 * Between two writes that probe the primary. Without this interval, a server that reports at once that a write was not
 * confirmed answered a hundred of them a second, each leaving one more caller with an unknown outcome.
 */
const PROBE_INTERVAL_MILLISECONDS = 250

/** The host ticks more often than this; a longer gap means that its own process was stalled. */
export const STALL_MILLISECONDS = 250

/** Unconfirmed writes in a row before writes are in doubt. A single one may have timed out for a reason of its own. */
const UNCONFIRMED_THRESHOLD = 2

/** What the end of a write shows about whether writes are confirmed. */
export type WriteOutcome =
  /** The server acknowledged it. */
  | 'confirmed'
  /** It ran, and the server timed out waiting for a replica. */
  | 'unconfirmed'
  /** It was refused before it ran, or lost with its connection; shows nothing. */
  | 'silent'

/** A write, or commit of writes, that was sent to the server and has not ended. */
export interface OpenWrite {
  readonly sentAt: Milliseconds
}

export class WriteConfirmation {
  readonly #open = new Set<OpenWrite>()
  #confirmedAt: Milliseconds = milliseconds(Number.NEGATIVE_INFINITY)
  #consecutiveUnconfirmed = 0
  #lastTickAt: Milliseconds | null = null
  /** The end of this host's last stall. Time that a write waited before it is not held against the server. */
  #stallEndedAt: Milliseconds = milliseconds(Number.NEGATIVE_INFINITY)
  #lastSentAt: Milliseconds = milliseconds(Number.NEGATIVE_INFINITY)
  /** Writes were not confirmed in time, and none has been confirmed since. */
  #isInDoubt = false

  noteSent(now: Milliseconds): OpenWrite {
    const write = { sentAt: now }
    this.#open.add(write)
    this.#lastSentAt = now
    return write
  }

  /** The host calls this regularly, so that a gap shows a stall of its process. */
  noteTick(now: Milliseconds): void {
    this.#noteStall(now)
    this.#lastTickAt = now
  }

  noteEnded(write: OpenWrite, outcome: WriteOutcome, now: Milliseconds): void {
    this.#open.delete(write)
    switch (outcome) {
      case 'confirmed':
        this.#confirmedAt = now
        this.#isInDoubt = false
        this.#consecutiveUnconfirmed = 0
        return
      case 'unconfirmed':
        // A write sent before the last confirmation reflects an earlier state.
        if (write.sentAt < this.#confirmedAt) return
        this.#consecutiveUnconfirmed += 1
        if (this.#consecutiveUnconfirmed >= UNCONFIRMED_THRESHOLD) this.#isInDoubt = true
        return
      case 'silent':
        return
    }
  }

  /**
   * Whether a further write may be sent. While in doubt, a few writes a second, one at a time, probe the primary.
   * `usualMilliseconds`: the usual duration of a statement there.
   */
  mayWrite(usualMilliseconds: number, now: Milliseconds): boolean {
    if (this.#isOverdue(usualMilliseconds, now)) this.#isInDoubt = true
    if (!this.#isInDoubt) return true
    return this.#open.size === 0 && now - this.#lastSentAt >= PROBE_INTERVAL_MILLISECONDS
  }

  /**
   * After a stall, a host finds its writes aged by the duration of the stall, with their answers unread. Without this
   * rule it took that for a primary cut off from its replicas and rolled back the following commits.
   */
  #noteStall(now: Milliseconds): void {
    if (this.#lastTickAt === null || now - this.#lastTickAt <= STALL_MILLISECONDS) return
    this.#stallEndedAt = now
    this.#lastTickAt = now
  }

  #isOverdue(usualMilliseconds: number, now: Milliseconds): boolean {
    this.#noteStall(now)
    const timeout = Math.max(
      MIN_CONFIRMATION_TIMEOUT_MILLISECONDS,
      usualMilliseconds * CONFIRMATION_TIMEOUT_FACTOR,
    )
    for (const { sentAt } of this.#open) {
      const waited = now - Math.max(sentAt, this.#stallEndedAt)
      if (this.#confirmedAt < sentAt && waited > timeout) return true
    }
    return false
  }
}
