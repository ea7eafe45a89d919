/** Estimates when a customer's connections that are in use are free again. */
import type { Milliseconds } from '@nutmegcourse/shared'

export interface ConnectionsInUse {
  /** When each connection was acquired. */
  readonly takenAt: readonly Milliseconds[]
  /** How long a connection is usually held; 0 while unknown. */
  readonly holdMilliseconds: number
}

/**
 * Expected time until a connection is free for a waiter with `ahead` others of its customer before it. One that is held
 * for longer than usual, such as by a transaction, is expected to stay in use for as long again.
 */
export function millisecondsUntilFree(
  { takenAt, holdMilliseconds }: ConnectionsInUse,
  ahead: number,
  now: Milliseconds,
): number {
  if (takenAt.length === 0 || holdMilliseconds === 0) return Number.POSITIVE_INFINITY
  const remaining = takenAt
    .map(since => now - since)
    .map(elapsed => (elapsed < holdMilliseconds ? holdMilliseconds - elapsed : elapsed))
    .sort((left, right) => left - right)
  const rounds = Math.floor(ahead / remaining.length)
  return (remaining[ahead % remaining.length] ?? 0) + rounds * holdMilliseconds
}
