/**
 * Which backend server leads a service, as far as this host can tell. Being wrong costs a refused
 * statement, never a wrong answer: a server that does not lead refuses writes, and reads that must
 * see everything are checked behind.
 */
import type { BackendServerId, Milliseconds } from '@nutmegcourse/shared'

interface Evidence {
  /** The newest time as of which something said that the server leads. */
  leadsAsOf: number
  /** The newest time as of which it refused to lead. */
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
   * change of primary ended with it. `asOf` is when the question was sent, not when the answer came:
   * an answer that was long on its way must not hide newer evidence. True when the primary changed.
   */
  leads(server: BackendServerId, asOf: Milliseconds): boolean {
    const evidence = this.#of(server)
    evidence.leadsAsOf = Math.max(evidence.leadsAsOf, asOf)
    return this.#choose()
  }

  /** The server refused a statement because it does not lead, or its entry says so. */
  refused(server: BackendServerId, asOf: Milliseconds): boolean {
    const evidence = this.#of(server)
    evidence.refusedAsOf = Math.max(evidence.refusedAsOf, asOf)
    return this.#choose()
  }

  forget(server: BackendServerId): boolean {
    this.#evidence.delete(server)
    return this.#choose()
  }

  #of(server: BackendServerId): Evidence {
    const known = this.#evidence.get(server)
    if (known !== undefined) return known
    const evidence = { leadsAsOf: NEVER, refusedAsOf: NEVER }
    this.#evidence.set(server, evidence)
    return evidence
  }

  #choose(): boolean {
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
