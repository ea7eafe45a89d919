/**
 * Makes the decisions for one database: coordinates its group, reads, writes, position questions
 * and connections.
 *
 * @internal
 */
import { addMilliseconds, type AttemptId, type Milliseconds } from '@nutmegcourse/shared'
import type { GroupRecord, GroupSnapshot, PositionReport, Targets } from '@nutmegcourse/protocol'
import type { BackendServer } from './backendServer.js'
import { ConnectionManager, type ConnectionOwners } from './connectionManager.js'
import type { CoreContext } from './coreContext.js'
import { DatabaseGroup } from './databaseGroup.js'
import { DeadlineEnforcer } from './deadlineEnforcer.js'
import { Dispatcher } from './dispatcher.js'
import type { ConnectFailure, ConnectionId } from './proxyMessages.js'
import { isWrite, type ProxyRequest } from './proxyRequest.js'
import { LONGEST_INTERVAL_MILLISECONDS, QuestionPlanner } from './questionPlanner.js'
import { ReadPath } from './readPath.js'
import { RequestOutcomes, type RunOutcome } from './requestOutcomes.js'
import { SessionPositions } from './sessionPositions.js'
import { WritePath } from './writePath.js'

/** The database and the backend server that a connection belongs to. */
export interface ConnectionOwner {
  readonly database: Database
  readonly server: BackendServer
}

const SHORTEST_INTERVAL_MILLISECONDS = 50
/**
 * A transaction whose last statement began longer ago is not waited for in a planned move, which ends
 * it: its caller may keep it open for as long as it likes.
 */
const IDLE_TRANSACTION_MILLISECONDS = 250
/** Between two checks of the transactions that a planned move waits for. */
const HELD_WRITES_CHECK_MILLISECONDS = 50
/** Position questions per server within the shortest data age that a class accepts. */
const QUESTIONS_PER_FRESHNESS = 4

export class Database {
  readonly group: DatabaseGroup
  readonly sessions: SessionPositions
  readonly reads: ReadPath
  readonly writes: WritePath
  readonly #context: CoreContext
  readonly #questions: QuestionPlanner
  readonly #connections: ConnectionManager<ConnectionOwner>
  readonly #dispatcher: Dispatcher<ConnectionOwner>
  readonly #outcomes: RequestOutcomes<ConnectionOwner>
  readonly #deadlines: DeadlineEnforcer
  /** The last planned move for which this proxy reported that it holds its writes. */
  #reportedAttempt: AttemptId | null = null

  constructor(
    record: GroupRecord,
    context: CoreContext,
    owners: ConnectionOwners<ConnectionOwner>,
    now: Milliseconds,
  ) {
    this.#context = context
    this.group = new DatabaseGroup(record, context.options, context.random, now)
    this.sessions = new SessionPositions(context.options.sessionLimit)
    this.reads = new ReadPath(this.group, context, this.sessions, (server, read, now) => {
      this.#dispatcher.submitRead(server, read, now)
    })
    this.writes = new WritePath(this.group, context, this.sessions)
    this.#questions = new QuestionPlanner(this.group, context)
    this.#connections = new ConnectionManager(context, owners, server => ({
      database: this,
      server,
    }))
    const { group, reads, writes } = this
    this.#dispatcher = new Dispatcher(group, reads, writes, context, this.#connections)
    this.#outcomes = new RequestOutcomes(group, reads, writes, context, this.#dispatcher)
    this.#deadlines = new DeadlineEnforcer(group, reads, writes, context)
  }

  update(snapshot: GroupSnapshot, targets: Targets | null, now: Milliseconds): void {
    this.#questions.intervalMilliseconds = backgroundInterval(targets)
    this.group.update(snapshot, now)
    this.#positionsChanged(now)
    for (const server of this.group.servers) {
      this.#connections.updateShare(server, now)
      if (server.isLeaving) this.#dispatcher.reroute(server, now)
      this.#dispatcher.dispatch(server, now)
    }
    this.#askDue(now)
  }

  /** Applies only a newer record, from a snapshot that is otherwise out of date. */
  updateRecord(record: GroupRecord, now: Milliseconds): void {
    this.group.updateRecord(record, now)
    this.#positionsChanged(now)
  }

  arrive(request: ProxyRequest, now: Milliseconds): void {
    const { requests, options } = this.#context
    requests.add(request)
    if (this.waitingCount >= options.queueLimit) {
      const { latencyMilliseconds } = request.classState.targets
      requests.refuse(request, 'queue_full', { retryAfterMilliseconds: latencyMilliseconds })
      return
    }
    this.#outcomes.place(request, now)
    // A request that only waits for a connection does not depend on positions.
    if (request.phase === 'awaitingServer' || this.writes.seeksLeader(now)) this.#askDue(now)
  }

  ran(request: ProxyRequest, outcome: RunOutcome, now: Milliseconds): void {
    this.#outcomes.ran(request, outcome, now)
    if (request.phase !== 'confirming') return
    // If other writes wait already, the questions to servers of other regions are scheduled too.
    if (this.writes.confirmingCount > 1 && this.#questions.isAskingNearby) return
    this.#askDue(now)
  }

  refusedUnrun(request: ProxyRequest, now: Milliseconds): void {
    this.#outcomes.refusedUnrun(request, now)
    this.#askDue(now)
  }

  broken(request: ProxyRequest, partlyAnswered: boolean, now: Milliseconds): void {
    this.#outcomes.broken(request, partlyAnswered, now)
    this.#askDue(now)
  }

  notSent(request: ProxyRequest, now: Milliseconds): void {
    this.#outcomes.notSent(request, now)
    this.#askDue(now)
  }

  mayStillRun(request: ProxyRequest, now: Milliseconds): boolean {
    if (request.isContinued && isWrite(request) && this.#hasReportedMove(now)) return false
    return this.#dispatcher.mayStillRun(request, now)
  }

  abandon(request: ProxyRequest, now: Milliseconds): void {
    this.#outcomes.abandon(request, now)
  }

  connectionOpened(server: BackendServer, id: ConnectionId, now: Milliseconds): void {
    if (server.pool.opened(id)) this.#dispatcher.dispatch(server, now)
  }

  connectionFailed(
    server: BackendServer,
    id: ConnectionId,
    failure: ConnectFailure,
    now: Milliseconds,
  ): void {
    server.pool.failed(id, now)
    // A server at its connection limit is healthy; the pool's pause keeps this proxy from retrying.
    if (failure !== 'tooManyConnections') this.#recordFailure(server, now)
    this.#dispatcher.dispatch(server, now)
    this.#askDue(now)
  }

  connectionClosed(server: BackendServer, id: ConnectionId, now: Milliseconds): void {
    const holder = server.pool.remove(id)?.holder ?? null
    if (holder !== null) this.#connectionLost(server, holder, now)
    // A fenced primary closes its clients' connections; its position report shows whether it was fenced.
    server.isQuestionUrgent = true
    this.#dispatcher.dispatch(server, now)
    this.#askDue(now)
  }

  positionAnswered(
    server: BackendServer,
    report: PositionReport,
    askedAt: Milliseconds,
    now: Milliseconds,
  ): void {
    const question = server.questionEnded(askedAt, false)
    if (question === null) return
    const { tracker } = this.group
    const before = tracker.reportOf(server.id)
    tracker.record(server.id, report, question.askedAt, question.moment)
    server.adaptPollInterval(before === null || isChanged(before, report))
    server.clearWriteRefusal(question.moment)
    server.breaker.recordSuccess()
    this.#reportHealth(server, 'reachable')
    this.#positionsChanged(now)
  }

  positionFailed(server: BackendServer, askedAt: Milliseconds, now: Milliseconds): void {
    if (server.questionEnded(askedAt, true) === null) return
    this.#recordFailure(server, now)
    this.#dispatcher.dispatch(server, now)
    this.#askDue(now)
  }

  /** Handles everything that is due: deadlines, questions, retries of connections. */
  tick(now: Milliseconds): void {
    this.group.findLeader(now)
    this.writes.settle(now)
    this.#deadlines.expire(now)
    this.reads.reevaluate(now)
    for (const server of this.group.servers) {
      this.#connections.updateShare(server, now)
      for (const request of this.#deadlines.overdue(server, now))
        this.#endOverdue(request, server, now)
      this.#dispatcher.dispatch(server, now)
    }
    this.#askDue(now)
  }

  /** Reports, once for each planned move, that no write starts and none is in flight. */
  reportHeldWrites(now: Milliseconds): void {
    const { attempt, database } = this.group.record
    if (attempt === null || !this.#awaitsReport(now) || this.#hasWriteInFlight(now)) return
    this.#reportedAttempt = attempt
    this.#context.effects.push({ kind: 'writesHeld', database, attempt })
  }

  nextWake(now: Milliseconds): Milliseconds {
    const due = this.#questions.nextDueAt
    const deadline = this.#deadlines.nextWake(now)
    const next = due < deadline ? due : deadline
    if (!this.#awaitsReport(now)) return next
    const check = addMilliseconds(now, HELD_WRITES_CHECK_MILLISECONDS)
    return next < check ? next : check
  }

  /** Requests that wait for a bound, a server or a connection. */
  get waitingCount(): number {
    let count = this.reads.awaitingCount + this.writes.queue.size
    for (const server of this.group.servers) count += server.reads.size
    return count
  }

  closeAll(): void {
    for (const server of this.group.servers) this.#connections.closeAll(server)
  }

  /** Whether this proxy has yet to report that it holds its writes for the planned move in force. */
  #awaitsReport(now: Milliseconds): boolean {
    if (!this.group.isMoving(now)) return false
    const { attempt } = this.group.record
    return attempt !== null && attempt !== this.#reportedAttempt
  }

  /** Whether the planned move in force no longer waits for this proxy. */
  #hasReportedMove(now: Milliseconds): boolean {
    const { attempt } = this.group.record
    return attempt !== null && attempt === this.#reportedAttempt && this.group.isMoving(now)
  }

  /** A write holds its connection from before it is sent until its answer or its transaction ends. */
  #hasWriteInFlight(now: Milliseconds): boolean {
    return this.group.servers.some(server =>
      server.pool.holders().some(holder => isWrite(holder) && !isIdleTransaction(holder, now)),
    )
  }

  #positionsChanged(now: Milliseconds): void {
    this.group.findLeader(now)
    this.writes.settle(now)
    this.reads.reevaluate(now)
    this.#dispatcher.dispatchQueued(now)
    this.#askDue(now)
  }

  #askDue(now: Milliseconds): void {
    this.#questions.ask({ ...this.reads.positionDemand(), ...this.writes.positionDemand(now) }, now)
  }

  /** A running request is settled by the shell's next message; an open transaction is over. */
  #connectionLost(server: BackendServer, holder: ProxyRequest, now: Milliseconds): void {
    holder.connection = null
    if (holder.phase === 'inTransaction') this.#context.requests.finish(holder)
    this.#recordFailure(server, now)
  }

  /**
   * Ends a request that a server has held for too long. Closing the connection makes the shell
   * report the request as broken, after which a repeatable one is retried on another server. A
   * request that can not be repeated, or is past its run limit, is refused now.
   */
  #endOverdue(request: ProxyRequest, server: BackendServer, now: Milliseconds): void {
    const mayRepeat = request.classState.targets.idempotent && !request.isContinued
    if (mayRepeat && !this.#deadlines.isPastRunLimit(request, now)) {
      if (request.connection !== null) this.#connections.close(server, request.connection.id)
      request.connection = null
      return
    }
    this.#context.requests.refuse(request, 'deadline_while_running')
    this.#dispatcher.drop(request)
    this.#dispatcher.dispatch(server, now)
  }

  #recordFailure(server: BackendServer, now: Milliseconds): void {
    if (!server.breaker.recordFailure(now)) return
    this.#reportHealth(server, 'unreachable')
    this.#dispatcher.reroute(server, now)
    this.#dispatcher.dispatchQueued(now)
  }

  #reportHealth(server: BackendServer, health: 'reachable' | 'unreachable'): void {
    if (server.reportedHealth === health) return
    server.reportedHealth = health
    const { database } = this.group
    this.#context.effects.push({ kind: 'reportHealth', database, server: server.id, health })
  }
}

/** Milliseconds between questions without any request, short enough for the strictest class. */
function backgroundInterval(targets: Targets | null): number {
  let interval = LONGEST_INTERVAL_MILLISECONDS
  for (const { access, freshnessMilliseconds } of targets?.classes ?? []) {
    if (access !== 'read' || freshnessMilliseconds === 0) continue
    interval = Math.min(interval, freshnessMilliseconds / QUESTIONS_PER_FRESHNESS)
  }
  return Math.max(interval, SHORTEST_INTERVAL_MILLISECONDS)
}

function isIdleTransaction(holder: ProxyRequest, now: Milliseconds): boolean {
  return holder.phase === 'inTransaction' && now - holder.startedAt > IDLE_TRANSACTION_MILLISECONDS
}

function isChanged(before: PositionReport, after: PositionReport): boolean {
  return (
    before.role !== after.role ||
    before.position.term !== after.position.term ||
    before.position.offset !== after.position.offset
  )
}
