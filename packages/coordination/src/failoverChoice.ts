/** Chooses the next primary among the fenced backend servers. */
import {
  comparePositions,
  type AvailabilityZoneId,
  type BackendServerId,
  type LogPosition,
} from '@nutmegcourse/shared'
import type { ListedBackendServer } from '@nutmegcourse/protocol'

export interface Candidate {
  readonly server: ListedBackendServer
  /** The end of its log, as reported together with its promise to refuse lower terms. */
  readonly position: LogPosition
}

export interface LeaderPreferences {
  /** The target of a planned move. */
  readonly target: BackendServerId | null
  /** The last primary; most of its callers are in its zone. */
  readonly lastPrimary: ListedBackendServer | null
}

/**
 * Returns the candidate with the greatest position. Every acknowledged write is held by a majority,
 * hence by at least one server of any fenced majority, and the greatest position includes them all.
 * Preferences decide only between equal positions.
 */
export function chooseLeader(
  candidates: readonly Candidate[],
  preferences: LeaderPreferences,
): Candidate | null {
  const [first, ...others] = candidates
  if (first === undefined) return null
  return others.reduce(
    (best, other) => (compareCandidates(other, best, preferences) > 0 ? other : best),
    first,
  )
}

function compareCandidates(
  left: Candidate,
  right: Candidate,
  preferences: LeaderPreferences,
): number {
  const difference = comparePositions(left.position, right.position)
  if (difference !== 0) return difference
  return preferenceScore(left.server, preferences) - preferenceScore(right.server, preferences)
}

function preferenceScore(server: ListedBackendServer, preferences: LeaderPreferences): number {
  const { target, lastPrimary } = preferences
  const sameRegion = lastPrimary !== null && server.region === lastPrimary.region
  const sameZone = lastPrimary !== null && isInZone(server, lastPrimary.zone)
  const weights = [server.state === 'live', server.id === target, sameRegion, sameZone]
  return weights.reduce((sum, holds) => sum * 2 + (holds ? 1 : 0), 0)
}

const isInZone = (server: ListedBackendServer, zone: AvailabilityZoneId): boolean =>
  server.zone === zone
