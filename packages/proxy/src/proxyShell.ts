/**
 * The I/O layer around the decision core: owns caller and backend connections, reports events to the
 * core as messages, and executes the core's effects.
 */
import { randomInt } from 'node:crypto'
import type { Socket } from 'node:net'
import type { Metrics } from '@nutmegcourse/observability'
import type { RoutingSnapshot } from '@nutmegcourse/protocol'
import type { ProxySettings } from '@nutmegcourse/settings'
import {
  assertNever,
  refusalCounter,
  requestId,
  type BackendServerId,
  type Clock,
  type DatabaseId,
  type RandomSource,
  type Refusal,
  type RequestId,
} from '@nutmegcourse/shared'
import { mergeSnapshot, type ConnectionId, type ProxyEffect } from '@nutmegcourse/state'
import { BackendConnection, type BackendConnectionEvents } from './backendConnection.js'
import type { CallerConnection, CallerEvents } from './callerConnection.js'
import type { CancelKey } from './callerStartupResponse.js'
import { CallerRegistry } from './callerRegistry.js'
import { parametersForCaller, type CallerIdentity } from './callerStartup.js'
import { CoreDriver } from './coreDriver.js'
import type { DecisionCore } from './decisionCore.js'
import { EffectCounters } from './effectCounters.js'
import { PositionQueries } from './positionQueries.js'
import { RequestManager } from './requestManager.js'
import { Topology } from './topology.js'

export interface ShellLog {
  readonly traces: boolean
  trace(request: RequestId, step: string, detail: string): void
  event(text: string, fields: Readonly<Record<string, unknown>>): void
  warn(text: string, fields: Readonly<Record<string, unknown>>): void
}

export interface ShellDependencies {
  readonly settings: ProxySettings
  readonly core: DecisionCore
  readonly clock: Clock
  readonly random: RandomSource
  readonly metrics: Metrics
  readonly log: ShellLog
  /** Reports to the agent the health of a backend server, or that writes are held for a move. */
  readonly report: (effect: Extract<ProxyEffect, { kind: 'reportHealth' | 'writesHeld' }>) => void
}

const STARTUP_TIMEOUT_MILLISECONDS = 10_000
const KEY_LIMIT = 0x7fff_ffff

export class ProxyShell {
  readonly #dependencies: ShellDependencies
  readonly #driver: CoreDriver
  readonly #topology = new Topology()
  readonly #counters: EffectCounters
  readonly #requests: RequestManager
  readonly #positionQueries: PositionQueries
  readonly #callers: CallerRegistry
  readonly #connections = new Map<ConnectionId, BackendConnection>()
  readonly #serverParameters = new Map<DatabaseId, ReadonlyMap<string, string>>()
  readonly #requestPrefix: string
  #lastRequest = 0
  #stopping = false
  #coreStopped = false
  #resolveStop: (() => void) | null = null

  constructor(dependencies: ShellDependencies) {
    this.#dependencies = dependencies
    const { settings, core, clock, random, metrics, log } = dependencies
    this.#counters = new EffectCounters(metrics)
    this.#callers = new CallerRegistry(
      {
        callerLimit: settings.callerLimit,
        messageLimitBytes: settings.messageLimitBytes,
        startupTimeoutMilliseconds: STARTUP_TIMEOUT_MILLISECONDS,
      },
      this.#callerEvents,
    )
    this.#requestPrefix = `${settings.entryHost}-${randomInt(KEY_LIMIT).toString(36)}-`
    this.#driver = new CoreDriver(core, clock, effect => {
      this.#execute(effect)
    })
    this.#requests = new RequestManager(this.#driver, this.#topology, this.#connections, {
      refused: (className, refusal) => {
        metrics.count(refusalCounter(refusal.reason), { class: className ?? '' })
      },
      outcomeUnknown: (active, refusal) => {
        log.warn('outcome unknown', {
          request: active.request.id,
          class: active.request.class,
          idempotencyKey: active.request.idempotencyKey,
          server: active.connection?.server.id,
          reason: refusal.reason,
          detail: active.breakDetail,
          connection: active.connection?.id,
          sentMillisecondsAgo:
            active.sentAt === null ? null : Math.round(this.#driver.now - active.sentAt),
        })
      },
      trace: (request, step, detail) => {
        if (log.traces) log.trace(request, step, detail)
      },
      closeConnection: connection => {
        this.#closeConnection(connection)
        this.#driver.send({ kind: 'connectionClosed', connection: connection.id })
      },
    })
    this.#positionQueries = new PositionQueries(
      {
        user: settings.backendUser,
        connectTimeoutMilliseconds: settings.connectTimeoutMilliseconds,
        questionTimeoutMilliseconds: settings.questionTimeoutMilliseconds,
      },
      {
        answered: (server, report, askedAt) => {
          this.#driver.send({ kind: 'positionAnswered', server, report, askedAt })
        },
        failed: (server, askedAt, error) => {
          log.event('position question failed', { server, error: error.detail })
          this.#driver.send({ kind: 'positionFailed', server, askedAt })
        },
      },
      random,
      () => clock.now(),
    )
  }

  /** Applies a snapshot from the agent. The core ignores one that is older than its current one. */
  updateSnapshot(update: RoutingSnapshot, firstOfConnection = false): void {
    const snapshot = mergeSnapshot(this.#topology.snapshot, update)
    this.#topology.update(snapshot)
    this.#positionQueries.closeUnlisted(server => this.#topology.findServer(server) !== null)
    this.#driver.send({ kind: 'snapshot', snapshot, firstOfConnection })
  }

  /** Whether the targets and the backend servers of every database are known. */
  get isReady(): boolean {
    return this.#topology.isComplete
  }

  /** Makes the core process whatever is due now. */
  tick(): void {
    this.#driver.send({ kind: 'tick' })
  }

  /** Bytes written to callers that are not sent yet. */
  get bufferedBytes(): number {
    return this.#callers.unsentBytes
  }

  accept(socket: Socket): void {
    const caller = this.#callers.add(socket)
    if (caller === null) this.#countRefusal({ reason: 'too_many_callers' })
    else if (this.#stopping) caller.drain()
  }

  /** Graceful shutdown: resolves once nothing is in flight and every caller has disconnected. */
  async stop(): Promise<void> {
    this.#stopping = true
    const stopped = new Promise<void>(resolve => {
      this.#resolveStop = resolve
    })
    this.#callers.drain()
    this.#driver.send({ kind: 'stop' })
    this.#checkStopped()
    await stopped
  }

  /** Closes all callers' connections at once; returns how many callers and requests were cut. */
  destroyCallers(): { readonly callers: number; readonly requests: number } {
    const remaining = { callers: this.#callers.size, requests: this.#requests.inFlight }
    this.#callers.destroyAll()
    return remaining
  }

  close(): void {
    this.#requests.close()
    this.#positionQueries.close()
    for (const connection of this.#connections.values()) connection.close()
    this.#connections.clear()
    this.#driver.stop()
    this.#counters.close()
  }

  /** Status for operators, as plain JSON. */
  status(): Readonly<Record<string, unknown>> {
    const { settings, metrics } = this.#dependencies
    this.#counters.flush()
    const servers: Record<string, Record<string, number>> = {}
    for (const connection of this.#connections.values()) {
      const states = (servers[connection.server.id] ??= {})
      const state = connection.run === null ? connection.state : 'running'
      states[state] = (states[state] ?? 0) + 1
    }
    return {
      entryHost: settings.entryHost,
      snapshotSequence: this.#topology.snapshot?.sequence ?? null,
      callers: this.#callers.size,
      requestsInFlight: this.#requests.inFlight,
      openTransactions: this.#requests.openTransactions,
      preparedStatements: this.#callers.preparedStatements,
      connections: servers,
      residentBytes: process.memoryUsage.rss(),
      counters: metrics.totals(),
      stopping: this.#stopping,
    }
  }

  readonly #callerEvents: CallerEvents = {
    admit: (_caller, identity) => this.#admit(identity),
    parametersOf: identity =>
      parametersForCaller(identity, this.#serverParameters.get(identity.database) ?? new Map()),
    nextRequestId: () => this.#nextRequestId(),
    cancel: key => {
      this.cancel(key)
    },
    start: (caller, request) => {
      this.#requests.start(caller, request)
    },
    moreAvailable: (caller, request) => {
      this.#requests.sendMore(caller, request)
    },
    congestionStarted: caller => {
      this.#requests.pauseAnswer(caller)
    },
    congestionEnded: caller => {
      this.#requests.resumeAnswer(caller)
    },
    closed: (caller, unfinished) => {
      this.#callers.remove(caller)
      this.#requests.handleCallerClosed(caller, unfinished)
      this.#endSession(caller)
      this.#checkStopped()
    },
  }

  readonly #connectionEvents: BackendConnectionEvents = {
    opened: connection => {
      this.#serverParameters.set(connection.server.database, connection.parameters)
      this.#driver.send({ kind: 'connectionOpened', connection: connection.id })
    },
    openFailed: (connection, failure, detail) => {
      this.#connections.delete(connection.id)
      this.#dependencies.log.event('no connection', {
        server: connection.server.id,
        failure,
        detail,
      })
      this.#driver.send({ kind: 'connectionFailed', connection: connection.id, failure })
    },
    closed: (connection, run, detail) => {
      this.#connections.delete(connection.id)
      this.#dependencies.log.event('connection closed', {
        server: connection.server.id,
        detail,
      })
      this.#requests.handleConnectionLost(connection, run, detail)
    },
    answered: (_connection, run) => {
      this.#requests.answered(run)
    },
    ended: (connection, run, outcome) => {
      this.#requests.ended(connection, run, outcome)
    },
  }

  #execute(effect: ProxyEffect): void {
    switch (effect.kind) {
      case 'run':
        this.#requests.run(effect)
        return
      case 'acknowledge':
        this.#requests.acknowledge(effect.request)
        return
      case 'refuse':
        this.#requests.refuse(effect.request, effect.refusal)
        return
      case 'open':
        this.#openConnection(effect)
        return
      case 'close': {
        const connection = this.#connections.get(effect.connection)
        if (connection === undefined) return
        const { run } = connection
        this.#closeConnection(connection)
        if (run !== null) this.#requests.handleConnectionClosedByCore(run)
        return
      }
      case 'askPosition': {
        this.#queryPosition(effect.server)
        return
      }
      case 'reportHealth':
      case 'writesHeld':
        this.#dependencies.report(effect)
        return
      case 'count':
        this.#counters.count(effect.counter, effect.tags)
        return
      case 'stopped':
        this.#coreStopped = true
        this.#checkStopped()
        return
      default:
        assertNever(effect)
    }
  }

  /** The core gets an answer to every query, also for a server that is no longer listed. */
  #queryPosition(id: BackendServerId): void {
    const server = this.#topology.findServer(id)
    if (server !== null) this.#positionQueries.query(server)
    else this.#driver.send({ kind: 'positionFailed', server: id, askedAt: this.#driver.now })
  }

  #openConnection(effect: Extract<ProxyEffect, { kind: 'open' }>): void {
    const server = this.#topology.findServer(effect.server)
    if (server === null) {
      const { connection } = effect
      this.#driver.send({ kind: 'connectionFailed', connection, failure: 'lost' })
      return
    }
    const { backendUser, connectTimeoutMilliseconds } = this.#dependencies.settings
    const options = { user: backendUser, connectTimeoutMilliseconds }
    const connection = new BackendConnection(
      effect.connection,
      server,
      options,
      this.#connectionEvents,
    )
    this.#connections.set(connection.id, connection)
  }

  #closeConnection(connection: BackendConnection): void {
    this.#connections.delete(connection.id)
    connection.close()
    this.#requests.handleConnectionClosed(connection)
  }

  #admit(identity: CallerIdentity): Refusal | null {
    const hasSnapshot = this.#topology.snapshot !== null
    if (!hasSnapshot || this.#topology.hasDatabase(identity.database)) return null
    const refusal: Refusal = { reason: 'unknown_database', detail: identity.database }
    this.#countRefusal(refusal)
    return refusal
  }

  /** Ends the session with the connection, unless the caller named the session. */
  #endSession(caller: CallerConnection): void {
    const { identity } = caller
    if (identity?.session !== null) return
    const { database } = identity
    this.#driver.send({ kind: 'sessionEnded', session: caller.session, database })
  }

  #countRefusal(refusal: Refusal): void {
    this.#dependencies.metrics.count(refusalCounter(refusal.reason), { class: '' })
  }

  /** Cancels the request of the caller that the key identifies; an unknown key is ignored. */
  cancel(key: CancelKey): void {
    const caller = this.#callers.find(key)
    if (caller !== null) this.#requests.cancel(caller)
  }

  #nextRequestId(): RequestId {
    this.#lastRequest += 1
    return requestId(this.#requestPrefix + this.#lastRequest.toString(36))
  }

  #checkStopped(): void {
    if (this.#stopping && this.#coreStopped && this.#callers.size === 0) this.#resolveStop?.()
  }
}
