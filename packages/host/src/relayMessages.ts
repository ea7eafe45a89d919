/**
 * What hosts tell each other about statements that one runs for another: JSON-RPC over TCP.
 *
 * @internal
 */
import type { CustomerName, LogPosition, Milliseconds } from '@nutmegcourse/shared'
import { addMilliseconds, logPosition } from '@nutmegcourse/shared'
import { statementId, type CallerAnswer, type Route } from '@nutmegcourse/protocol'
import { SessionValues, type PreparedStatement } from '@nutmegcourse/state'
import type { RouteMessage, SentRoutes } from './relayRoutes.js'
import type { RemoteStatement } from './attempt.js'
import type { ServiceDesk } from './serviceDesk.js'
import { StatementTiming, type SessionState, type StatementRequest } from './statements.js'

export const RELAY_METHODS = {
  single: 'single',
  begin: 'begin',
  continue: 'continue',
  end: 'end',
  ping: 'ping',
  /** One operation under a customer's limit. */
  grant: 'grant',
  /** Changes of the store, for a host that follows it through this one. */
  news: 'news',
  /** From the host that runs statements: it stops, and takes nothing new. */
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
  /** Empty where the body says it all. */
  readonly text: string
  readonly body: RemoteStatement['body']
  readonly isWrite: boolean
  /** The session's values. */
  readonly values: readonly (readonly [string, string])[]
  /** The definition of the prepared statement that is executed. */
  readonly prepared: PreparedStatement | null
  readonly own: PositionMessage | null
  /** What is left of the statement's time, in milliseconds: clocks of hosts are never compared. */
  readonly remaining: number
}

export interface BeginMessage {
  readonly request: RequestMessage
  readonly readOnly: boolean
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
      /** Why it was refused, in one word. */
      readonly reason?: string
      /** The session's own position afterwards. */
      readonly own: PositionMessage | null
      /** The transaction that goes on at this host. */
      readonly transaction: number | null
    }
  /** Nothing was done: the host stops, or does not know the service or the transaction. */
  | { readonly kind: 'declined' }

export function writeRequest(
  request: StatementRequest,
  routes: SentRoutes,
  now: Milliseconds,
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
    remaining: deadline - now,
  }
}

export function readRequest(
  message: RequestMessage,
  route: Route,
  desk: ServiceDesk,
  now: Milliseconds,
): StatementRequest {
  const values = new SessionValues()
  for (const [name, value] of message.values) values.values.set(name, value)
  if (message.body.kind === 'execute' && message.prepared !== null) {
    values.prepared.set(message.body.name, message.prepared)
  }
  const session: SessionState = { values, ownPosition: readPosition(message.own) }
  return {
    desk,
    route,
    customer: message.customer,
    session,
    statement: { id: statementId(message.id), text: message.text, body: message.body },
    isWrite: message.isWrite,
    arrivedAt: now,
    deadline: addMilliseconds(now, message.remaining),
    timing: new StatementTiming(),
  }
}

export const readPosition = (message: PositionMessage | null): LogPosition | null =>
  message === null ? null : logPosition(message.term, message.offset)
