/** Orders the records of a database and derives the records of a change's later steps. */
import { assertNever, type BackendServerId, type LogPosition } from '@nutmegcourse/shared'
import { TERM_STARTS_KEPT, type GroupRecord, type TermStart } from '@nutmegcourse/protocol'

/** A record, and the newest revision of the store that its sender knew. */
export interface KnownRecord {
  readonly record: GroupRecord
  readonly revision: number
}

/**
 * Orders records by term, then by progress within the term, then by revision.
 *
 * Revisions alone are not enough: a change of primary is announced as soon as it has taken effect on
 * the backend servers, which is before the store holds it and possibly while the store is down.
 * A term belongs to one attempt, so progress within a term has a single order. Only planned moves
 * switch back and forth between phases, and those wait for the store.
 */
export function isNewerRecord(candidate: KnownRecord, known: KnownRecord | null): boolean {
  if (known === null) return true
  if (candidate.record.term !== known.record.term) return candidate.record.term > known.record.term
  const difference = progressOf(candidate.record) - progressOf(known.record)
  return difference === 0 ? candidate.revision > known.revision : difference > 0
}

/** The progress within a term. `FOUND`: a leader was found whose term start was not recorded. */
const FENCING = 0
const PROMOTING = 1
const FOUND = 2
const LED = 3

function progressOf(record: GroupRecord): number {
  switch (record.phase.kind) {
    case 'fencing':
      return FENCING
    case 'promoting':
      return PROMOTING
    case 'stable':
    case 'moving':
      return record.termStarts.at(-1)?.term === record.term ? LED : FOUND
    default:
      return assertNever(record.phase)
  }
}

/** Whether both are the same step of the same attempt; resolves swaps whose answer was lost. */
export const isSameStep = (left: GroupRecord, right: GroupRecord): boolean =>
  left.term === right.term && left.attempt === right.attempt && left.phase.kind === right.phase.kind

/**
 * Whether both announce planned moves of the same term by different attempts. The first that the store
 * holds goes on: proxies report to its coordinator, which would not drive one that replaces it.
 */
export const isOtherMove = (left: GroupRecord, right: GroupRecord): boolean =>
  left.term === right.term &&
  left.attempt !== right.attempt &&
  left.phase.kind === 'moving' &&
  right.phase.kind === 'moving'

/** The record while the chosen server is being promoted. */
export function withChosen(
  record: GroupRecord,
  chosen: BackendServerId,
  startsAfter: LogPosition,
): GroupRecord {
  const start: TermStart = { term: record.term, primary: chosen, startsAfter }
  return {
    ...record,
    phase: { kind: 'promoting', chosen },
    termStarts: [...record.termStarts, start].slice(-TERM_STARTS_KEPT),
  }
}

export const withLeader = (record: GroupRecord, leader: BackendServerId): GroupRecord => ({
  ...record,
  primary: leader,
  phase: { kind: 'stable' },
})
