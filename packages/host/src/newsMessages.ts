/**
 * Messages by which hosts of a zone forward changes of the store to each other, over JSON-RPC.
 *
 * @internal
 */
import type { FleetConfiguration, RevisedChange } from '@nutmegcourse/protocol'

/** Asks for the changes after a revision, waiting for the first one. */
export interface NewsQuestion {
  readonly after: number
  /** In milliseconds. */
  readonly wait: number
  /** Requests at the asking host wait for what the next change may bring. */
  readonly isAwaited: boolean
}

export interface ChangeFeedUpdate {
  readonly kind: 'news'
  /** The asked revision is older than the kept history, so this lists everything. */
  readonly isWhole: boolean
  readonly changes: readonly RevisedChange[]
  readonly revision: number
  /** Age in milliseconds of the oldest change; an age, since clocks of hosts are never compared. */
  readonly madeAgo: number
  /** Everything that the store held this many milliseconds ago is included or was sent before. */
  readonly knownAgo: number
  /** Milliseconds from the question to this answer; the rest of the round trip is transit. */
  readonly waited: number
}

export type NewsAnswer =
  | ChangeFeedUpdate
  /** This host does not watch the store itself, or can not reach it. */
  | { readonly kind: 'declined' }

/** JSON has no infinity: a limit that is not set comes as null. */
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
