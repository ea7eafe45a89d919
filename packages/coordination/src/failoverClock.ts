/**
 * The time by which a watcher judges others. It does not run while the watcher's own process stalls.
 *
 * A process runs its expired timers before it reads what arrived during a stall. A time limit that
 * counted the stall would therefore expire before the answer that it waits for is read. So a stall
 * counts as one watch interval, and after it the watcher reads for a while before it decides.
 */
import { addMilliseconds, milliseconds, type Milliseconds } from '@nutmegcourse/shared'

interface Stall {
  readonly endedAt: Milliseconds
  /** By how much the own time was behind the clock before and after it. */
  readonly behindBefore: number
  readonly behindAfter: number
}

/** A message that is later than this many times the longest wait means that this process stalled. */
const MAX_LATENESS_FACTOR = 1
/** While it reads, a watcher asks for a message this many times in a watch interval. */
const READING_TICKS = 2
/** A process that stalls again and again decides after this many watch intervals all the same. */
const MAX_READING_INTERVALS = 10
/** A request that was sent before the oldest stall kept counts as if sent earlier than it was. */
const MAX_STALLS = 16

export class FailoverClock {
  readonly #intervalMilliseconds: number
  /** When the last message was handled; null when none was awaited. */
  #lastAt: Milliseconds | null = null
  /** How late the last messages were in sum; messages that come sooner than awaited reduce it. */
  #latenessMilliseconds = 0
  #stalls: readonly Stall[] = []
  /** Since when the watcher reads without deciding; null while it decides. */
  #readingSince: Milliseconds | null = null
  #readsUntil: Milliseconds = milliseconds(0)

  constructor(watchIntervalMilliseconds: number) {
    this.#intervalMilliseconds = watchIntervalMilliseconds
  }

  /** Whether the watcher reads what arrived during a stall and must not decide yet. */
  get isReading(): boolean {
    return this.#readingSince !== null
  }

  /** Called with the time of each message. Returns whether this process stalled before it. */
  advance(at: Milliseconds): boolean {
    const gap = this.#lastAt === null ? 0 : at - this.#lastAt
    const maxWait = this.#maxWaitMilliseconds()
    this.#latenessMilliseconds = Math.max(0, this.#latenessMilliseconds + gap - maxWait)
    const hasStalled = this.#latenessMilliseconds > maxWait * MAX_LATENESS_FACTOR
    this.#lastAt = at
    if (hasStalled) this.#noteStall(gap, at)
    else if (at >= this.#readsUntil) this.#readingSince = null
    return hasStalled
  }

  /** The next message may come at any time: this host does not watch the database. */
  pause(): void {
    this.#lastAt = null
  }

  /** The latest time for the next message; a later one is taken for a stall. */
  latestWake(at: Milliseconds): Milliseconds {
    return addMilliseconds(at, this.#maxWaitMilliseconds())
  }

  toOwnTime(at: Milliseconds): Milliseconds {
    const next = this.#stalls.find(stall => at < stall.endedAt)
    if (next === undefined) return milliseconds(at - this.#behind())
    return milliseconds(Math.min(at - next.behindBefore, next.endedAt - next.behindAfter))
  }

  /** The clock's time for an own time since the last stall. */
  toClockTime(ownTime: Milliseconds): Milliseconds {
    return addMilliseconds(ownTime, this.#behind())
  }

  #noteStall(gap: number, endedAt: Milliseconds): void {
    const behindBefore = this.#behind()
    const behindAfter = behindBefore + gap - Math.min(gap, this.#intervalMilliseconds)
    this.#stalls = [...this.#stalls, { endedAt, behindBefore, behindAfter }].slice(-MAX_STALLS)
    this.#latenessMilliseconds = 0
    this.#readingSince ??= endedAt
    const readsAtMost = this.#intervalMilliseconds * MAX_READING_INTERVALS
    const latest = Math.max(endedAt, this.#readingSince + readsAtMost)
    this.#readsUntil = milliseconds(Math.min(endedAt + this.#intervalMilliseconds, latest))
  }

  #behind(): number {
    return this.#stalls.at(-1)?.behindAfter ?? 0
  }

  #maxWaitMilliseconds(): number {
    return this.isReading ? this.#intervalMilliseconds / READING_TICKS : this.#intervalMilliseconds
  }
}
