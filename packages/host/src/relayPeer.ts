/**
 * Client for one other entry host that runs statements on behalf of this one.
 *
 * @internal
 */
import { addMilliseconds, type Milliseconds } from '@nutmegcourse/shared'
import type { HostAddress } from '@nutmegcourse/protocol'
import { openJsonRpc, type JsonRpcConnection, type TransportError } from '@nutmegcourse/transport'
import type {
  ReceivedAnswer,
  ReceivedRequest,
  RelayedOrderAnswer,
  RelayedOrderRequest,
} from './groupPeers.js'
import type { HostContext } from './hostContext.js'
import type { GrantAnswer, GrantRequest } from './limitGranter.js'
import type { ChangeFeedResponse, ChangeFeedRequest } from './changeFeedMessages.js'
import {
  isAnswerMessage,
  isFeedResponse,
  isGrantAnswer,
  isOrderAnswer,
  isReceivedAnswer,
} from './relayChecks.js'
import { RELAY_METHODS, type AnswerMessage, type EndMessage } from './relayMessages.js'
import { RouteNumbers, SentRoutes } from './relayRoutes.js'
import type { ChangeFeedSource } from './changeFeedReader.js'

/** A host accepts a connection within one round trip, which takes tens of milliseconds between regions. */
const CONNECT_TIMEOUT_MILLISECONDS = 300

/**
 * After a failure other hosts are used, and this one is reconnected to at this interval in the background. Otherwise
 * some callers would wait every second for a connection that can not be opened.
 */
const RECONNECT_INTERVAL_MILLISECONDS = 1000

/** The host is pinged when answers are pending and no byte has been received for this long. */
const PING_AFTER_MILLISECONDS = 250
/** The connection is closed if a ping is not answered within this time. */
const PING_TIMEOUT_MILLISECONDS = 250

/** Time for the answer to travel back: the other host answers at the deadline at the latest. */
const ANSWER_MARGIN_MILLISECONDS = 60

export type RelayOutcome =
  | {
      readonly kind: 'answered'
      readonly message: Extract<AnswerMessage, { kind: 'answered' }>
      readonly connection: JsonRpcConnection
    }
  /** Nothing was run there. */
  | { readonly kind: 'notSent' }
  /** Nothing was run there; the dispatcher of the primary is to be asked. */
  | { readonly kind: 'redirected' }
  /** A transaction that it began is still open there, unless the connection has closed. */
  | { readonly kind: 'lost'; readonly connection: JsonRpcConnection }
  | { readonly kind: 'overdue'; readonly connection: JsonRpcConnection }

export class RelayPeer implements ChangeFeedSource {
  readonly name: string
  readonly #context: HostContext
  readonly #address: HostAddress
  #connection: JsonRpcConnection | null = null
  /** The numbers of the routes on the connection. */
  #routeNumbers = new RouteNumbers()
  #opening: Promise<JsonRpcConnection | null> | null = null
  /** When to reconnect after a failure; null if the last attempt did not fail. */
  #retryAt: Milliseconds | null = null
  /** When the host announced that it is stopping; until its connection closes it still runs what it has accepted. */
  #leavingSince: Milliseconds | null = null
  #pendingCalls = 0
  #isPinging = false
  /** It did not answer a ping, and may still accept connections. */
  #wasSilent = false
  #receivedBytes = 0
  #lastReceivedAt = 0

  constructor(context: HostContext, name: string, address: HostAddress) {
    this.#context = context
    this.name = name
    this.#address = address
  }

  get hasPendingCalls(): boolean {
    return this.#pendingCalls > 0
  }

  isAt({ host, port }: HostAddress): boolean {
    return this.#address.host === host && this.#address.port === port
  }

  /** Whether new requests may be sent to it. */
  get isUp(): boolean {
    return this.#retryAt === null && this.#leavingSince === null
  }

  /** Whether the last attempt to reach it failed. */
  get isLost(): boolean {
    return this.#retryAt !== null
  }

  async call(
    method: string,
    params: (routes: SentRoutes) => unknown,
    deadline: Milliseconds,
  ): Promise<RelayOutcome> {
    const connection = await this.#connect()
    if (connection === null) return { kind: 'notSent' }
    return this.#callOver(connection, method, params, deadline)
  }

  /**
   * Runs a statement in a transaction that was begun over the connection. The other host ended it when that closed, and
   * numbers those of the next connection alike.
   */
  continue(
    connection: JsonRpcConnection,
    params: (routes: SentRoutes) => unknown,
    deadline: Milliseconds,
  ): Promise<RelayOutcome> {
    if (!this.#isOpen(connection)) return Promise.resolve({ kind: 'notSent' })
    return this.#callOver(connection, RELAY_METHODS.continue, params, deadline)
  }

  async #callOver(
    connection: JsonRpcConnection,
    method: string,
    params: (routes: SentRoutes) => unknown,
    deadline: Milliseconds,
  ): Promise<RelayOutcome> {
    const { clock } = this.#context
    if (this.#pendingCalls === 0) this.#lastReceivedAt = clock.now()
    this.#pendingCalls += 1
    const timeout = Math.max(1, deadline - clock.now() + ANSWER_MARGIN_MILLISECONDS)
    const routes = new SentRoutes(this.#routeNumbers)
    const answer = await connection.request<unknown>(method, params(routes), timeout)
    this.#pendingCalls -= 1
    if (answer.isErr()) return outcomeOf(answer.error, connection)
    const message = answer.value
    if (!isAnswerMessage(message)) {
      this.#context.log.write('relay_malformed', { host: this.name, method, detail: null })
      // The other host then ends a transaction that it may have begun.
      connection.close()
      return { kind: 'lost', connection }
    }
    if (message.kind !== 'declined') {
      routes.noteReceived()
      return { kind: 'answered', message, connection }
    }
    return { kind: message.isRedirected === true ? 'redirected' : 'notSent' }
  }

  requestChanges(request: ChangeFeedRequest, timeout: number): Promise<ChangeFeedResponse | null> {
    return this.#request(RELAY_METHODS.news, request, timeout, isFeedResponse)
  }

  askGrant(request: GrantRequest, timeout: number): Promise<GrantAnswer | null> {
    return this.#request(RELAY_METHODS.grant, request, timeout, isGrantAnswer)
  }

  orderServer(request: RelayedOrderRequest, timeout: number): Promise<RelayedOrderAnswer | null> {
    return this.#request(RELAY_METHODS.order, request, timeout, isOrderAnswer)
  }

  askReceived(request: ReceivedRequest, timeout: number): Promise<ReceivedAnswer | null> {
    return this.#request(RELAY_METHODS.received, request, timeout, isReceivedAnswer)
  }

  /**
   * Returns null if no answer that can be read arrives within `timeout` milliseconds. Not counted as a pending call,
   * which would be monitored with pings: no statement runs there, and the timeout suffices.
   */
  async #request<Answer>(
    method: string,
    params: unknown,
    timeout: number,
    isAnswer: (value: unknown) => value is Answer,
  ): Promise<Answer | null> {
    const connection = await this.#connect()
    if (connection === null) return null
    const received = await connection.request<unknown>(method, params, timeout)
    if (received.isErr()) return null
    const answer = received.value
    if (isAnswer(answer)) return answer
    this.#context.log.write('relay_malformed', { host: this.name, method, detail: null })
    return null
  }

  /** Ends a transaction there. If its connection closed, nothing is sent: the other host ends it then. */
  end(connection: JsonRpcConnection, transaction: number): void {
    const message: EndMessage = { transaction }
    if (this.#isOpen(connection)) connection.notify(RELAY_METHODS.end, message)
  }

  #isOpen(connection: JsonRpcConnection): boolean {
    return connection === this.#connection && !connection.closed
  }

  tick(now: Milliseconds): void {
    this.#checkIfStopped(now)
    if (this.#retryAt !== null && now >= this.#retryAt) void this.#connect()
    const connection = this.#connection
    if (connection === null || this.#pendingCalls === 0 || this.#isPinging) return
    const { received } = connection.traffic
    if (received !== this.#receivedBytes) {
      this.#receivedBytes = received
      this.#lastReceivedAt = now
    } else if (now - this.#lastReceivedAt > PING_AFTER_MILLISECONDS) void this.#ping(connection)
  }

  close(): void {
    this.#connection?.close()
  }

  async #ping(connection: JsonRpcConnection): Promise<void> {
    this.#isPinging = true
    const answer = await connection.request(RELAY_METHODS.ping, {}, PING_TIMEOUT_MILLISECONDS)
    this.#isPinging = false
    this.#lastReceivedAt = this.#context.clock.now()
    if (answer.isOk()) return
    this.#wasSilent = this.#context.settings.schedulesSlots
    this.#failed('silent')
    connection.close()
  }

  #connect(): Promise<JsonRpcConnection | null> {
    if (this.#connection?.closed === false) return Promise.resolve(this.#connection)
    this.#opening ??= this.#open().finally(() => (this.#opening = null))
    return this.#opening
  }

  async #open(): Promise<JsonRpcConnection | null> {
    const { host, port } = this.#address
    const leaving = (): void => {
      this.#leavingSince = this.#context.clock.now()
    }
    const handlers = { [RELAY_METHODS.leaving]: leaving }
    const opened = await openJsonRpc(host, port, handlers, CONNECT_TIMEOUT_MILLISECONDS)
    if (opened.isErr()) {
      this.#failed(opened.error.kind)
      return null
    }
    if (!(await this.#isAwake(opened.value))) {
      opened.value.close()
      this.#failed('silent')
      return null
    }
    this.#connection = opened.value
    this.#routeNumbers = new RouteNumbers()
    this.#retryAt = null
    this.#receivedBytes = 0
    return opened.value
  }

  /**
   * The system of a frozen host accepts connections for it. A dispatcher has the statements of a whole region, which
   * would wait there after each reconnection.
   */
  async #isAwake(connection: JsonRpcConnection): Promise<boolean> {
    if (!this.#wasSilent) return true
    const answer = await connection.request(RELAY_METHODS.ping, {}, PING_TIMEOUT_MILLISECONDS)
    this.#wasSilent = answer.isErr()
    return !this.#wasSilent
  }

  /**
   * Schedules a reconnection once the stopping process has ended, since a new one may run at the same address. A host
   * that lost power while stopping never closes its connection, so the process also counts as ended after its grace
   * period, which none outlives.
   */
  #checkIfStopped(now: Milliseconds): void {
    if (this.#leavingSince === null || this.#connection === null) return
    const { graceMilliseconds } = this.#context.settings
    const isOver = now >= addMilliseconds(this.#leavingSince, graceMilliseconds)
    if (!this.#connection.closed && !isOver) return
    this.#connection.close()
    this.#leavingSince = null
    this.#retryAt = addMilliseconds(now, RECONNECT_INTERVAL_MILLISECONDS)
  }

  #failed(why: string): void {
    this.#retryAt = addMilliseconds(this.#context.clock.now(), RECONNECT_INTERVAL_MILLISECONDS)
    this.#context.log.write('relay_lost', { host: this.name, why })
  }
}

function outcomeOf(error: TransportError, connection: JsonRpcConnection): RelayOutcome {
  switch (error.kind) {
    case 'connectRefused':
    case 'connectTimeout':
    case 'tooLong':
      return { kind: 'notSent' }
    case 'answerTimeout':
      return { kind: 'overdue', connection }
    case 'connectionLost':
    case 'remote':
      return { kind: 'lost', connection }
  }
}
