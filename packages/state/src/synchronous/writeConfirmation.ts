/**
 * Whether a primary still gets its writes confirmed. One that is cut off from its replicas goes on
 * reading, and lets every write wait: each holds a connection to the end of its time, reads find
 * none, and its caller hears that the outcome is unknown, where it could have been sent elsewhere
 * unrun.
 */
import { milliseconds, type Milliseconds } from '@nutmegcourse/shared'

/**
 * A write that takes longer than this, and than a few usual answers, is not only slow: a loaded primary
 * answers within 200 ms, and each further millisecond is one more caller whose outcome is unknown.
 */
const LEAST_PATIENCE_MILLISECONDS = 300
const PATIENCE_FACTOR = 3

/**
 * From one write that finds out to the next. A server that says at once that a write was not confirmed
 * answered a hundred of them a second, each one caller more whose outcome is unknown.
 */
const PROBE_SPACING_MILLISECONDS = 250

/** The host looks at its servers more often than this; a longer gap is a standstill of its own process. */
export const STANDSTILL_MILLISECONDS = 250

/** A single one may have run out of time by itself. */
const UNCONFIRMED_IN_ROW = 2

/** How a write ended, as far as it says whether writes are confirmed. */
export type WriteEnd =
  /** The server said that it is kept. */
  | 'confirmed'
  /** It ran, and the server gave up waiting for a replica. */
  | 'unconfirmed'
  /** It was refused unrun, or lost with its connection. */
  | 'silent'

/** One write, or commit of writes, that the server was given. */
export interface OpenWrite {
  readonly sentAt: Milliseconds
}

export class WriteConfirmation {
  readonly #open = new Set<OpenWrite>()
  #confirmedAt: Milliseconds = milliseconds(Number.NEGATIVE_INFINITY)
  #unconfirmedInRow = 0
  #tickedAt: Milliseconds | null = null
  /** The end of this host's last standstill: how long a write waited before says nothing of the server. */
  #countsFrom: Milliseconds = milliseconds(Number.NEGATIVE_INFINITY)
  #lastSentAt: Milliseconds = milliseconds(Number.NEGATIVE_INFINITY)
  /** A write was not confirmed in time, and none has been since. */
  #isInDoubt = false

  sent(now: Milliseconds): OpenWrite {
    const write = { sentAt: now }
    this.#open.add(write)
    this.#lastSentAt = now
    return write
  }

  /** The host looked at its servers. */
  noteTick(now: Milliseconds): void {
    this.#noteStandstill(now)
    this.#tickedAt = now
  }

  ended(write: OpenWrite, end: WriteEnd, now: Milliseconds): void {
    this.#open.delete(write)
    switch (end) {
      case 'confirmed':
        this.#confirmedAt = now
        this.#isInDoubt = false
        this.#unconfirmedInRow = 0
        return
      case 'unconfirmed':
        // One that was sent before the last confirmation tells of an earlier state.
        if (write.sentAt < this.#confirmedAt) return
        this.#unconfirmedInRow += 1
        if (this.#unconfirmedInRow >= UNCONFIRMED_IN_ROW) this.#isInDoubt = true
        return
      case 'silent':
        return
    }
  }

  /**
   * Whether a further write may be sent; while in doubt, one at a time finds out, a few a second. `usual`:
   * what a statement takes there, in milliseconds.
   */
  mayWrite(usual: number, now: Milliseconds): boolean {
    if (this.#isStalled(usual, now)) this.#isInDoubt = true
    if (!this.#isInDoubt) return true
    return this.#open.size === 0 && now - this.#lastSentAt >= PROBE_SPACING_MILLISECONDS
  }

  /**
   * A host that stood still finds its writes as old as its standstill, and answers to them unread. It took
   * that for a primary without replicas and rolled back the commits that came next.
   */
  #noteStandstill(now: Milliseconds): void {
    if (this.#tickedAt === null || now - this.#tickedAt <= STANDSTILL_MILLISECONDS) return
    this.#countsFrom = now
    this.#tickedAt = now
  }

  #isStalled(usual: number, now: Milliseconds): boolean {
    this.#noteStandstill(now)
    const patience = Math.max(LEAST_PATIENCE_MILLISECONDS, usual * PATIENCE_FACTOR)
    for (const { sentAt } of this.#open) {
      const waited = now - Math.max(sentAt, this.#countsFrom)
      if (this.#confirmedAt < sentAt && waited > patience) return true
    }
    return false
  }
}
