/**
 * Messages between entry hosts about statements that one runs on behalf of another (JSON-RPC over TCP).
 *
 * @internal
 */
import type { CustomerName, LogPosition, Milliseconds } from '@nutmegcourse/shared'
import { addMilliseconds, logPosition } from '@nutmegcourse/shared'
import { statementId, type CallerAnswer, type Route } from '@nutmegcourse/protocol'
import { SessionValues, type PreparedStatement } from '@nutmegcourse/state'
import type { RouteMessage, SentRoutes } from './relayRoutes.js'
import type { RemoteStatement } from './attempt.js'
import type { ServiceState } from './serviceState.js'
import { StatementTiming, type SessionState, type StatementRequest } from './statements.js'

export const RELAY_METHODS = {
  single: 'single',
  begin: 'begin',
  continue: 'continue',
  end: 'end',
  ping: 'ping',
  /** Requests one operation under a customer's limit. */
  grant: 'grant',
  /** Orders a server, during a change of primary, on behalf of a host that does not reach it. */
  order: 'order',
  /** Requests what the host has seen of the logs of a service's replicas. */
  received: 'received',
  /** Requests changes of the store from a host of the zone that follows the store. */
  news: 'news',
  /** Notification by the host that runs statements: it is stopping and accepts no new ones. */
  leaving: 'leaving',
} as const

interface PositionMessage {
  readonly term: number
  readonly offset: number
}

export interface RequestMessage {
  readonly route: RouteMessage
  readonly customer: CustomerName | null
  readonly id: string
  /** Empty where the body contains everything. */
  readonly text: string
  readonly body: RemoteStatement['body']
  readonly isWrite: boolean
  /** The session's values. */
  readonly values: readonly (readonly [string, string])[]
  /** The definition of the prepared statement to execute. */
  readonly prepared: PreparedStatement | null
  readonly own: PositionMessage | null
  /** No other host is left to ask: the request is not to be declined because of servers out of reach. */
  readonly isFinal?: true
  /** Milliseconds until the statement's deadline. Relative, because clocks of hosts are never compared. */
  readonly remaining: number
}

export interface BeginMessage {
  readonly request: RequestMessage
  readonly readOnly: boolean
  /**
   * The identifier of the transaction, so that the asking host can end it without having received an answer. Where a
   * host does not send one, the answering host numbers the transactions of the connection from 1.
   */
  readonly transaction?: number
}

export interface ContinueMessage {
  readonly request: RequestMessage
  readonly transaction: number
}

export interface EndMessage {
  readonly transaction: number
}

export type AnswerMessage =
  | {
      readonly kind: 'answered'
      readonly answer: CallerAnswer
      readonly position: PositionMessage | null
      /** The cause of a refusal as one word. */
      readonly reason?: string
      /** The position of the session's last acknowledged write afterwards. */
      readonly own: PositionMessage | null
      /** The identifier of the transaction that stays open at the answering host. */
      readonly transaction: number | null
    }
  /**
   * Nothing was run: the host is stopping, does not reach the primary, or does not know the service, the route or the
   * transaction.
   */
  | {
      readonly kind: 'declined'
      /** No server of the region can serve the read in time; the primary's dispatcher is to be asked. */
      readonly isRedirected?: true
    }

export function writeRequest(
  request: StatementRequest,
  routes: SentRoutes,
  now: Milliseconds,
  isFinal = false,
): RequestMessage {
  const { route, customer, statement, session, isWrite, deadline } = request
  const { id, text, body } = statement
  const prepared = body.kind === 'execute' ? session.values.prepared.get(body.name) : undefined
  return {
    route: routes.write(route),
    customer,
    id,
    text: body.kind === 'execute' ? '' : text,
    body,
    isWrite,
    values: [...session.values.values],
    prepared: prepared ?? null,
    own: session.ownPosition,
    ...(isFinal ? { isFinal } : {}),
    remaining: deadline - now,
  }
}

export function readRequest(
  message: RequestMessage,
  route: Route,
  service: ServiceState,
  now: Milliseconds,
): StatementRequest {
  const { body, prepared } = message
  const isPrepared = body.kind === 'execute' && prepared !== null
  const session: SessionState = {
    values: new SessionValues(
      new Map(message.values),
      new Map(isPrepared ? [[body.name, prepared]] : []),
    ),
    ownPosition: readPosition(message.own),
  }
  return {
    service,
    route,
    customer: message.customer,
    session,
    statement: { id: statementId(message.id), text: message.text, body },
    isWrite: message.isWrite,
    arrivedAt: now,
    deadline: addMilliseconds(now, message.remaining),
    timing: new StatementTiming(),
  }
}

export const readPosition = (message: PositionMessage | null): LogPosition | null =>
  message === null ? null : logPosition(message.term, message.offset)
