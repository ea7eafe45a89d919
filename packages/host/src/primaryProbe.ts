/**
 * Keeps the knowledge of one service's primary fresh though no request does: asks it, as a primary,
 * where its log ends, and looks for another one when it refuses or is gone.
 *
 * @internal
 */
import { addMilliseconds, milliseconds, type Milliseconds } from '@nutmegcourse/shared'
import type { ReadGuarantee } from '@nutmegcourse/protocol'
import { runOwn } from './attempt.js'
import type { BackendServerState } from './backendServerState.js'
import type { HostContext } from './hostContext.js'
import type { ServiceDesk } from './serviceDesk.js'

/**
 * Questions within the least age that a route accepts. A read then finds a bound old enough for
 * replicas to have reached it, also when one answer is lost.
 */
const QUESTIONS_PER_AGE = 4
const SHORTEST_INTERVAL_MILLISECONDS = 100
const LONGEST_INTERVAL_MILLISECONDS = 500

/** While no server is known to lead, every one is asked this often. */
const SEARCH_INTERVAL_MILLISECONDS = 50

/** An answer takes a round trip; later than this the connection counts as broken. */
const ANSWER_LIMIT_MILLISECONDS = 400

export class PrimaryProbe {
  readonly #context: HostContext
  readonly #desk: ServiceDesk
  readonly #asking = new Set<BackendServerState>()
  #interval = LONGEST_INTERVAL_MILLISECONDS
  #searchedAt = milliseconds(Number.NEGATIVE_INFINITY)

  constructor(context: HostContext, desk: ServiceDesk) {
    this.#context = context
    this.#desk = desk
  }

  set guarantees(guarantees: readonly ReadGuarantee[]) {
    let least = LONGEST_INTERVAL_MILLISECONDS * QUESTIONS_PER_AGE
    for (const guarantee of guarantees) {
      if (guarantee.kind === 'latest') continue
      least = Math.min(least, guarantee.maximumAgeMilliseconds)
    }
    this.#interval = Math.max(least / QUESTIONS_PER_AGE, SHORTEST_INTERVAL_MILLISECONDS)
  }

  tick(now: Milliseconds): void {
    const { primary } = this.#desk
    const isFresh = now < addMilliseconds(this.#desk.bounds.newestAsOf, this.#interval)
    if (isFresh && primary !== null) return
    if (primary !== null) void this.#ask(primary)
    const isMissing = primary === null || primary.silentFor(now) > 0 || primary.pool.refusals > 0
    if (!isMissing || now < addMilliseconds(this.#searchedAt, SEARCH_INTERVAL_MILLISECONDS)) return
    this.#searchedAt = now
    for (const server of this.#desk.servers) if (server !== primary) void this.#ask(server)
  }

  async #ask(server: BackendServerState): Promise<void> {
    if (this.#asking.has(server)) return
    this.#asking.add(server)
    await this.#askOnce(server)
    this.#asking.delete(server)
  }

  async #askOnce(server: BackendServerState): Promise<void> {
    const { clock } = this.#context
    const limit = addMilliseconds(clock.now(), ANSWER_LIMIT_MILLISECONDS)
    const acquired = await server.pool.acquireFirst(limit)
    if ('failure' in acquired) return
    const { link } = acquired
    const askedAt = clock.now()
    const deadline = addMilliseconds(askedAt, ANSWER_LIMIT_MILLISECONDS)
    server.probeSent(askedAt)
    const [begun, ended] = await Promise.all([
      runOwn(this.#context, link, { kind: 'begin', readOnly: false, after: null }, deadline),
      runOwn(this.#context, link, { kind: 'rollback' }, deadline),
    ])
    if (begun === null || ended?.status !== 'idle') {
      server.pool.discard(link)
      return
    }
    server.probeAnswered()
    server.pool.release(link)
    const { server: id } = server.entry
    if (begun.outcome.kind === 'done') this.#desk.provedToLead(id, askedAt, begun.position)
    else if (begun.outcome.refusal === 'notPrimary') {
      this.#desk.sawLog(id, begun.position, clock.now())
      this.#desk.refusedToLead(id, askedAt, 'probe')
    }
  }
}
