/**
 * Messages of the change feed, by which hosts of a zone forward changes of the store to each other over JSON-RPC.
 *
 * @internal
 */
import type { FleetConfiguration, RevisedChange } from '@nutmegcourse/protocol'
import type { SentChanges } from './packedChanges.js'

/** Requests the changes after a revision, waiting for the first one. */
export interface ChangeFeedRequest {
  readonly after: number
  /** How long to wait for a change, in milliseconds. */
  readonly wait: number
  /** Whether callers' requests at the reading host wait for the next change. */
  readonly isAwaited: boolean
  /** Whether long lists may be packed; absent at hosts of an earlier release. */
  readonly acceptsPacked?: boolean
}

export interface ChangeFeedUpdate {
  readonly kind: 'news'
  /** The requested revision is older than the retained history, so this is a complete list. */
  readonly isWhole: boolean
  readonly changes: SentChanges
  readonly revision: number
  /** Age in milliseconds of the oldest change; an age rather than a time, since clocks of hosts are never compared. */
  readonly madeAgo: number
  /** Everything that the store held this many milliseconds ago is included here or was sent before. */
  readonly knownAgo: number
  /** Milliseconds from the request's arrival to this response; the rest of the round trip is transit. */
  readonly waited: number
}

export type ChangeFeedResponse =
  | ChangeFeedUpdate
  /** The host does not watch the store itself, or cannot reach it. */
  | { readonly kind: 'declined' }

/** Restores unset limits: JSON has no infinity, so they arrive as null. */
export function readFeedChange(change: RevisedChange): RevisedChange {
  if (change.kind !== 'configuration') return change
  return { ...change, configuration: readLimits(change.configuration) }
}

function readLimits(configuration: FleetConfiguration): FleetConfiguration {
  const limit = (value: number | null): number => value ?? Number.POSITIVE_INFINITY
  return {
    ...configuration,
    services: configuration.services.map(service => ({
      ...service,
      connectionLimit: limit(service.connectionLimit),
    })),
    idleTransactionMilliseconds: limit(configuration.idleTransactionMilliseconds),
  }
}
