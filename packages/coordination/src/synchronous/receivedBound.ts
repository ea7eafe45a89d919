/**
 * The furthest position that any replica of a group was seen to have received. A write is acknowledged once a replica
 * has received it, so what a replica had may be acknowledged, and the next primary must hold it. The bound outlives the
 * answers that showed it: the server that gave them may be silent when a primary is chosen.
 */
import {
  comparePositions,
  isAtOrPast,
  type BackendServerId,
  type LogPosition,
} from '@nutmegcourse/shared'

export interface ServerPosition {
  readonly server: BackendServerId
  readonly at: LogPosition
}

export class ReceivedBound {
  #furthest: ServerPosition | null = null
  /** The last term that each server led. The end of its log in that term may never have been acknowledged. */
  readonly #ledTerm = new Map<BackendServerId, number>()

  get furthest(): ServerPosition | null {
    return this.#furthest
  }

  recordPrimary(server: BackendServerId, term: number): void {
    this.#ledTerm.set(server, Math.max(term, this.#ledTerm.get(server) ?? 0))
  }

  recordReplica(server: BackendServerId, at: LogPosition): void {
    if ((this.#ledTerm.get(server) ?? 0) >= at.term) return
    if (this.#furthest === null || comparePositions(at, this.#furthest.at) > 0) {
      this.#furthest = { server, at }
    }
  }

  /** Whether the server has all that any replica was seen to have in its term, and has not led that term itself. */
  isReachedBy(server: BackendServerId, position: LogPosition): boolean {
    const furthest = this.#furthest
    if (furthest?.at.term !== position.term || !isAtOrPast(position, furthest.at)) return false
    return (this.#ledTerm.get(server) ?? 0) < position.term
  }

  /**
   * What a log that ends at `position` lacks; null if nothing is known to be missing. Once a newer term has begun, what
   * its primary did not hold of an older one has been rolled back.
   */
  beyond(position: LogPosition, newestTerm: number): ServerPosition | null {
    const furthest = this.#furthest
    if (furthest === null || furthest.at.term < newestTerm) return null
    return isAtOrPast(position, furthest.at) ? null : furthest
  }
}
