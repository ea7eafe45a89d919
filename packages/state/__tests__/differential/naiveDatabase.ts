/**
 * The naive reference model: one copy without failures, as a list of acknowledged writes. What callers
 * of the simulated fleet saw is compared with it.
 */

interface AcknowledgedWrite {
  readonly write: string
  readonly session: string
  readonly at: number
}

/** How many writes of the list were acknowledged by some time, and so must be visible to a read. */
export type AcknowledgedCount = number

export class NaiveDatabase {
  readonly #acknowledged: AcknowledgedWrite[] = []

  acknowledge(write: string, session: string, at: number): void {
    this.#acknowledged.push({ write, session, at })
  }

  get length(): AcknowledgedCount {
    return this.#acknowledged.length
  }

  get writes(): readonly string[] {
    return this.#acknowledged.map(each => each.write)
  }

  /** The session's own writes among the first `length` of the list. */
  ownWrites(session: string, length: AcknowledgedCount): readonly string[] {
    return this.#acknowledged
      .slice(0, length)
      .filter(each => each.session === session)
      .map(each => each.write)
  }

  allWrites(length: AcknowledgedCount): readonly string[] {
    return this.#acknowledged.slice(0, length).map(each => each.write)
  }

  writesBefore(time: number): readonly string[] {
    return this.#acknowledged.filter(each => each.at < time).map(each => each.write)
  }
}
