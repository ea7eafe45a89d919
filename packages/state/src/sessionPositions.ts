/**
 * Stores the last write position of each session of one database, for reading its own writes.
 *
 * @internal
 */
import {
  LOG_START,
  isAtOrPast,
  laterPosition,
  type LogPosition,
  type SessionId,
} from '@nutmegcourse/shared'

/**
 * Beyond a limit, evicts the session that has not advanced for the longest time. An evicted session
 * must still read its own writes, so its position raises a floor that applies to every session
 * without an entry.
 */
export class SessionPositions {
  readonly #positions = new Map<SessionId, LogPosition>()
  readonly #limit: number
  #floor: LogPosition = LOG_START

  constructor(limit: number) {
    this.#limit = limit
  }

  requiredPosition(session: SessionId): LogPosition {
    return this.#positions.get(session) ?? this.#floor
  }

  /** Records that the session wrote up to `position`, even if the outcome is unknown. */
  advance(session: SessionId, position: LogPosition): void {
    const known = this.#positions.get(session)
    if (known !== undefined && isAtOrPast(known, position)) return
    // Deleting first moves the session to the end of the map's iteration order.
    this.#positions.delete(session)
    this.#positions.set(session, laterPosition(position, this.#floor))
    if (this.#positions.size > this.#limit) this.#forgetOldest()
  }

  forget(session: SessionId): void {
    this.#positions.delete(session)
  }

  get size(): number {
    return this.#positions.size
  }

  #forgetOldest(): void {
    for (const [session, position] of this.#positions) {
      this.#floor = laterPosition(this.#floor, position)
      this.#positions.delete(session)
      return
    }
  }
}
