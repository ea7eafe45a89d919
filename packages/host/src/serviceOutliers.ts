/**
 * Leaves out servers of one service that fail while they report themselves ready: passes the outcomes of this host's
 * statements to `OutlierDetection` and logs what it decides. At rest unless the service calls for it.
 *
 * @internal
 */
import type { BackendServerId, Milliseconds } from '@nutmegcourse/shared'
import type { BackendRefusal, BackendReply } from '@nutmegcourse/protocol'
import {
  OutlierDetection,
  type OutlierChange,
  type SentStatement,
  type SentWork,
  type ServerFailure,
  type StatementFailure,
} from '@nutmegcourse/state'
import type { AttemptOutcome } from './attempt.js'
import type { HostContext } from './hostContext.js'

/** What an attempt tells of its server. */
type Observation = 'answered' | 'neither' | ServerFailure

export class ServiceOutliers {
  readonly #context: HostContext
  readonly #service: string
  readonly #serversInUse: (now: Milliseconds) => readonly BackendServerId[]
  readonly #onEjected: (server: BackendServerId) => void
  #detection: OutlierDetection | null = null

  /** `serversInUse`: the service's servers that may take work. */
  constructor(
    context: HostContext,
    service: string,
    serversInUse: (now: Milliseconds) => readonly BackendServerId[],
    onEjected: (server: BackendServerId) => void,
  ) {
    this.#context = context
    this.#service = service
    this.#serversInUse = serversInUse
    this.#onEjected = onEjected
  }

  /** Whether servers that fail are left out. When this ends, all are used again and what was observed is forgotten. */
  set isCalledFor(isCalledFor: boolean) {
    if (!isCalledFor) this.#detection = null
    else {
      this.#detection ??= new OutlierDetection(this.#serversInUse, change => {
        this.#log(change)
        if (change.kind === 'ejected') this.#onEjected(change.server)
      })
    }
  }

  get ejectedCount(): number {
    return this.#detection?.ejectedCount ?? 0
  }

  isEjected(server: BackendServerId): boolean {
    return this.#detection?.isEjected(server) ?? false
  }

  /** Whether one read may be sent to the ejected server in order to test it. */
  mayTest(server: BackendServerId, now: Milliseconds): boolean {
    return this.#detection?.mayTest(server, now) ?? false
  }

  reserveTest(server: BackendServerId, now: Milliseconds): void {
    this.#detection?.reserveTest(server, now)
  }

  /** Runs an attempt at the server and observes its outcome. */
  async track(
    server: BackendServerId,
    work: SentWork,
    run: () => Promise<AttemptOutcome>,
  ): Promise<AttemptOutcome> {
    if (this.#detection === null) return run()
    const sent = this.#noteSent(server, work)
    const outcome = await run()
    this.#observe(sent, outcome.kind === 'answered' ? 'answered' : failureOf(outcome.mishap, work))
    return outcome
  }

  /** The same for a BEGIN, which is answered at once and therefore no measure of the server's latency. */
  async trackBegin(
    server: BackendServerId,
    { work, deadline }: { readonly work: SentWork; readonly deadline: Milliseconds },
    run: () => Promise<BackendReply | null>,
  ): Promise<BackendReply | null> {
    if (this.#detection === null) return run()
    const sent = this.#noteSent(server, work)
    const reply = await run()
    const isOverdue = this.#context.clock.now() >= deadline
    if (reply === null) this.#observe(sent, isOverdue ? 'overdue' : 'lost')
    else if (reply.outcome.kind === 'done') this.#observe(sent, 'neither')
    else this.#observe(sent, failureOfRefusal(reply.outcome.refusal, work))
    return reply
  }

  recordNotOpened(server: BackendServerId): void {
    this.#detection?.recordNotOpened(server, this.#context.clock.now())
  }

  tick(now: Milliseconds, wasStalled: boolean): void {
    if (wasStalled) this.#detection?.discardOpen()
    this.#detection?.tick(now)
  }

  /** The server is gone, or another incarnation of it has begun. */
  forget(server: BackendServerId): void {
    this.#detection?.forget(server)
  }

  #noteSent(server: BackendServerId, work: SentWork): SentStatement | null {
    return this.#detection?.noteSent(server, work, this.#context.clock.now()) ?? null
  }

  #observe(sent: SentStatement | null, observation: Observation): void {
    if (sent === null || this.#detection === null) return
    const now = this.#context.clock.now()
    if (observation === 'answered') this.#detection.recordAnswer(sent, now)
    else if (observation === 'neither') this.#detection.recordNeither(sent, now)
    else this.#detection.recordFailure(sent, observation, now)
  }

  #log(change: OutlierChange): void {
    const { log } = this.#context
    const { server } = change
    if (change.kind === 'admitted') {
      const afterMilliseconds = Math.round(change.afterMilliseconds)
      log.write('server_admitted', { server, service: this.#service, afterMilliseconds })
      return
    }
    log.write('server_ejected', {
      server,
      service: this.#service,
      reason: change.reason,
      forMilliseconds: change.forMilliseconds,
      consecutiveFailures: change.consecutiveFailures,
      statements: change.statements,
      failureShare: rounded(change.failureShare),
      othersFailureShare: rounded(change.othersFailureShare),
      latencyMilliseconds: change.latencyMilliseconds,
      othersLatencyMilliseconds: change.othersLatencyMilliseconds,
    })
  }
}

const rounded = (share: number): number => Math.round(share * 100) / 100

function failureOf(mishap: StatementFailure, work: SentWork): Observation {
  switch (mishap.kind) {
    case 'refused':
      return failureOfRefusal(mishap.refusal, work)
    case 'lost':
      return 'lost'
    case 'overdue':
      return overdue(work)
    // Not sent.
    case 'notSent':
    case 'overloaded':
    case 'unconfirmed':
    case 'unwritable':
      return 'neither'
  }
}

function failureOfRefusal(refusal: BackendRefusal, work: SentWork): Observation {
  switch (refusal) {
    case 'busy':
    case 'tooManyConnections':
      return 'busy'
    case 'timeout':
      return overdue(work)
    case 'failed':
    case 'wrongServer':
    case 'other':
      return 'failed'
    // The server is well, but not the one that this statement needs.
    case 'behind':
    case 'notPrimary':
    case 'unknownStatement':
      return 'neither'
  }
}

/** A write may wait for a lock, or for replicas that do not confirm it. */
const overdue = (work: SentWork): Observation => (work === 'other' ? 'neither' : 'overdue')
