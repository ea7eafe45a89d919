/**
 * Server for other entry hosts: runs statements on their behalf, and answers their requests for grants and store
 * changes. A transaction belongs to the connection over which it was begun: when that closes, no one is left who could
 * end the transaction, and it is rolled back.
 *
 * @internal
 */
import { createServer, type Server, type Socket } from 'node:net'
import { isFields } from '@nutmegcourse/shared'
import { JsonRpcConnection, invalidParams, type RpcHandlers } from '@nutmegcourse/transport'
import type {
  ReceivedAnswer,
  ReceivedRequest,
  RelayedOrderAnswer,
  RelayedOrderRequest,
} from './groupPeers.js'
import type { HostContext } from './hostContext.js'
import type { LimitGranter } from './limitGranter.js'
import type { ChangeFeedServer } from './changeFeedServer.js'
import {
  isBeginMessage,
  isContinueMessage,
  isEndMessage,
  isFeedRequest,
  isGrantRequest,
  isOrderRequest,
  isReceivedRequest,
  isRequestMessage,
} from './relayChecks.js'
import {
  RELAY_METHODS,
  readRequest,
  type AnswerMessage,
  type BeginMessage,
  type ContinueMessage,
  type RequestMessage,
} from './relayMessages.js'
import { ReceivedRoutes } from './relayRoutes.js'
import type { ServiceState } from './serviceState.js'
import {
  needsPrimary,
  type TransactionStep,
  type LocalTransaction,
  type StatementRequest,
} from './statements.js'
import type { StatementRunner } from './statementRunner.js'
import { isBetterAtPrimary, type ReadWork } from './readRegion.js'

/** Added to the idle timeout of transactions, so that the host of the caller ends an idle transaction first. */
const IDLE_MARGIN_MILLISECONDS = 1000

/** How much of a value that cannot be used is logged. */
const DESCRIBED_CHARACTERS = 80

const DECLINED = { kind: 'declined' } as const
const UNREACHED: RelayedOrderAnswer = { report: null }
const UNSEEN: ReceivedAnswer = { furthest: null }

export interface RelayServices {
  /** The service, made active on this host; null if it is unknown or this host is stopping. */
  serve(service: string): ServiceState | null
  readonly idleTransactionMilliseconds: number
  /** Answers requests of hosts of the zone for changes of the store. */
  readonly changeFeed: ChangeFeedServer
  /** Orders a server on behalf of a host that does not reach it. */
  orderServer(request: RelayedOrderRequest): Promise<RelayedOrderAnswer>
  /** What this host has seen of the logs of a service's replicas. */
  receivedOf(request: ReceivedRequest): ReceivedAnswer
  /** Grants operations from the parts of customers' limits that this host holds. */
  readonly limits: LimitGranter
}

interface HeldTransaction {
  readonly transaction: LocalTransaction
  readonly idleTimer: NodeJS.Timeout | null
}

export class RelayServer {
  readonly #context: HostContext
  readonly #runner: StatementRunner
  readonly #services: RelayServices
  #server: Server | null = null
  readonly #sessions = new Set<RelaySession>()
  #isLeaving = false

  constructor(context: HostContext, runner: StatementRunner, services: RelayServices) {
    this.#context = context
    this.#runner = runner
    this.#services = services
  }

  /** Whether statements run or transactions are open on behalf of other hosts. */
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

  /**
   * Notifies other hosts to send no new requests. Requests that are already on the way are declined without being run.
   */
  leave(): void {
    this.#isLeaving = true
    for (const session of this.#sessions) session.leave()
  }

  /** Ends the transactions that are open on behalf of other hosts as soon as no statement runs in them. */
  endTransactions(): void {
    for (const session of this.#sessions) session.endTransactions()
  }

  close(): void {
    this.#server?.close()
    for (const session of this.#sessions) session.close()
  }

  #accept(socket: Socket): void {
    const session = new RelaySession(this.#context, this.#runner, this.#services, socket)
    this.#sessions.add(session)
    if (this.#isLeaving) session.leave()
    session.onClose(() => {
      this.#sessions.delete(session)
    })
  }
}

/** The connection of one other host, and the transactions that it has open here. */
class RelaySession {
  readonly #context: HostContext
  readonly #runner: StatementRunner
  readonly #services: RelayServices
  readonly #connection: JsonRpcConnection
  readonly #routes = new ReceivedRoutes()
  readonly #held = new Map<number, HeldTransaction>()
  /** Transactions in which a statement runs, and whether the other host has ended them meanwhile. */
  readonly #inUse = new Map<number, { isEnded: boolean }>()
  #running = 0
  #endsTransactions = false
  #lastTransaction = 0

  constructor(
    context: HostContext,
    runner: StatementRunner,
    services: RelayServices,
    socket: Socket,
  ) {
    this.#context = context
    this.#runner = runner
    this.#services = services
    const { changeFeed, limits } = services
    this.#connection = new JsonRpcConnection(socket, {
      [RELAY_METHODS.ping]: () => true,
      ...this.#handler('news', isFeedRequest, request => changeFeed.answer(request), DECLINED),
      ...this.#handler('grant', isGrantRequest, request => limits.answer(request), DECLINED),
      ...this.#handler(
        'order',
        isOrderRequest,
        request => services.orderServer(request),
        UNREACHED,
      ),
      ...this.#handler(
        'received',
        isReceivedRequest,
        request => services.receivedOf(request),
        UNSEEN,
      ),
      ...this.#handler('single', isRequestMessage, message => this.#single(message), DECLINED),
      ...this.#handler('begin', isBeginMessage, message => this.#begin(message), DECLINED),
      ...this.#handler('continue', isContinueMessage, message => this.#continue(message), DECLINED),
      [RELAY_METHODS.end]: params => this.#receiveEnd(params),
    })
    this.#connection.onClose(() => {
      for (const id of [...this.#held.keys()]) this.#end(id)
    })
  }

  /** Answers requests that cannot be read with `refusal`. */
  #handler<Message, Answer>(
    method: keyof typeof RELAY_METHODS,
    isMessage: (params: unknown) => params is Message,
    answer: (message: Message) => Answer | Promise<Answer>,
    refusal: NoInfer<Answer>,
  ): RpcHandlers {
    const handle = (params: unknown): Answer | Promise<Answer> => {
      if (isMessage(params)) return answer(params)
      this.#context.log.write('relay_malformed', { host: null, method, detail: null })
      return refusal
    }
    return { [RELAY_METHODS[method]]: handle }
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
    const refusal =
      message.isFinal === true ? null : this.#refusalOf(request, !request.isWrite, 'single')
    if (refusal !== null) return refusal
    this.#accepted(request)
    this.#running += 1
    const result = await this.#runner.single(request)
    this.#running -= 1
    return answerOf(request, { result, transaction: null }, null)
  }

  async #begin(message: BeginMessage): Promise<AnswerMessage> {
    const request = this.#read(message.request)
    if (request === null) return { kind: 'declined' }
    const isFinal = message.request.isFinal === true
    const refusal = isFinal ? null : this.#refusalOf(request, message.readOnly, 'transaction')
    if (refusal !== null) return refusal
    this.#accepted(request)
    this.#lastTransaction += 1
    const id = message.transaction ?? this.#lastTransaction
    return this.#runStatement(id, request, () => this.#runner.begin(request, message.readOnly))
  }

  async #continue(message: ContinueMessage): Promise<AnswerMessage> {
    const route = this.#routes.read(message.request.route)
    const held = this.#held.get(message.transaction)
    if (held === undefined || route === null) return { kind: 'declined' }
    if (held.idleTimer !== null) clearTimeout(held.idleTimer)
    // While a statement runs, only the code after it may end the transaction.
    this.#held.delete(message.transaction)
    const { service } = held.transaction
    const request = readRequest(message.request, route, service, this.#context.clock.now())
    return this.#runStatement(message.transaction, request, () =>
      this.#runner.continue(request, held.transaction),
    )
  }

  /** Runs a statement in a transaction, which goes on if neither the statement nor the other host has ended it. */
  async #runStatement(
    id: number,
    request: StatementRequest,
    run: () => Promise<TransactionStep<LocalTransaction>>,
  ): Promise<AnswerMessage> {
    const use = { isEnded: false }
    this.#inUse.set(id, use)
    this.#running += 1
    const step = await run()
    this.#running -= 1
    this.#inUse.delete(id)
    const { transaction } = step
    if (transaction !== null && use.isEnded) {
      this.#runner.endTransaction(transaction, 'open')
      return answerOf(request, step, null)
    }
    return answerOf(request, step, this.#hold(id, transaction))
  }

  /** Null if this host can not serve the request. */
  #read(message: RequestMessage): StatementRequest | null {
    const route = this.#routes.read(message.route)
    const service = route === null ? null : this.#services.serve(route.service)
    if (route === null || service === null) return null
    return readRequest(message, route, service, this.#context.clock.now())
  }

  /** Why another host is to be asked; null if this one runs the request. */
  #refusalOf(request: StatementRequest, readOnly: boolean, work: ReadWork): AnswerMessage | null {
    if (this.#isPrimaryOutOfReach(request, readOnly)) return { kind: 'declined' }
    const now = this.#context.clock.now()
    return isBetterAtPrimary(request, { readOnly, work }, this.#context.settings, now)
      ? { kind: 'declined', isRedirected: true }
      : null
  }

  #accepted({ service }: StatementRequest): void {
    service.lastServedForOthersAt = this.#context.clock.now()
  }

  /** Whether to decline a request for the primary, so that the other host tries another owner that may reach it. */
  #isPrimaryOutOfReach(request: StatementRequest, readOnly: boolean): boolean {
    const { service } = request
    if (!service.isOwned || !needsPrimary(request, readOnly)) return false
    return !service.reachesPrimary(this.#context.clock.now())
  }

  /**
   * Keeps an open transaction and returns its identifier; null if there is none, or if the connection has closed. A
   * transaction that this host ends because it is stopping keeps its identifier: its next statement is declined, which
   * the caller receives as an aborted transaction.
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
    const limit = this.#services.idleTransactionMilliseconds + IDLE_MARGIN_MILLISECONDS
    const end = () => {
      this.#end(id)
    }
    const idleTimer = Number.isFinite(limit) ? setTimeout(end, limit) : null
    this.#held.set(id, { transaction, idleTimer })
    return id
  }

  #receiveEnd(params: unknown): true {
    if (isEndMessage(params)) {
      this.#end(params.transaction)
      return true
    }
    const value = isFields(params) ? params.transaction : params
    const text = value === undefined ? 'missing' : JSON.stringify(value)
    const detail = `transaction: ${text.slice(0, DESCRIBED_CHARACTERS)}: is no transaction's number`
    this.#context.log.write('relay_malformed', { host: null, method: 'end', detail })
    throw invalidParams(detail)
  }

  #end(id: number): void {
    const use = this.#inUse.get(id)
    if (use !== undefined) use.isEnded = true
    const held = this.#held.get(id)
    if (held === undefined) return
    this.#held.delete(id)
    if (held.idleTimer !== null) clearTimeout(held.idleTimer)
    this.#runner.endTransaction(held.transaction, 'open')
  }
}

function answerOf(
  request: StatementRequest,
  { result }: TransactionStep<LocalTransaction>,
  transaction: number | null,
): AnswerMessage {
  const { ownPosition = request.session.ownPosition, ...answer } = result
  return { kind: 'answered', ...answer, own: ownPosition, transaction }
}
