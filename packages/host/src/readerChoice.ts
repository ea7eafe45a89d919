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
  /** Whether the slots of the servers are scheduled. */
  readonly schedulesSlots: boolean
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
    return this.#best(withLastResort(this.#candidates(terms, now)))
  }

  /**
   * The best server that may have the log up to the need; null if there is none. A server that was found behind is
   * chosen for one read at a time, which shows whether it has caught up. Servers that are left out count as in `best`.
   */
  current(
    terms: ReadTerms & { readonly need: LogPosition },
    now: Milliseconds,
  ): BackendServerState | null {
    const candidates = withLastResort(this.#candidates(terms, now))
    const best = this.#best(candidates.filter(({ isBehind }) => !isBehind))
    best?.progress.noteReadSent(terms.need, now)
    return best
  }

  /** The best server that is expected to serve the read now; null if there is none. */
  ready(terms: ReadTerms, now: Milliseconds): BackendServerState | null {
    const ready = this.#candidates(terms, now).filter(isReadyForRead)
    return this.#best(ready.filter(({ server }) => !this.#isKnownBehind(server, terms.need)))
  }

  /** A server that was left out and that this read is to test, alone; null if there is none. */
  tested(terms: ReadTerms, now: Milliseconds): BackendServerState | null {
    const tested = this.#best(this.#dueForTest(terms, now))
    if (tested === null) return null
    this.#outliers.reserveTest(tested.entry.server, now)
    // Where slots are scheduled, one read at a time retries a server that was found behind.
    if (terms.need !== null && this.#service.schedulesSlots) {
      tested.progress.noteReadSent(terms.need, now)
    }
    return tested
  }

  /** Whether `tested` would choose a server now. */
  hasTestDue(terms: ReadTerms, now: Milliseconds): boolean {
    return this.#outliers.ejectedCount > 0 && this.#dueForTest(terms, now).length > 0
  }

  #dueForTest(terms: ReadTerms, now: Milliseconds): ReadCandidate[] {
    return this.#candidates(terms, now).filter(
      candidate =>
        this.#outliers.mayTest(candidate.server, now) &&
        isReadyForRead({ ...candidate, isEjected: false }) &&
        this.#hasFreeSlot(candidate.server),
    )
  }

  /** A test that waits for a slot would tell nothing of the server, and delay the read. */
  #hasFreeSlot(id: BackendServerId): boolean {
    return this.#service.server(id)?.gate?.hasFreeSlot !== false
  }

  /** Where slots are scheduled, a read does not give up its place for a server that may still be behind. */
  #isKnownBehind(id: BackendServerId, need: LogPosition | null): boolean {
    if (need === null || !this.#service.schedulesSlots) return false
    return this.#service.server(id)?.progress.isKnownBehind(need) ?? false
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

/** The candidates; if none is ready, those that are left out count like the others. */
function withLastResort(candidates: readonly ReadCandidate[]): readonly ReadCandidate[] {
  if (candidates.some(isReadyForRead)) return candidates
  return candidates.map(each => ({ ...each, isEjected: false }))
}
