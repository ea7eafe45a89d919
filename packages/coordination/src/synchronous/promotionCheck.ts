/**
 * Compares where the log of a new primary starts with the positions that the servers of its group had before, to
 * find out afterwards whether the change of primary lost writes.
 *
 * A write is acknowledged once a replica has received it, so what a replica had must be in the log of the next
 * primary. The last writes of an old primary may have reached no replica; then they were not acknowledged.
 */
import { isAtOrPast, type BackendServerId, type LogPosition, type Term } from '@nutmegcourse/shared'

export interface SeenPosition {
  readonly server: BackendServerId
  readonly at: LogPosition
  /** Whether it may have been the primary of that term: its last writes may never have been acknowledged. */
  readonly mayHaveLed: boolean
}

/** The first report of a new primary. */
export interface PromotedLog {
  readonly server: BackendServerId
  /** The term that it leads. */
  readonly term: Term
  /** The end of its log. Its term may still be the one before; its offset is at or past the start of the new term. */
  readonly received: LogPosition
}

export interface ServerAhead extends SeenPosition {
  /** The least number of records that the new primary lacks. */
  readonly records: number
}

/** The servers that had records which the new primary lacks, by the number of these records, greatest first. */
export function findServersAhead(
  promoted: PromotedLog,
  seen: readonly SeenPosition[],
): readonly ServerAhead[] {
  const earlier = seen.filter(({ at }) => at.term < promoted.term)
  const lastTerm = Math.max(...earlier.map(({ at }) => at.term))
  const ahead: ServerAhead[] = []
  for (const position of earlier) {
    // A position of an older term may have been rolled back by a change before this one.
    if (position.at.term !== lastTerm || holds(promoted, position.at)) continue
    const records = Math.max(1, position.at.offset - promoted.received.offset)
    ahead.push({ ...position, records })
  }
  return ahead.sort((left, right) => right.records - left.records)
}

/** Records are counted on from term to term, so a log that already has one of the new term is compared by its length. */
function holds({ term, received }: PromotedLog, at: LogPosition): boolean {
  return received.term === term ? received.offset >= at.offset : isAtOrPast(received, at)
}
