/**
 * The way to one other entry host that runs statements for this one.
 *
 * @internal
 */
import { addMilliseconds, type Milliseconds } from '@nutmegcourse/shared'
import type { HostAddress } from '@nutmegcourse/protocol'
import { openJsonRpc, type JsonRpcConnection } from '@nutmegcourse/transport'
import type { HostContext } from './hostContext.js'
import type { GrantAnswer, GrantQuestion } from './limitDesk.js'
import type { NewsAnswer, NewsQuestion } from './newsMessages.js'
import { RELAY_METHODS, type AnswerMessage, type EndMessage } from './relayMessages.js'
import { SentRoutes } from './relayRoutes.js'
import type { NewsPeer } from './zoneNews.js'

/** A host of the fleet takes a connection within a round trip, past the link in tens of milliseconds. */
const CONNECT_LIMIT_MILLISECONDS = 300

/**
 * After a failure the next hosts in order are used, and this one is tried again at such intervals,
 * in the background: else each second some callers would wait for a connection that does not come.
 */
const PAUSE_MILLISECONDS = 1000

/** With answers owed and no byte for this long, the host is asked whether it lives, ... */
const QUIET_MILLISECONDS = 250
/** ... and if it does not say so within this, its connection is given up. */
const PING_LIMIT_MILLISECONDS = 250

/** The other host answers by the deadline; this is for the way back. */
const ANSWER_RESERVE_MILLISECONDS = 60

export type RelayOutcome =
  | { readonly kind: 'answered'; readonly message: Extract<AnswerMessage, { kind: 'answered' }> }
  /** Nothing was done there. */
  | { readonly kind: 'notSent' }
  | { readonly kind: 'lost' }
  | { readonly kind: 'overdue' }

export class RelayPeer implements NewsPeer {
  readonly name: string
  readonly #context: HostContext
  readonly #address: HostAddress
  #connection: JsonRpcConnection | null = null
  /** Those that the other end of the connection knows. */
  #routes = new SentRoutes()
  #opening: Promise<JsonRpcConnection | null> | null = null
  /** When to try again after a failure; null while nothing speaks against it. */
  #retryAt: Milliseconds | null = null
  /** Since when it stops, as it said; until its connection ends it still runs what it was handed. */
  #leavingSince: Milliseconds | null = null
  #owed = 0
  #isAsking = false
  #heardBytes = 0
  #heardAt = 0

  constructor(context: HostContext, name: string, address: HostAddress) {
    this.#context = context
    this.name = name
    this.#address = address
  }

  get isOwedAnswers(): boolean {
    return this.#owed > 0
  }

  isAt({ host, port }: HostAddress): boolean {
    return this.#address.host === host && this.#address.port === port
  }

  /** Whether new work may be handed to it. */
  get isUp(): boolean {
    return this.#retryAt === null && this.#leavingSince === null
  }

  /** Whether it could not be reached when it was last tried. */
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
    const { clock } = this.#context
    if (this.#owed === 0) this.#heardAt = clock.now()
    this.#owed += 1
    const limit = Math.max(1, deadline - clock.now() + ANSWER_RESERVE_MILLISECONDS)
    const answer = await connection.request<AnswerMessage>(method, params(this.#routes), limit)
    this.#owed -= 1
    if (answer.isOk()) {
      const message = answer.value
      return message.kind === 'declined' ? { kind: 'notSent' } : { kind: 'answered', message }
    }
    if (answer.error.kind === 'answerTimeout') return { kind: 'overdue' }
    return { kind: 'lost' }
  }

  askNews(question: NewsQuestion, limit: number): Promise<NewsAnswer | null> {
    return this.#question(RELAY_METHODS.news, question, limit)
  }

  askGrant(question: GrantQuestion, limit: number): Promise<GrantAnswer | null> {
    return this.#question(RELAY_METHODS.grant, question, limit)
  }

  /**
   * Null without an answer in time. Not counted as owed: no statement runs there, and the question has a time limit
   * of its own.
   */
  async #question<Answer>(
    method: string,
    question: unknown,
    limit: number,
  ): Promise<Answer | null> {
    const connection = await this.#connect()
    if (connection === null) return null
    const answer = await connection.request<Answer>(method, question, limit)
    return answer.unwrapOr(null)
  }

  /** Ends a transaction there; without the connection it ends by itself. */
  end(transaction: number): void {
    const message: EndMessage = { transaction }
    if (this.#connection?.closed === false) {
      this.#connection.notify(RELAY_METHODS.end, message)
    }
  }

  tick(now: Milliseconds): void {
    this.#noteItsEnd(now)
    if (this.#retryAt !== null && now >= this.#retryAt) void this.#connect()
    const connection = this.#connection
    if (connection === null || this.#owed === 0 || this.#isAsking) return
    const { received } = connection.traffic
    if (received !== this.#heardBytes) {
      this.#heardBytes = received
      this.#heardAt = now
    } else if (now - this.#heardAt > QUIET_MILLISECONDS) void this.#ask(connection)
  }

  close(): void {
    this.#connection?.close()
  }

  async #ask(connection: JsonRpcConnection): Promise<void> {
    this.#isAsking = true
    const answer = await connection.request(RELAY_METHODS.ping, {}, PING_LIMIT_MILLISECONDS)
    this.#isAsking = false
    this.#heardAt = this.#context.clock.now()
    if (answer.isOk()) return
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
    const opened = await openJsonRpc(host, port, handlers, CONNECT_LIMIT_MILLISECONDS)
    if (opened.isErr()) {
      this.#failed(opened.error.kind)
      return null
    }
    this.#connection = opened.value
    this.#routes = new SentRoutes()
    this.#retryAt = null
    this.#heardBytes = 0
    return opened.value
  }

  /**
   * Once its process has ended the next one may take its place. One that lost power while it stopped never
   * closes its connection, and would not be used again; no process outlives its grace.
   */
  #noteItsEnd(now: Milliseconds): void {
    if (this.#leavingSince === null || this.#connection === null) return
    const { graceMilliseconds } = this.#context.settings
    const isOver = now >= addMilliseconds(this.#leavingSince, graceMilliseconds)
    if (!this.#connection.closed && !isOver) return
    this.#connection.close()
    this.#leavingSince = null
    this.#retryAt = addMilliseconds(now, PAUSE_MILLISECONDS)
  }

  #failed(why: string): void {
    this.#retryAt = addMilliseconds(this.#context.clock.now(), PAUSE_MILLISECONDS)
    this.#context.log.write('relay_lost', { host: this.name, why })
  }
}
