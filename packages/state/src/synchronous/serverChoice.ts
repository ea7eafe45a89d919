/** Ranks the backend servers that may serve a read. */
import type { BackendServerId } from '@nutmegcourse/shared'

export interface ReadCandidate {
  readonly server: BackendServerId
  readonly isPrimary: boolean
  /** False for servers that are leaving or no longer listed; they rank behind the others. */
  readonly stays: boolean
  /** It probably lacks the log position that the read needs. */
  readonly isBehind: boolean
  /** It fails or delays more than the others, and gets work as a last resort. */
  readonly isEjected: boolean
  /** How long open requests have gone without any answer; 0 while the server answers. */
  readonly silentMilliseconds: number
  /** Expected duration of a statement there, including the network round trip. */
  readonly expectedMilliseconds: number
  /** This host's statements that are running or waiting there. */
  readonly inFlight: number
  readonly slots: number
}

/**
 * A server that leaves requests unanswered for this long gets reads only when no other server is left.
 * Statements take up to a few hundred milliseconds on a loaded server, but a live server rarely lets more
 * time than this pass between two answers on any of this host's connections.
 */
export const SILENCE_LIMIT_MILLISECONDS = 300

/**
 * Only the primary can serve writes and strict reads, so a read that a replica can serve goes to the primary
 * only if it is expected to answer faster by this factor.
 */
const PRIMARY_COST_FACTOR = 1.6

/** Returns the candidates in the order in which to try them. */
export function rankForRead(candidates: readonly ReadCandidate[]): BackendServerId[] {
  return [...candidates]
    .map(candidate => ({ candidate, cost: cost(candidate) }))
    .sort((left, right) => left.cost - right.cost)
    .map(({ candidate }) => candidate.server)
}

/** Whether the candidate is fit for the read, apart from its load. */
export const isReadyForRead = (candidate: ReadCandidate): boolean =>
  candidate.stays &&
  !candidate.isBehind &&
  !candidate.isEjected &&
  candidate.silentMilliseconds <= SILENCE_LIMIT_MILLISECONDS

const LAST_RESORT_COST = 1e6

function cost(candidate: ReadCandidate): number {
  const { expectedMilliseconds, inFlight, slots } = candidate
  const queueFactor = 1 + inFlight / Math.max(slots, 1)
  const primaryFactor = candidate.isPrimary ? PRIMARY_COST_FACTOR : 1
  const isSilent = candidate.silentMilliseconds > SILENCE_LIMIT_MILLISECONDS
  let total = expectedMilliseconds * queueFactor * primaryFactor
  if (isSilent || candidate.isEjected) total += LAST_RESORT_COST
  if (!candidate.stays) total += LAST_RESORT_COST / 2
  if (candidate.isBehind) total += LAST_RESORT_COST / 4
  return total
}
