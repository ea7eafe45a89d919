/**
 * Models the proxies, which observe the servers without changing them: which writes they saw held,
 * acknowledged or reported as not run, and which positions were reported during a read. Each further
 * observation adds to what callers are promised, so observing every state as soon as it is reached
 * is the worst case.
 */
import {
  MAJORITY,
  SERVERS,
  comparePositions,
  positionOf,
  type GroupState,
  type Mutation,
  type Position,
  type ReadState,
  type TermStartState,
  type WriteState,
} from './groupState.js'

/** The position and fence that a backend server reports in one answer. */
interface Report {
  readonly position: Position
  readonly fencedTerm: number
}

const NO_HOLDERS = Array.from({ length: SERVERS }, () => false)

/** Updates what proxies have observed: write holders, acknowledgements, rollbacks and read positions. */
export function observe(state: GroupState, mutation: Mutation): GroupState {
  const positions = state.servers.map(server => positionOf(server, mutation))
  const reports = state.servers.map((server, index) => {
    return { position: reportedPosition(positions, index), fencedTerm: server.fencedTerm }
  })
  const termStarts = state.termStarts.map(start => observeTermStart(start, reports, mutation))
  const writes = state.writes.map(each => observeWrite(each, reports, termStarts, mutation))
  const { read } = state
  return { ...state, termStarts, writes, read: read && observeRead(read, state, positions) }
}

function observeTermStart(
  start: TermStartState,
  reports: readonly Report[],
  mutation: Mutation,
): TermStartState {
  if (start.isInForce) return start
  const hasReachedTerm = ({ position, fencedTerm }: Report): boolean =>
    mutation === 'rollBackByAnyLaterTerm'
      ? position.term >= start.term
      : position.term === start.term && hasNoLaterFence(fencedTerm, start.term, mutation)
  const holders = start.holders.map(
    (held, index) => held || hasReachedTerm(reportAt(reports, index)),
  )
  const isInForce = count(holders) >= MAJORITY || mutation === 'rollBackBeforeMajority'
  return isInForce ? { ...start, holders: NO_HOLDERS, isInForce } : { ...start, holders }
}

function observeWrite(
  write: WriteState,
  reports: readonly Report[],
  termStarts: readonly TermStartState[],
  mutation: Mutation,
): WriteState {
  if (write.isAcknowledged) return write
  const holds = ({ position, fencedTerm }: Report): boolean =>
    mutation === 'noTermCheck'
      ? comparePositions(position, write) >= 0
      : position.term === write.term &&
        position.offset >= write.offset &&
        hasNoLaterFence(fencedTerm, write.term, mutation)
  const holders = write.holders.map((held, index) => held || holds(reportAt(reports, index)))
  const requiredHolders = mutation === 'acknowledgeBeforeMajority' ? 1 : MAJORITY
  const isAcknowledged = count(holders) >= requiredHolders
  if (isAcknowledged) return { ...write, holders: NO_HOLDERS, isAcknowledged }
  const excluding = termStarts.find(start => start.isInForce && excludes(start, write))
  const rolledBackByTerm =
    write.rolledBackByTerm === 0 ? (excluding?.term ?? 0) : write.rolledBackByTerm
  return { ...write, holders, rolledBackByTerm }
}

/**
 * A server fenced at a later term may still replicate records of this term while it catches up. It
 * does not count towards this term's majority: a primary of a term in between, which lacks the
 * record, can still be chosen over it.
 */
const hasNoLaterFence = (fencedTerm: number, term: number, mutation: Mutation): boolean =>
  fencedTerm <= term || mutation === 'noFenceCheck'

/** Decides by the recorded start alone, without checking the terms between the write's and this one. */
const excludes = (start: TermStartState, write: WriteState): boolean =>
  start.term > write.term &&
  start.startsAfter.term <= write.term &&
  comparePositions(start.startsAfter, write) < 0

function observeRead(
  read: ReadState,
  state: GroupState,
  positions: readonly Position[],
): ReadState {
  const lowestReported = read.lowestReported.map((known, index) =>
    lesser(known, reportedPosition(positions, index)),
  )
  const primaryPositions = state.servers.flatMap((server, index) =>
    server.primaryTerm === 0 ? [] : [reportedPosition(positions, index)],
  )
  const known = read.lowestFromPrimaries
  const lowestFromPrimaries = [
    ...(known === null ? [] : [known]),
    ...primaryPositions,
  ].reduce<Position | null>((lowest, each) => (lowest === null ? each : lesser(lowest, each)), null)
  return { ...read, lowestReported, lowestFromPrimaries }
}

const lesser = (left: Position, right: Position): Position =>
  comparePositions(left, right) <= 0 ? left : right

const count = (flags: readonly boolean[]): number => flags.filter(Boolean).length

function reportedPosition(positions: readonly Position[], index: number): Position {
  const position = positions[index]
  if (position === undefined) throw new Error(`no position for server index ${index}`)
  return position
}

function reportAt(reports: readonly Report[], index: number): Report {
  const report = reports[index]
  if (report === undefined) throw new Error(`no report for server index ${index}`)
  return report
}
