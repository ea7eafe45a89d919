/** The rules of a backend server: how it answers a fence, a promotion, a follow and a write. */
import type { Entry, Mutation, ServerState } from './groupState.js'

/** Fences the server, which refuses lower terms from then on. Returns null if it refuses the fence. */
export const applyFence = (server: ServerState, term: number): ServerState | null =>
  server.fencedTerm > term ? null : { ...server, fencedTerm: term }

/** Promotes the server, at the term of its fence only. Returns null if it refuses. */
export function applyPromotion(
  server: ServerState,
  term: number,
  mutation: Mutation = 'none',
): ServerState | null {
  const isFencedAtTerm = server.fencedTerm === term
  if (!isFencedAtTerm && mutation !== 'noFence' && mutation !== 'promoteUnfenced') return null
  const opening = mutation === 'noTermRecord' ? [] : [{ term, write: 0 }]
  return { ...server, primaryTerm: term, followedTerm: 0, log: [...server.log, ...opening] }
}

/** Makes the server a replica of the term's primary. Returns null if it is fenced at a later term. */
export const applyFollow = (server: ServerState, term: number): ServerState | null =>
  server.fencedTerm > term
    ? null
    : { ...server, fencedTerm: term, primaryTerm: 0, followedTerm: term }

/** Appends a write. Returns null if the server is not a primary or is fenced above its term. */
export const applyWrite = (server: ServerState, write: number): ServerState | null =>
  server.primaryTerm === 0 || server.fencedTerm > server.primaryTerm
    ? null
    : { ...server, log: [...server.log, { term: server.primaryTerm, write }] }

/**
 * Truncates the log to the prefix that it shares with the primary's; if it already is that prefix,
 * appends the primary's next record. Returns null if both logs are equal.
 */
export function replicateNextRecord(server: ServerState, primary: ServerState): ServerState | null {
  const shared = commonPrefixLength(server.log, primary.log)
  if (shared < server.log.length) return { ...server, log: server.log.slice(0, shared) }
  const next = primary.log[shared]
  return next === undefined ? null : { ...server, log: [...server.log, next] }
}

export function commonPrefixLength(left: readonly Entry[], right: readonly Entry[]): number {
  const firstDifference = left.findIndex(
    (entry, index) => entry.term !== right[index]?.term || entry.write !== right[index].write,
  )
  return firstDifference === -1 ? left.length : firstDifference
}
