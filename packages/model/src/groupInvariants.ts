/** The invariants of the group specification, which must hold in every reachable state. */
import {
  MAJORITY,
  comparePositions,
  positionOf,
  type GroupState,
  type Mutation,
  type Position,
  type ReadState,
  type ServerState,
} from './groupState.js'
import { commonPrefixLength } from './serverRules.js'

/** Returns the name of the first invariant that the state violates; null if all hold. */
export function findViolation(state: GroupState, mutation: Mutation): string | null {
  const checks: readonly (readonly [string, boolean])[] = [
    ['a term has at most one primary', hasOnePrimaryPerTerm(state)],
    ['logs that share a record are equal up to it', logsMatch(state)],
    ['an acknowledged write is in the log of every later primary', keepsAcknowledgedWrites(state)],
    [
      'a write reported as not run is in the log of no later primary',
      excludesRolledBackWrites(state),
    ],
    [
      'a recorded term start matches the start of that term in every log',
      termStartsMatchLogs(state),
    ],
    ['a read sees every write acknowledged before it', readSeesRequiredWrites(state, mutation)],
  ]
  return checks.find(([, holds]) => !holds)?.[0] ?? null
}

function hasOnePrimaryPerTerm(state: GroupState): boolean {
  const terms = state.servers.map(server => server.primaryTerm).filter(term => term > 0)
  return new Set(terms).size === terms.length
}

function logsMatch(state: GroupState): boolean {
  return state.servers.every((left, index) =>
    state.servers.slice(index + 1).every(right => haveMatchingLogs(left, right)),
  )
}

/** If two logs hold a record of the same term at the same offset, they must be equal up to it. */
function haveMatchingLogs(left: ServerState, right: ServerState): boolean {
  const shared = commonPrefixLength(left.log, right.log)
  return left.log.slice(shared).every((entry, index) => {
    return entry.term !== right.log[shared + index]?.term
  })
}

const contains = (server: ServerState, write: number): boolean =>
  server.log.some(entry => entry.write === write)

function keepsAcknowledgedWrites(state: GroupState): boolean {
  return state.writes.every((write, index) => {
    if (!write.isAcknowledged) return true
    const later = state.servers.filter(server => server.primaryTerm > write.term)
    return later.every(server => contains(server, index + 1))
  })
}

function excludesRolledBackWrites(state: GroupState): boolean {
  return state.writes.every((write, index) => {
    if (write.rolledBackByTerm === 0) return true
    const later = state.servers.filter(server => server.primaryTerm >= write.rolledBackByTerm)
    return !write.isAcknowledged && later.every(server => !contains(server, index + 1))
  })
}

function termStartsMatchLogs(state: GroupState): boolean {
  return state.servers.every(server =>
    state.termStarts.every(start => {
      const opening = server.log.findIndex(entry => entry.term === start.term)
      return opening === -1 || opening === start.startsAfter.offset
    }),
  )
}

/**
 * For each bound that a majority of answers can give, every server at or past the bound holds the
 * writes that the read must see.
 */
function readSeesRequiredWrites(state: GroupState, mutation: Mutation): boolean {
  const { read } = state
  if (read === null) return true
  return readBounds(read, mutation).every(bound =>
    state.servers.every(server => {
      if (comparePositions(positionOf(server, mutation), bound) < 0) return true
      return read.requiredWrites.every(write => contains(server, write))
    }),
  )
}

/** The highest of the lowest reported positions of each minimal majority, and the lowest of these. */
function readBounds(read: ReadState, mutation: Mutation): readonly Position[] {
  if (mutation === 'primaryReportAsBound') {
    return read.lowestFromPrimaries === null ? [] : [read.lowestFromPrimaries]
  }
  const places = read.lowestReported.map((_, index) => index)
  const majorities = places.flatMap(left =>
    places.filter(right => right > left).map(right => [left, right]),
  )
  const bounds = majorities
    .filter(members => members.length === MAJORITY)
    .map(members => members.flatMap(index => read.lowestReported[index] ?? []).reduce(greater))
  // Once all servers have answered, the lowest of these bounds, which a majority is at or past, suffices.
  return [...bounds, bounds.reduce(lesser)]
}

const greater = (left: Position, right: Position): Position =>
  comparePositions(left, right) >= 0 ? left : right

const lesser = (left: Position, right: Position): Position =>
  comparePositions(left, right) <= 0 ? left : right
