/**
 * Runs statements for other entry hosts. A transaction belongs to the connection over which it came:
 * when that is gone, so is whoever could end it, and it is rolled back.
 *
 * @internal
 */
import { createServer, type Server, type Socket } from 'node:net'
import { JsonRpcConnection } from '@nutmegcourse/transport'
import type { HostContext } from './hostContext.js'
import type { GrantQuestion, LimitDesk } from './limitDesk.js'
import type { NewsDesk } from './newsDesk.js'
import type { NewsQuestion } from './newsMessages.js'
import {
  RELAY_METHODS,
  readRequest,
  type AnswerMessage,
  type BeginMessage,
  type ContinueMessage,
  type EndMessage,
  type RequestMessage,
} from './relayMessages.js'
import { HeardRoutes } from './relayRoutes.js'
import type { ServiceDesk } from './serviceDesk.js'
import {
  needsPrimary,
  type BegunTransaction,
  type LocalTransaction,
  type StatementRequest,
} from './statements.js'
import type { StatementRunner } from './statementRunner.js'

/** Beyond the configured time that a transaction may rest: its own host ends it before that. */
const IDLE_RESERVE_MILLISECONDS = 1000

export interface RelayDesks {
  /** The desk of a service, ready to serve; null when it is unknown or this host stops. */
  serve(service: string): ServiceDesk | null
  readonly idleTransactionMilliseconds: number
  /** The store's changes, for a host of the zone. */
  readonly news: NewsDesk
  /** The parts of customers' limits that this host holds. */
  readonly limits: LimitDesk
}

interface HeldTransaction {
  readonly transaction: LocalTransaction
  readonly idleTimer: NodeJS.Timeout | null
}

export class RelayServer {
  readonly #context: HostContext
  readonly #runner: StatementRunner
  readonly #desks: RelayDesks
  #server: Server | null = null
  readonly #sessions = new Set<RelaySession>()
  #isLeaving = false

  constructor(context: HostContext, runner: StatementRunner, desks: RelayDesks) {
    this.#context = context
    this.#runner = runner
    this.#desks = desks
  }

  /** Statements that run, and transactions that are open, for other hosts. */
  get isWorking(): boolean {
    return [...this.#sessions].some(session => session.isWorking)
  }

  listen(host: string, port: number): void {
    this.#server = createServer({ noDelay: true }, socket => {
      this.#accept(socket)
    })
    this.#server.on('error', error => {
      this.#context.log.write('relay_not_listening', { detail: error.message })
    })
    this.#server.listen({ host, port })
  }

  /** Tells other hosts to hand nothing more to this one. What they sent before is declined unrun. */
  leave(): void {
    this.#isLeaving = true
    for (const session of this.#sessions) session.leave()
  }

  /** Ends the transactions that are open for other hosts as soon as no statement runs in them. */
  endTransactions(): void {
    for (const session of this.#sessions) session.endTransactions()
  }

  close(): void {
    this.#server?.close()
    for (const session of this.#sessions) session.close()
  }

  #accept(socket: Socket): void {
    const session = new RelaySession(this.#context, this.#runner, this.#desks, socket)
    this.#sessions.add(session)
    if (this.#isLeaving) session.leave()
    session.onClose(() => {
      this.#sessions.delete(session)
    })
  }
}

/** One other host's connection, and the transactions that it has open here. */
class RelaySession {
  readonly #context: HostContext
  readonly #runner: StatementRunner
  readonly #desks: RelayDesks
  readonly #connection: JsonRpcConnection
  readonly #routes = new HeardRoutes()
  readonly #held = new Map<number, HeldTransaction>()
  #running = 0
  #endsTransactions = false
  #lastTransaction = 0

  constructor(context: HostContext, runner: StatementRunner, desks: RelayDesks, socket: Socket) {
    this.#context = context
    this.#runner = runner
    this.#desks = desks
    this.#connection = new JsonRpcConnection(socket, {
      [RELAY_METHODS.ping]: () => true,
      [RELAY_METHODS.news]: params => this.#desks.news.answer(params as NewsQuestion),
      [RELAY_METHODS.grant]: params => this.#desks.limits.answer(params as GrantQuestion),
      [RELAY_METHODS.single]: params => this.#single(params as RequestMessage),
      [RELAY_METHODS.begin]: params => this.#begin(params as BeginMessage),
      [RELAY_METHODS.continue]: params => this.#continue(params as ContinueMessage),
      [RELAY_METHODS.end]: params => {
        this.#end((params as EndMessage).transaction)
        return true
      },
    })
    this.#connection.onClose(() => {
      for (const id of [...this.#held.keys()]) this.#end(id)
    })
  }

  get isWorking(): boolean {
    return this.#running > 0 || this.#held.size > 0
  }

  onClose(listener: () => void): void {
    this.#connection.onClose(listener)
  }

  leave(): void {
    if (!this.#connection.closed) this.#connection.notify(RELAY_METHODS.leaving, {})
  }

  endTransactions(): void {
    this.#endsTransactions = true
    for (const id of [...this.#held.keys()]) this.#end(id)
  }

  close(): void {
    this.#connection.close()
  }

  async #single(message: RequestMessage): Promise<AnswerMessage> {
    const request = this.#read(message)
    if (request === null) return { kind: 'declined' }
    if (this.#isOutOfReach(request, !request.isWrite)) return { kind: 'declined' }
    this.#running += 1
    const result = await this.#runner.single(request)
    this.#running -= 1
    return answerOf(request, { result, transaction: null }, null)
  }

  async #begin(message: BeginMessage): Promise<AnswerMessage> {
    const request = this.#read(message.request)
    if (request === null) return { kind: 'declined' }
    if (this.#isOutOfReach(request, message.readOnly)) return { kind: 'declined' }
    this.#running += 1
    const begun = await this.#runner.begin(request, message.readOnly)
    this.#running -= 1
    this.#lastTransaction += 1
    return answerOf(request, begun, this.#hold(this.#lastTransaction, begun.transaction))
  }

  async #continue(message: ContinueMessage): Promise<AnswerMessage> {
    const route = this.#routes.read(message.request.route)
    const known = this.#held.get(message.transaction)
    if (known === undefined || route === null) return { kind: 'declined' }
    if (known.idleTimer !== null) clearTimeout(known.idleTimer)
    // While a statement runs, only what follows it here may end the transaction.
    this.#held.delete(message.transaction)
    const { desk } = known.transaction
    const request = readRequest(message.request, route, desk, this.#context.clock.now())
    this.#running += 1
    const gone = await this.#runner.continue(request, known.transaction)
    this.#running -= 1
    return answerOf(request, gone, this.#hold(message.transaction, gone.transaction))
  }

  /** Null when this host can not serve it. */
  #read(message: RequestMessage): StatementRequest | null {
    const route = this.#routes.read(message.route)
    const desk = route === null ? null : this.#desks.serve(route.service)
    if (route === null || desk === null) return null
    return readRequest(message, route, desk, this.#context.clock.now())
  }

  /** The other host asks the next one then, which may reach the primary. */
  #isOutOfReach(request: StatementRequest, readOnly: boolean): boolean {
    const { desk } = request
    if (!desk.isOwned || !needsPrimary(request, readOnly)) return false
    return !desk.reachesPrimary(this.#context.clock.now())
  }

  /**
   * Null when there is nothing to hold, or nobody left to end it. One that this host ends keeps its
   * number: what is asked in it next is declined, and the caller hears that nothing is kept.
   */
  #hold(id: number, transaction: LocalTransaction | null): number | null {
    if (transaction === null) return null
    if (this.#endsTransactions) {
      this.#runner.endTransaction(transaction, 'open')
      return id
    }
    if (this.#connection.closed) {
      this.#runner.endTransaction(transaction, 'open')
      return null
    }
    const limit = this.#desks.idleTransactionMilliseconds + IDLE_RESERVE_MILLISECONDS
    const end = () => {
      this.#end(id)
    }
    const idleTimer = Number.isFinite(limit) ? setTimeout(end, limit) : null
    this.#held.set(id, { transaction, idleTimer })
    return id
  }

  #end(id: number): void {
    const known = this.#held.get(id)
    if (known === undefined) return
    this.#held.delete(id)
    if (known.idleTimer !== null) clearTimeout(known.idleTimer)
    this.#runner.endTransaction(known.transaction, 'open')
  }
}

function answerOf(
  request: StatementRequest,
  { result }: BegunTransaction<LocalTransaction>,
  transaction: number | null,
): AnswerMessage {
  return { kind: 'answered', ...result, own: request.session.ownPosition, transaction }
}
