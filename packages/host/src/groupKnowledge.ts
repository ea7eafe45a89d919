/**
 * What this host knows of a group when it changes the group's primary, as logged: its servers, the age of what the
 * store said of them, and why a server is believed to be the primary.
 *
 * @internal
 */
import type { BackendServerId, Milliseconds } from '@nutmegcourse/shared'
import type { KnownServer } from '@nutmegcourse/state'
import type { ListingSource, ServerListing } from './serverListing.js'

export interface LoggedServer {
  readonly server: BackendServerId
  readonly state: 'listed' | 'unlisted' | 'removed'
  /** Null for a server whose entry is gone for longer than the grace period. */
  readonly source: ListingSource | null
  /** Since its entry was last received, expired or was removed. */
  readonly sinceMilliseconds: number | null
  readonly role: 'primary' | 'replica' | null
  readonly isLeaving: boolean
}

/** The last evidence that the believed primary leads. */
export interface PrimaryEvidence {
  readonly source: string
  readonly at: Milliseconds
}

export function describeGroup(
  service: string,
  known: readonly KnownServer[],
  listing: ServerListing,
  now: Milliseconds,
): LoggedServer[] {
  const removed = listing.removedOf(service, now).map(({ server, removedAt }): LoggedServer => ({
    server,
    state: 'removed',
    source: null,
    sinceMilliseconds: Math.round(now - removedAt),
    role: null,
    isLeaving: false,
  }))
  return [...known.map(each => describeKnown(each, listing, now)), ...removed]
}

function describeKnown(
  { entry, leavingSince, goneSince }: KnownServer,
  listing: ServerListing,
  now: Milliseconds,
): LoggedServer {
  const heard = listing.get(entry.server)
  const since = goneSince ?? heard?.heardAt ?? null
  return {
    server: entry.server,
    state: goneSince === null ? 'listed' : 'unlisted',
    source: heard?.source ?? null,
    sinceMilliseconds: since === null ? null : Math.round(now - since),
    role: entry.role,
    isLeaving: leavingSince !== null,
  }
}

export const elapsedMilliseconds = (
  since: Milliseconds | null,
  now: Milliseconds,
): number | null => (since === null ? null : Math.round(now - since))
