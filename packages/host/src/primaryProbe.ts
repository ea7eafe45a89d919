/**
 * Keeps the state of one service's primary fresh without depending on requests: begins a writable transaction to
 * read the end of its log, and searches for another primary when it refuses or is gone.
 *
 * @internal
 */
import { addMilliseconds, milliseconds, type Milliseconds } from '@nutmegcourse/shared'
import type { BackendReply, ReadGuarantee } from '@nutmegcourse/protocol'
import { PRIMARY_CHECK, runCommand } from './attempt.js'
import type { BackendServerState } from './backendServerState.js'
import type { HostContext } from './hostContext.js'
import type { ServiceState } from './serviceState.js'

/**
 * Number of probes within the shortest maximum age that a route accepts. A read then finds a bound old enough for
 * replicas to have reached it, even when one answer is lost.
 */
const PROBES_PER_AGE = 4
const SHORTEST_INTERVAL_MILLISECONDS = 100
const LONGEST_INTERVAL_MILLISECONDS = 500

/** Interval at which all servers are probed while no working primary is known. */
const SEARCH_INTERVAL_MILLISECONDS = 50

/** An answer takes one round trip; after this limit the connection is considered broken. */
const ANSWER_LIMIT_MILLISECONDS = 400

const isMissing = (reply: BackendReply | null | undefined): reply is null | undefined =>
  reply === null || reply === undefined

export class PrimaryProbe {
  readonly #context: HostContext
  readonly #service: ServiceState
  readonly #probing = new Set<BackendServerState>()
  #interval = LONGEST_INTERVAL_MILLISECONDS
  #searchedAt = milliseconds(Number.NEGATIVE_INFINITY)

  constructor(context: HostContext, service: ServiceState) {
    this.#context = context
    this.#service = service
  }

  set guarantees(guarantees: readonly ReadGuarantee[]) {
    let shortestAge = LONGEST_INTERVAL_MILLISECONDS * PROBES_PER_AGE
    for (const guarantee of guarantees) {
      if (guarantee.kind === 'latest') continue
      shortestAge = Math.min(shortestAge, guarantee.maximumAgeMilliseconds)
    }
    this.#interval = Math.max(shortestAge / PROBES_PER_AGE, SHORTEST_INTERVAL_MILLISECONDS)
  }

  tick(now: Milliseconds): void {
    const { primary } = this.#service
    const isFresh = now < addMilliseconds(this.#service.bounds.newestAsOf, this.#interval)
    if (isFresh && primary !== null) return
    if (primary !== null) void this.#probe(primary)
    const isMissing =
      primary === null || primary.silentMilliseconds(now) > 0 || primary.pool.refusals > 0
    if (!isMissing || now < addMilliseconds(this.#searchedAt, SEARCH_INTERVAL_MILLISECONDS)) return
    this.#searchedAt = now
    for (const server of this.#service.servers) if (server !== primary) void this.#probe(server)
  }

  async #probe(server: BackendServerState): Promise<void> {
    if (this.#probing.has(server)) return
    this.#probing.add(server)
    await this.#probeOnce(server)
    this.#probing.delete(server)
  }

  async #probeOnce(server: BackendServerState): Promise<void> {
    const { clock } = this.#context
    const limit = addMilliseconds(clock.now(), ANSWER_LIMIT_MILLISECONDS)
    const acquired = await server.pool.acquireFirst(limit)
    if ('failure' in acquired) return
    const { link } = acquired
    const askedAt = clock.now()
    const deadline = addMilliseconds(askedAt, ANSWER_LIMIT_MILLISECONDS)
    server.probeSent(askedAt)
    const [begun, ended, prepared, closed] = await Promise.all(
      PRIMARY_CHECK.map(command => runCommand(this.#context, link, command, deadline)),
    )
    const isConfirmed = ended?.status === 'idle' && !isMissing(prepared) && !isMissing(closed)
    if (isMissing(begun) || !isConfirmed) {
      server.pool.discard(link)
      return
    }
    server.probeAnswered()
    server.pool.release(link)
    const { server: id } = server.entry
    if (begun.outcome.kind === 'done') this.#service.recordPrimary(id, askedAt, begun.position)
    else if (begun.outcome.refusal === 'notPrimary') {
      this.#service.recordReplicaPosition(id, begun.position, clock.now())
      this.#service.recordNotPrimary(id, askedAt, 'probe')
    }
  }
}
