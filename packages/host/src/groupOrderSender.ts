/**
 * Sends orders to the servers of one group during a change of its primary. An order uses a connection of this
 * host's pool if one becomes free soon, and otherwise a new one: transactions may hold all pooled connections,
 * while a server at its connection limit accepts no new one.
 *
 * @internal
 */
import { addMilliseconds, type BackendServerId, type Term } from '@nutmegcourse/shared'
import { ok, type Result } from 'neverthrow'
import type {
  BackendAddress,
  BackendCommand,
  BackendLink,
  LinkFailure,
  ServerReport,
} from '@nutmegcourse/protocol'
import type { ServerDirectory } from '@nutmegcourse/state'
import type { GroupOrders } from '@nutmegcourse/coordination'
import { addressOf, type BackendServerState } from './backendServerState.js'
import { ChangeLog, type OrderCourse } from './changeLog.js'
import type { GroupPeers, RelayedOrder } from './groupPeers.js'
import type { HostContext } from './hostContext.js'
import type { PooledLink } from './pooledLink.js'
import type { ServiceState } from './serviceState.js'
import { logUnfitAnswer } from './unfitAnswers.js'
import { OVERDUE, firstAnswer, sleep, withDeadline } from './waiting.js'

/** Limit of one attempt. A server accepts a connection in tens of milliseconds, also over the link. */
const ORDER_LIMIT_MILLISECONDS = 500

/**
 * An order whose answer was lost is repeated on another connection, up to this many attempts. A server that was dropped
 * from the list is most likely gone, and asked once.
 */
const MAX_UNANSWERED = 3

/**
 * A server that reports that it is full or busy is alive, and has capacity again within a few statements, so the
 * order is retried for this long. Three attempts took 75 ms, and under load all of them were rejected.
 */
const NO_CAPACITY_RETRY_MILLISECONDS = 1000

/** Pause between two attempts, and between two reports of a candidate that is catching up. */
const RETRY_PAUSE_MILLISECONDS = 25

/** A busy connection becomes free within a few statements, unless transactions hold all of them. */
const FREE_CONNECTION_MILLISECONDS = 150

/** How an attempt ended without a report. */
type OrderFailure =
  /** The server answered that it has no capacity for the order. */
  'noCapacity' | 'noAnswer'

export class GroupOrderSender implements GroupOrders {
  readonly #context: HostContext
  readonly #service: ServiceState
  readonly #directory: ServerDirectory
  readonly #peers: GroupPeers
  readonly changeLog: ChangeLog

  constructor(
    context: HostContext,
    service: ServiceState,
    directory: ServerDirectory,
    peers: GroupPeers,
  ) {
    this.#context = context
    this.#service = service
    this.#directory = directory
    this.#peers = peers
    this.changeLog = new ChangeLog(context, service)
  }

  report(server: BackendServerId): Promise<ServerReport | null> {
    return this.#orderOnAnyPath(server, { kind: 'report' })
  }

  pause(server: BackendServerId, term: Term): Promise<ServerReport | null> {
    return this.#orderOnAnyPath(server, { kind: 'pause', term })
  }

  stepDown(server: BackendServerId, term: Term): Promise<ServerReport | null> {
    return this.#orderOnAnyPath(server, { kind: 'stepDown', term })
  }

  /** Only the holder may end a pause, and only as long as its claim lasts, so this does not go through other hosts. */
  async resume(server: BackendServerId): Promise<ServerReport | null> {
    const answer = await this.#order(server, { kind: 'resume' })
    return typeof answer === 'string' ? null : answer
  }

  /** One attempt, for a host that does not reach the server. */
  async orderForPeer(server: BackendServerId, order: RelayedOrder): Promise<ServerReport | null> {
    if (this.#isOutOfReach(server)) return null
    const answer = await this.#orderOnce(server, order)
    if (typeof answer === 'string') return null
    this.#recordReport(server, answer)
    return answer
  }

  waitBeforeRetry(): Promise<void> {
    return sleep(RETRY_PAUSE_MILLISECONDS)
  }

  /** A server that this host does not reach may serve others, which can stop it. */
  async #orderOnAnyPath(
    server: BackendServerId,
    order: RelayedOrder,
  ): Promise<ServerReport | null> {
    const answered = this.#order(server, order)
    if (this.#isOutOfReach(server)) {
      const direct = answered.then(answer => (typeof answer === 'string' ? null : answer))
      return firstAnswer([direct, this.#orderThroughPeers(server, order)])
    }
    const answer = await answered
    if (answer === 'noAnswer' && this.#service.server(server) !== undefined) {
      return this.#orderThroughPeers(server, order)
    }
    return typeof answer === 'string' ? null : answer
  }

  async #orderThroughPeers(
    server: BackendServerId,
    order: RelayedOrder,
  ): Promise<ServerReport | null> {
    const { clock } = this.#context
    const startedAt = clock.now()
    const answer = await this.#peers.order(server, order)
    if (answer === null) return null
    const { report, host } = answer
    const tookMilliseconds = Math.round(clock.now() - startedAt)
    const course = { attempts: 1, busy: 0, unanswered: 0, through: host, tookMilliseconds }
    this.#answered(server, order, course, report)
    return report
  }

  #isOutOfReach(id: BackendServerId): boolean {
    return this.#service.server(id)?.isOutOfReach(this.#context.clock.now()) === true
  }

  #answered(
    server: BackendServerId,
    command: BackendCommand,
    course: OrderCourse,
    report: ServerReport,
  ): void {
    this.#recordReport(server, report)
    this.changeLog.answered(server, command, course, report)
  }

  #recordReport(server: BackendServerId, { role, term, received }: ServerReport): void {
    const bound = this.#service.received
    if (role === 'primary') bound.recordPrimary(server, Math.max(term, received.term))
    else bound.recordReplica(server, received)
  }

  async #order(id: BackendServerId, command: BackendCommand): Promise<ServerReport | OrderFailure> {
    const { clock } = this.#context
    const startedAt = clock.now()
    const noCapacityDeadline = addMilliseconds(startedAt, NO_CAPACITY_RETRY_MILLISECONDS)
    const maximumUnanswered = this.#service.server(id) === undefined ? 1 : MAX_UNANSWERED
    let unanswered = 0
    let busy = 0
    const course = (answers: number): OrderCourse => ({
      attempts: busy + unanswered + answers,
      busy,
      unanswered,
      through: null,
      tookMilliseconds: Math.round(clock.now() - startedAt),
    })
    for (;;) {
      const report = await this.#orderOnce(id, command)
      if (report !== 'noCapacity' && report !== 'noAnswer') {
        this.#answered(id, command, course(1), report)
        return report
      }
      if (report === 'noAnswer') unanswered += 1
      else busy += 1
      if (unanswered >= maximumUnanswered || clock.now() >= noCapacityDeadline) break
      await this.waitBeforeRetry()
    }
    this.changeLog.unanswered(id, command, course(0))
    return unanswered > 0 ? 'noAnswer' : 'noCapacity'
  }

  async #orderOnce(
    id: BackendServerId,
    command: BackendCommand,
  ): Promise<ServerReport | OrderFailure> {
    const server = this.#service.server(id)
    const address = server?.address ?? this.#lastAddress(id)
    if (address === null) return 'noAnswer'
    const { clock, dialer } = this.#context
    const pooled = server === undefined ? null : await this.#pooledLink(server)
    const deadline = addMilliseconds(clock.now(), ORDER_LIMIT_MILLISECONDS)
    const { link, opened } = pooled === null ? dialer.open(address, null) : alreadyOpen(pooled.link)
    if (pooled === null) {
      link.onClosed(failure => {
        logUnfitAnswer(this.#context, address, failure)
      })
    }
    const isOpen = await withDeadline(opened, deadline, clock)
    if (isOpen === OVERDUE || isOpen.isErr()) {
      link.close()
      return isOpen !== OVERDUE && isOpen.error.kind === 'rejected' ? 'noCapacity' : 'noAnswer'
    }
    const reply = await withDeadline(link.run(command), deadline, clock)
    if (reply === OVERDUE || reply.isErr()) {
      link.close()
      return 'noAnswer'
    }
    if (pooled === null) link.close()
    else server?.pool.release(pooled)
    return dialer.readReport(reply.value) ?? 'noCapacity'
  }

  #lastAddress(id: BackendServerId): BackendAddress | null {
    const entry = this.#directory.lastEntry(id)
    return entry === null ? null : addressOf(entry)
  }

  /** A connection of the pool, if one is free or becomes free soon. */
  async #pooledLink(server: BackendServerState): Promise<PooledLink | null> {
    const idle = server.pool.takeIdleNow()
    if (idle !== null || server.pool.busy === 0) return idle
    const { clock } = this.#context
    const now = clock.now()
    // A silent server frees no connection; a new one shows whether it still answers.
    if (server.silentMilliseconds(now) > 0) return null
    const limit = addMilliseconds(now, FREE_CONNECTION_MILLISECONDS)
    const acquired = await server.pool.acquireFirst(limit)
    return 'link' in acquired ? acquired.link : null
  }
}

function alreadyOpen(link: BackendLink): {
  link: BackendLink
  opened: Promise<Result<void, LinkFailure>>
} {
  return { link, opened: Promise.resolve(ok(undefined)) }
}
