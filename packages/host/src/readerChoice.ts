/**
 * The choice of a server for a read of one service.
 *
 * @internal
 */
import type { BackendServerId, CustomerName, LogPosition, Milliseconds } from '@nutmegcourse/shared'
import {
  isReadyForRead,
  rankForRead,
  type ReadCandidate,
  type ServerDirectory,
} from '@nutmegcourse/state'
import type { BackendServerState } from './backendServerState.js'
import type { ServiceOutliers } from './serviceOutliers.js'

/** What a read asks of its server. */
export interface ReadTerms {
  /** The log position that it needs; null for none. */
  readonly need: LogPosition | null
  readonly excluded: ReadonlySet<BackendServerId>
  readonly customer: CustomerName | null
}

/** The servers of the service. */
export interface ServiceServers {
  readonly servers: readonly BackendServerState[]
  readonly primary: BackendServerState | null
  server(id: BackendServerId): BackendServerState | undefined
}

export class ReaderChoice {
  readonly #service: ServiceServers
  readonly #directory: ServerDirectory
  readonly #outliers: ServiceOutliers

  constructor(service: ServiceServers, directory: ServerDirectory, outliers: ServiceOutliers) {
    this.#service = service
    this.#directory = directory
    this.#outliers = outliers
  }

  /**
   * The best server for the read; null if all are excluded or may not take work. A server that is left out counts like
   * the others if none of these is ready: one that is behind would only refuse the read.
   */
  best(terms: ReadTerms, now: Milliseconds): BackendServerState | null {
    const candidates = this.#candidates(terms, now)
    if (candidates.some(isReadyForRead)) return this.#best(candidates)
    return this.#best(candidates.map(each => ({ ...each, isEjected: false })))
  }

  /** The best server that is expected to serve the read now; null if there is none. */
  ready(terms: ReadTerms, now: Milliseconds): BackendServerState | null {
    return this.#best(this.#candidates(terms, now).filter(isReadyForRead))
  }

  /** A server that was left out and that this read is to test, alone; null if there is none. */
  tested(terms: ReadTerms, now: Milliseconds): BackendServerState | null {
    const due = this.#candidates(terms, now).filter(
      candidate =>
        this.#outliers.mayTest(candidate.server, now) &&
        isReadyForRead({ ...candidate, isEjected: false }),
    )
    const tested = this.#best(due)
    if (tested !== null) this.#outliers.reserveTest(tested.entry.server, now)
    return tested
  }

  #best(candidates: readonly ReadCandidate[]): BackendServerState | null {
    const [best] = rankForRead(candidates)
    return best === undefined ? null : (this.#service.server(best) ?? null)
  }

  #candidates({ need, excluded, customer }: ReadTerms, now: Milliseconds): ReadCandidate[] {
    const candidates: ReadCandidate[] = []
    const { primary, servers } = this.#service
    for (const server of servers) {
      const { entry, pool } = server
      if (excluded.has(entry.server)) continue
      const known = this.#directory.get(entry.server)
      if (known === undefined || !this.#directory.mayTakeWork(entry.server, now)) continue
      candidates.push({
        server: entry.server,
        isPrimary: server === primary,
        stays: known.leavingSince === null && known.goneSince === null && pool.refusals === 0,
        isBehind: need !== null && server.progress.isLikelyBehind(need, now),
        isEjected: this.#outliers.isEjected(entry.server),
        silentMilliseconds: server.silentMilliseconds(now),
        expectedMilliseconds: server.expectedMilliseconds(customer, now),
        inFlight: server.load,
        slots: entry.slots,
      })
    }
    return candidates
  }
}
