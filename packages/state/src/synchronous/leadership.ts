/**
 * Tracks which backend server is the primary of a service, as far as this host can tell. A mistake costs a refused
 * statement, never a wrong answer: a server that does not lead refuses writes, and after a read that must
 * see every write, leadership is verified.
 */
import type { BackendServerId, Milliseconds } from '@nutmegcourse/shared'

interface Evidence {
  /** The latest time as of which there is evidence that the server leads. */
  leadsAsOf: number
  /** The latest time as of which there is evidence that it does not lead. */
  refusedAsOf: number
}

const NEVER = Number.NEGATIVE_INFINITY

export class Leadership {
  readonly #evidence = new Map<BackendServerId, Evidence>()
  #primary: BackendServerId | null = null

  get primary(): BackendServerId | null {
    return this.#primary
  }

  /**
   * A statement that only a primary runs succeeded, the store's entry became that of a primary, or a
   * change of primary ended with this server as primary. `asOf` is when the request was sent, not when the
   * answer arrived: a delayed answer must not override newer evidence. True when the primary changed.
   */
  noteLeading(server: BackendServerId, asOf: Milliseconds): boolean {
    const evidence = this.#evidenceOf(server)
    evidence.leadsAsOf = Math.max(evidence.leadsAsOf, asOf)
    return this.#updatePrimary()
  }

  /**
   * The server refused a statement because it does not lead, or its entry says that it does not. True when the primary
   * changed.
   */
  noteNotLeading(server: BackendServerId, asOf: Milliseconds): boolean {
    const evidence = this.#evidenceOf(server)
    evidence.refusedAsOf = Math.max(evidence.refusedAsOf, asOf)
    return this.#updatePrimary()
  }

  /** The latest time as of which there is evidence that the server leads; negative infinity without any. */
  leadsAsOf(server: BackendServerId): number {
    return this.#evidence.get(server)?.leadsAsOf ?? NEVER
  }

  forget(server: BackendServerId): boolean {
    this.#evidence.delete(server)
    return this.#updatePrimary()
  }

  #evidenceOf(server: BackendServerId): Evidence {
    const known = this.#evidence.get(server)
    if (known !== undefined) return known
    const evidence = { leadsAsOf: NEVER, refusedAsOf: NEVER }
    this.#evidence.set(server, evidence)
    return evidence
  }

  #updatePrimary(): boolean {
    const before = this.#primary
    let best: BackendServerId | null = null
    let newest = NEVER
    for (const [server, { leadsAsOf, refusedAsOf }] of this.#evidence) {
      if (leadsAsOf <= refusedAsOf || leadsAsOf <= newest) continue
      best = server
      newest = leadsAsOf
    }
    this.#primary = best
    return best !== before
  }
}
