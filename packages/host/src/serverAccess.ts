/**
 * Access of statements to backend servers: chooses the server, acquires a connection, learns from failed attempts, and
 * backs off before the next one.
 *
 * @internal
 */
import {
  jittered,
  milliseconds,
  type BackendServerId,
  type LogPosition,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type { SentWork, StatementFailure, WriteOutcome } from '@nutmegcourse/state'
import { attempt, type AttemptOutcome } from './attempt.js'
import type { BackendServerState } from './backendServerState.js'
import type { HostContext } from './hostContext.js'
import type { AcquireFailure, PooledLink } from './pooledLink.js'
import type { StatementRequest } from './statements.js'
import { UNSCHEDULED_SLOT, type SlotUse } from './slotGate.js'
import { enterSlot, slotResultOf } from './statementSlots.js'
import { earlier, sleep } from './waiting.js'

/** Delay before a busy or full server is tried again; about the duration of one statement. */
const BUSY_RETRY_MILLISECONDS = 20

/** A waiting request rechecks after this long, in case it missed the change it waits for. */
const RECHECK_MILLISECONDS = 100

/**
 * A request whose forecast wait for a connection exceeds this share of its latency target is refused immediately. The
 * rest of the target is left for the network, execution and the other statements of the operation, and a caller that is
 * refused early can still be served in time elsewhere. With one primary doing the work of three servers, 0.954 of the
 * total value is served at 0.25, 0.948 at 0.4 and 0.942 at 0.6 (means of four days each).
 */
const MAXIMUM_WAIT_SHARE = 0.25

/**
 * Upper limit of the share of a statement's time that is reserved for its execution. The latency estimate may be wrong,
 * so a statement may start during the first half of its time however slow the server seems.
 */
const MAXIMUM_RUN_SHARE = 0.5

/** The time reserved for the execution of a statement that waits for a slot, as a multiple of the usual latency. */
const SCHEDULED_RUN_FACTOR = 2

/** How long a read waits for a connection before it considers other servers. */
export const READ_ACQUIRE_MILLISECONDS = 200

/** A connection, and the slot in which the statement runs. */
export interface Connected {
  readonly kind: 'connected'
  readonly link: PooledLink
  readonly slot: SlotUse
}

/** The result of requesting a connection. */
export type Access =
  | Connected
  /** No connection, after a short delay; the request may try again. */
  | { readonly kind: 'none' }
  /** The statement can no longer be answered by its deadline. */
  | { readonly kind: 'tooLate' }
  /** `waitMilliseconds`: when to return. What admission told is not randomized: who returns earlier has no place. */
  | { readonly kind: 'overloaded'; readonly waitMilliseconds: number }

/** A failed attempt, and the server on which it ran. */
export interface FailedAttempt {
  readonly outcome: Extract<AttemptOutcome, { kind: 'mishap' }>
  readonly server: BackendServerState
}

export class ServerAccess {
  readonly #context: HostContext

  constructor(context: HostContext) {
    this.#context = context
  }

  /** The primary, if it may be given work; otherwise null, after a change or a short delay. */
  async awaitPrimary(request: StatementRequest): Promise<BackendServerState | null> {
    const primary = request.service.writablePrimary(this.#context.clock.now())
    if (primary !== null) return primary
    await this.#awaitChange(request)
    return null
  }

  /**
   * The best server for a read or a read-only transaction. If there is none, waits for a change or a short delay,
   * clears `excluded` and returns null.
   */
  async awaitReader(
    request: StatementRequest,
    excluded: Set<BackendServerId>,
  ): Promise<BackendServerState | null> {
    const { service, route, session } = request
    const need = service.need(route.guarantee, session.ownPosition, this.#context.clock.now())
    if (need.kind === 'primary') return this.awaitPrimary(request)
    const reader =
      need.kind === 'unknown' ? null : this.#chooseReader(request, need.position, excluded)
    if (reader !== null) return reader
    excluded.clear()
    await this.#awaitChange(request)
    return null
  }

  #chooseReader(
    { service, customer }: StatementRequest,
    need: LogPosition,
    excluded: ReadonlySet<BackendServerId>,
  ): BackendServerState | null {
    const { clock, settings } = this.#context
    const { readers } = service
    const terms = { need, excluded, customer }
    return settings.schedulesSlots
      ? readers.current(terms, clock.now())
      : readers.best(terms, clock.now())
  }

  /**
   * A server that was left out, if this read is to test whether it is well again. Only for reads outside transactions:
   * they are sent to a second server if the tested one does not answer.
   */
  testedReader(
    request: StatementRequest,
    excluded: ReadonlySet<BackendServerId>,
  ): BackendServerState | null {
    const { service, route, session, customer } = request
    if (service.outliers.ejectedCount === 0) return null
    const now = this.#context.clock.now()
    const need = service.need(route.guarantee, session.ownPosition, now)
    if (need.kind !== 'position') return null
    return service.readers.tested({ need: need.position, excluded, customer }, now)
  }

  /** Acquires a connection to the server before `acquireBy`, or tells why there is none. */
  async acquire(
    request: StatementRequest,
    server: BackendServerState,
    acquireBy: Milliseconds,
  ): Promise<Access> {
    const { priority, latencyTargetMilliseconds } = request.route
    const latestStart = this.latestStart(request, server)
    const slot = await this.#enterGate(request, server, latestStart)
    if ('kind' in slot) return slot
    const isScheduled = server.gate !== null
    const startedAt = this.#context.clock.now()
    const acquired = await server.pool.acquire(request.session.values, {
      priority,
      // Where slots are scheduled, the statement's turn has come already.
      deadline: isScheduled ? latestStart : earlier(acquireBy, latestStart),
      maximumWaitMilliseconds: isScheduled
        ? Number.POSITIVE_INFINITY
        : latencyTargetMilliseconds * MAXIMUM_WAIT_SHARE,
      use: { kind: 'customer', customer: request.customer },
    })
    request.timing.connectionMilliseconds += this.#context.clock.now() - startedAt
    if ('link' in acquired) return { kind: 'connected', link: acquired.link, slot }
    slot.end({ kind: 'unknown' })
    if (acquired.failure === 'unreachable') {
      request.service.outliers.recordNotOpened(server.entry.server)
    }
    if (acquired.failure === 'overloaded') {
      return { kind: 'overloaded', waitMilliseconds: this.jitter(acquired.waitMilliseconds) }
    }
    if (this.#context.clock.now() >= latestStart) return { kind: 'tooLate' }
    await this.#afterNoConnection(request, acquired.failure)
    return { kind: 'none' }
  }

  /** Waits for the statement's turn at the server. */
  async #enterGate(
    request: StatementRequest,
    server: BackendServerState,
    latestStart: Milliseconds,
  ): Promise<SlotUse | Exclude<Access, Connected>> {
    if (server.gate === null) return UNSCHEDULED_SLOT
    const startedAt = this.#context.clock.now()
    const access = await enterSlot(request, server.gate, latestStart)
    request.timing.connectionMilliseconds += this.#context.clock.now() - startedAt
    switch (access.kind) {
      case 'entered':
        return access.slot
      case 'overloaded':
        return { kind: 'overloaded', waitMilliseconds: access.waitMilliseconds }
      case 'overdue':
        return { kind: 'tooLate' }
      case 'withdrawn':
        return { kind: 'none' }
    }
  }

  /**
   * The latest time at which the statement may start at the server. A statement that starts later times out there: its
   * slot is wasted, and its connection is closed and reopened (an overloaded primary lost 0.8 of its 3 slots this way).
   */
  latestStart(request: StatementRequest, server: BackendServerState): Milliseconds {
    const { arrivedAt, deadline } = request
    const usual = server.latency.at(this.#context.clock.now())
    // Those that wait for a slot start as late as this, so a statement slower than usual must still be answered.
    const reserved = server.gate === null ? usual : usual * SCHEDULED_RUN_FACTOR
    return milliseconds(deadline - Math.min(reserved, (deadline - arrivedAt) * MAXIMUM_RUN_SHARE))
  }

  async #afterNoConnection(request: StatementRequest, failure: AcquireFailure): Promise<void> {
    if (failure === 'unreachable' || failure === 'full') {
      await request.service.changed.wait(this.jitter(BUSY_RETRY_MILLISECONDS))
    }
  }

  /**
   * Excludes a server that had no connection for this read, but only if another one could serve it; returns whether it
   * did. Otherwise the read tries the same server again until its deadline. Reads that excluded a busy primary while
   * both replicas were seconds behind queried these unsuccessfully, 370 times a second, until they timed out.
   */
  excludeIfReplaceable(
    request: StatementRequest,
    server: BackendServerState,
    excluded: Set<BackendServerId>,
  ): boolean {
    if (this.alternativeReader(request, server, excluded) === null) return false
    excluded.add(server.entry.server)
    return true
  }

  /** Another server that can serve the read now; a replica that is behind would only refuse it. */
  alternativeReader(
    request: StatementRequest,
    server: BackendServerState,
    excluded: ReadonlySet<BackendServerId>,
  ): BackendServerState | null {
    const { service, route, session, customer } = request
    const now = this.#context.clock.now()
    const need = service.need(route.guarantee, session.ownPosition, now)
    if (need.kind !== 'position') return null
    const others = new Set([...excluded, server.entry.server])
    return service.readers.ready({ need: need.position, excluded: others, customer }, now)
  }

  /** Runs a write, or a commit of writes, and records whether the server confirmed it. */
  async trackConfirmation(
    server: BackendServerState,
    run: () => Promise<AttemptOutcome>,
  ): Promise<AttemptOutcome> {
    const { clock } = this.#context
    const write = server.writes.noteSent(clock.now())
    const outcome = await run()
    server.writes.noteEnded(write, writeOutcomeOf(outcome), clock.now())
    return outcome
  }

  /**
   * Excludes the server from further attempts of this read or first statement of a transaction; if none is left, backs
   * off and allows all again.
   */
  async exclude(
    request: StatementRequest,
    server: BackendServerState,
    excluded: Set<BackendServerId>,
  ): Promise<void> {
    excluded.add(server.entry.server)
    const { service, customer } = request
    const now = this.#context.clock.now()
    if (service.readers.best({ need: null, excluded, customer }, now) !== null) return
    excluded.clear()
    if (this.#isOnlyBehind(request, server)) {
      excluded.add(server.entry.server)
      return
    }
    await this.backOffAfter({ kind: 'refused', refusal: 'busy' })
  }

  /** Whether the server lacks what the read needs and another one can serve it, so that a delay is of no use. */
  #isOnlyBehind(request: StatementRequest, server: BackendServerState): boolean {
    if (!this.#context.settings.schedulesSlots) return false
    const { service, route, session } = request
    const need = service.need(route.guarantee, session.ownPosition, this.#context.clock.now())
    if (need.kind !== 'position' || !server.progress.isKnownBehind(need.position)) return false
    return this.alternativeReader(request, server, new Set()) !== null
  }

  /** Waits before a server that refused is tried again; other failures need no delay. */
  async backOffAfter(mishap: StatementFailure): Promise<void> {
    if (mishap.kind !== 'refused') return
    await sleep(this.jitter(BUSY_RETRY_MILLISECONDS))
  }

  /** Logs a failed attempt, and records if the server answered that it is not the primary. */
  recordFailure(
    request: StatementRequest,
    server: BackendServerState,
    mishap: StatementFailure,
    sentAt: Milliseconds,
  ): void {
    const { entry } = server
    this.#context.log.write('try_failed', {
      request: request.statement.id,
      route: request.route.name,
      server: entry.server,
      reason: reasonOf(mishap),
      ...mishap,
      tookMilliseconds: Math.round(this.#context.clock.now() - sentAt),
    })
    if (mishap.kind === 'refused' && mishap.refusal === 'notPrimary') {
      request.service.recordNotPrimary(entry.server, sentAt, 'answer')
    }
  }

  /** Records what an answer tells about the server's log position. */
  recordLogProgress(
    server: BackendServerState,
    after: LogPosition | null,
    outcome: AttemptOutcome,
  ): void {
    if (outcome.position !== null)
      server.progress.noteReached(outcome.position, this.#context.clock.now())
    if (after === null || outcome.kind === 'answered') return
    if (outcome.mishap.kind === 'refused' && outcome.mishap.refusal === 'behind') {
      server.progress.noteBehind(after, this.#context.clock.now())
    }
  }

  /** Runs a statement outside a transaction and returns its connection to the pool. */
  async attemptSingle(
    request: StatementRequest,
    server: BackendServerState,
    { link, slot }: Connected,
    after: LogPosition | null,
    verifiesPrimary: boolean,
  ): Promise<AttemptOutcome> {
    const { clock } = this.#context
    const sentAt = clock.now()
    request.timing.tries += 1
    const plan = {
      session: request.session.values,
      statement: request.statement,
      after,
      isInTransaction: false,
      verifiesPrimary,
      deadline: request.deadline,
    }
    const outcome = await request.service.outliers.track(
      server.entry.server,
      workOf(request, server, false),
      () => attempt(this.#context, link, plan),
    )
    if (outcome.status === 'idle') server.pool.release(link)
    else server.pool.discard(link)
    slot.end(slotResultOf(outcome, clock.now() - sentAt))
    if (outcome.kind === 'answered') {
      server.latency.record(clock.now() - sentAt, clock.now())
      request.service.recordReplicaPosition(server.entry.server, outcome.position, clock.now())
    }
    return outcome
  }

  async #awaitChange(request: StatementRequest): Promise<void> {
    const startedAt = this.#context.clock.now()
    const left = request.deadline - startedAt
    await request.service.changed.wait(Math.min(left, RECHECK_MILLISECONDS))
    request.timing.newsMilliseconds += this.#context.clock.now() - startedAt
  }

  /** Whether the deadline of the statement has passed. */
  isExpired(request: StatementRequest): boolean {
    return this.#context.clock.now() >= request.deadline
  }

  /** A randomized span, so that hosts do not retry at the same time. */
  jitter(span: number): number {
    return jittered(span, this.#context.random)
  }
}

/** What the statement does, as far as the outcome tells of its server. */
export function workOf(
  { isWrite, service }: StatementRequest,
  server: BackendServerState,
  isInTransaction: boolean,
): SentWork {
  if (isWrite) return 'other'
  if (server !== service.primary) return 'replicaRead'
  return isInTransaction ? 'other' : 'primaryRead'
}

function writeOutcomeOf(outcome: AttemptOutcome): WriteOutcome {
  if (outcome.kind === 'answered') return 'confirmed'
  const { mishap } = outcome
  return mishap.kind === 'refused' && mishap.refusal === 'timeout' ? 'unconfirmed' : 'silent'
}

/** The cause of a failed attempt as one word. */
function reasonOf(mishap: StatementFailure): string {
  switch (mishap.kind) {
    case 'refused':
      return mishap.refusal
    case 'lost':
      return mishap.failure
    case 'notSent':
    case 'overdue':
    case 'overloaded':
    case 'unconfirmed':
    case 'unwritable':
      return mishap.kind
  }
}
