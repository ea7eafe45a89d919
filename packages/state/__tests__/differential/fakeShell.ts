/**
 * The shell around one core, which carries out its effects against the fake servers. An answer goes to the
 * request that its connection holds when it arrives, like bytes on a socket, so that a connection that is
 * reused too early shows as a crossed answer.
 */
import {
  assertNever,
  backendServerId,
  requestId,
  type LogPosition,
  type RandomSource,
} from '@nutmegcourse/shared'
import {
  ProxyCore,
  type ConnectionId,
  type ProxyEffect,
  type ProxyMessage,
} from '../../src/index.js'
import type { Effect } from '../coreFixture.js'
import type { CallerChecker } from './callerChecker.js'
import type { EventQueue } from './eventQueue.js'
import type { FakeBackendServer } from './fakeBackendServer.js'
import type { FakeGroup } from './fakeGroup.js'
import type { Mutation } from './mutations.js'

const POSITION_TIMEOUT_MILLISECONDS = 300
const CONNECT_TIMEOUT_MILLISECONDS = 200
const SWEEP_PERIOD_MILLISECONDS = 5
/** How long a server may get new work after it has started to leave. */
const NEW_WORK_LIMIT_MILLISECONDS = 3000

interface FakeConnection {
  readonly id: ConnectionId
  readonly server: FakeBackendServer
  readonly incarnation: number
  holder: string | null
  isRunning: boolean
  /** The request that opened the server's open transaction on this connection. */
  transaction: string | null
}

interface ServerAnswer {
  readonly request: string
  readonly ran: boolean
  readonly seen: readonly string[]
  readonly position: LogPosition
  readonly sentAt: number
}

export class FakeShell {
  readonly name: string
  readonly #core: ProxyCore
  readonly #events: EventQueue
  readonly #group: FakeGroup
  readonly #callers: CallerChecker
  readonly #random: RandomSource
  readonly #mutation: Mutation
  readonly #connections = new Map<ConnectionId, FakeConnection>()
  readonly #openerByCommit = new Map<string, string>()
  readonly #leavingSince = new Map<string, number>()
  #answersToLose = 0
  #wakeAt = Number.POSITIVE_INFINITY
  #isCrashed = false
  stopped = false

  constructor(
    name: string,
    core: ProxyCore,
    parts: { events: EventQueue; group: FakeGroup; callers: CallerChecker; random: RandomSource },
    mutation: Mutation,
  ) {
    this.name = name
    this.#core = core
    this.#events = parts.events
    this.#group = parts.group
    this.#callers = parts.callers
    this.#random = parts.random
    this.#mutation = mutation
    this.#detectClosedConnections()
  }

  /** Records whether the next snapshot lists the server as leaving. */
  noteListed(name: string, isLeaving: boolean): void {
    if (!isLeaving) this.#leavingSince.delete(name)
    else if (!this.#leavingSince.has(name)) this.#leavingSince.set(name, this.#events.now())
  }

  loseAnswers(count: number): void {
    this.#answersToLose += count
  }

  /** Drops all connections; requests that were already sent may still run. */
  crash(): void {
    this.#isCrashed = true
    this.#connections.clear()
  }

  send(message: ProxyMessage): void {
    if (this.#isCrashed) return
    for (const effect of this.#core.handle(message, this.#events.now())) this.#carryOut(effect)
    this.#scheduleWake()
  }

  #carryOut(effect: ProxyEffect): void {
    switch (effect.kind) {
      case 'run':
        this.#run(effect)
        return
      case 'acknowledge':
        if (this.#mutation.acknowledgesAtOnce !== true) this.#acknowledge(effect.request)
        return
      case 'refuse':
        this.#callers.refuse(effect.request, effect.refusal.reason)
        return
      case 'open':
        this.#open(effect)
        return
      case 'close':
        this.#close(effect.connection)
        return
      case 'askPosition':
        this.#askPosition(effect)
        return
      case 'stopped':
        this.stopped = true
        return
      case 'reportHealth':
      case 'writesHeld':
      case 'count':
        return
      default:
        assertNever(effect)
    }
  }

  #run({ request, connection: id, readOnly }: Effect<'run'>): void {
    const connection = this.#connections.get(id)
    if (connection === undefined) throw new Error('run on a connection that is not open')
    this.#checkLeaving(connection.server)
    this.#sendRequest(connection, request, readOnly)
  }

  #sendRequest(connection: FakeConnection, request: string, readOnly: boolean): void {
    connection.holder = request
    connection.isRunning = true
    const { server, incarnation } = connection
    const sentAt = this.#events.now()
    this.#deliver(server, incarnation, () => {
      const ran = this.#execute(connection, request, readOnly)
      const answer = { request, ran, seen: server.writes, position: server.position, sentAt }
      if (this.#answersToLose > 0) {
        this.#answersToLose -= 1
        this.#schedule(() => {
          if (this.#mutation.takesLostAnswerForRefusal === true) {
            this.#handleAnswer(connection, { ...answer, ran: false })
          } else this.#handleBroken(connection)
        })
        return
      }
      this.#deliver(server, incarnation, () => {
        this.#handleAnswer(connection, answer)
      })
    })
  }

  /** Returns false if the server refused the request. */
  #execute(connection: FakeConnection, request: string, readOnly: boolean): boolean {
    const { opensTransaction } = this.#callers.get(request)
    const opener = this.#openerByCommit.get(request) ?? null
    if (connection.transaction !== opener) {
      this.#callers.violations.push(
        `mixed: ${request} ran inside ${connection.transaction ?? 'none'}`,
      )
    }
    connection.transaction = null
    if (readOnly) return true
    if (!opensTransaction) return connection.server.run(request)
    if (connection.server.canWrite) connection.transaction = request
    return connection.server.canWrite
  }

  /** The caller commits its transaction, or abandons it. */
  #continueTransaction(connection: FakeConnection, opener: string): void {
    if (this.#connections.get(connection.id) !== connection) return
    if (this.#random.next() < 0.2) {
      this.send({ kind: 'requestAbandoned', request: requestId(opener) })
      return
    }
    const commit = `commit-${opener}`
    this.#openerByCommit.set(commit, opener)
    this.#callers.continueTransaction(commit, opener)
    this.#sendRequest(connection, commit, false)
    this.send({
      kind: 'transactionContinued',
      request: requestId(commit),
      connection: connection.id,
    })
  }

  #checkLeaving(server: FakeBackendServer): void {
    const since = this.#leavingSince.get(server.name)
    if (since !== undefined && this.#events.now() > since + NEW_WORK_LIMIT_MILLISECONDS) {
      this.#callers.violations.push(`new work for leaving ${server.name}`)
    }
  }

  /** Bytes that a partition holds up arrive late, once it has healed. */
  #deliver(server: FakeBackendServer, incarnation: number, action: () => void): void {
    this.#schedule(() => {
      if (server.incarnation !== incarnation) return
      if (this.#group.canReach(this.name, server.name)) action()
      else this.#deliver(server, incarnation, action)
    })
  }

  #handleAnswer(connection: FakeConnection, answer: ServerAnswer): void {
    const { holder } = connection
    if (this.#connections.get(connection.id) !== connection || holder === null) return
    if (holder !== answer.request) {
      this.#callers.violations.push(`crossed: ${holder} got the answer of ${answer.request}`)
    }
    connection.isRunning = false
    const transactionOpen = answer.ran && connection.transaction !== null
    const request = this.#callers.get(holder)
    const isWrite = request.access === 'write'
    if (!isWrite) this.#callers.answerRead(holder, answer.seen, answer.sentAt)
    if (isWrite && answer.ran && this.#mutation.acknowledgesAtOnce === true) {
      this.#acknowledge(holder)
    }
    this.send({
      kind: 'requestRan',
      request: requestId(holder),
      position: isWrite ? this.#mutatedPosition(answer.position) : null,
      transactionOpen,
      failed: false,
      refusedUnrun: !answer.ran,
    })
    if (!transactionOpen) return
    this.#events.schedule(this.#random.next() * 20, () => {
      this.#continueTransaction(connection, holder)
    })
  }

  #acknowledge(request: string): void {
    this.#callers.acknowledge(request, this.#events.now())
  }

  #open({ connection: id, server: name }: Effect<'open'>): void {
    const server = this.#group.server(name)
    if (!this.#group.canReach(this.name, name)) {
      this.#events.schedule(CONNECT_TIMEOUT_MILLISECONDS, () => {
        this.send({ kind: 'connectionFailed', connection: id, failure: 'timeout' })
      })
      return
    }
    this.#schedule(() => {
      if (!server.isAlive) {
        this.send({ kind: 'connectionFailed', connection: id, failure: 'refused' })
        return
      }
      const { incarnation } = server
      this.#connections.set(id, {
        id,
        server,
        incarnation,
        holder: null,
        isRunning: false,
        transaction: null,
      })
      this.send({ kind: 'connectionOpened', connection: id })
    })
  }

  #close(id: ConnectionId): void {
    const connection = this.#connections.get(id)
    this.#connections.delete(id)
    if (connection?.isRunning !== true || connection.holder === null) return
    const { holder } = connection
    if (this.#callers.get(holder).outcome !== 'none') return
    this.#events.schedule(0, () => {
      this.send({ kind: 'requestBroken', request: requestId(holder), partlyAnswered: false })
    })
  }

  #handleBroken(connection: FakeConnection): void {
    if (!this.#connections.delete(connection.id)) return
    this.send({ kind: 'connectionClosed', connection: connection.id })
    if (!connection.isRunning || connection.holder === null) return
    const request = requestId(connection.holder)
    this.send({ kind: 'requestBroken', request, partlyAnswered: false })
  }

  #askPosition({ server: name }: Effect<'askPosition'>): void {
    const server = this.#group.server(name)
    const askedAt = this.#events.now()
    const id = backendServerId(name)
    const responder = this.#mutation.responder?.(this.name, server, this.#group) ?? server
    const fail = (): void => {
      this.send({ kind: 'positionFailed', server: id, askedAt })
    }
    this.#schedule(() => {
      if (!this.#group.canReach(this.name, responder.name)) {
        this.#events.schedule(POSITION_TIMEOUT_MILLISECONDS, fail)
        return
      }
      if (!responder.isAlive) {
        fail()
        return
      }
      const role = responder === server ? server.report.role : 'replica'
      const received = { ...responder.report, role }
      const report = this.#mutation.report?.(received) ?? received
      this.#schedule(() => {
        if (this.#group.canReach(this.name, responder.name)) {
          this.send({ kind: 'positionAnswered', server: id, report, askedAt })
        } else this.#events.schedule(POSITION_TIMEOUT_MILLISECONDS, fail)
      })
    })
  }

  /** Detects connections that their servers closed. */
  #detectClosedConnections(): void {
    if (this.#isCrashed) return
    for (const connection of [...this.#connections.values()]) {
      const { server, incarnation } = connection
      if (!this.#group.canReach(this.name, server.name)) continue
      if (!server.isAlive || server.incarnation !== incarnation) this.#handleBroken(connection)
    }
    this.#events.schedule(SWEEP_PERIOD_MILLISECONDS, () => {
      this.#detectClosedConnections()
    })
  }

  #scheduleWake(): void {
    const wake = this.#core.nextWake(this.#events.now())
    if (wake === null || wake >= this.#wakeAt) return
    this.#wakeAt = wake
    const delay = Math.max(wake - this.#events.now(), 0.1)
    this.#events.schedule(delay, () => {
      if (this.#wakeAt !== wake) return
      this.#wakeAt = Number.POSITIVE_INFINITY
      this.send({ kind: 'tick' })
    })
  }

  #mutatedPosition(position: LogPosition): LogPosition {
    return this.#mutation.position?.(position) ?? position
  }

  #schedule(action: () => void): void {
    this.#events.schedule(0.5 + this.#random.next() * 2.5, action)
  }
}
