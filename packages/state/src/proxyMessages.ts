/**
 * The interface of the proxy's decision core: messages in, effects out, no I/O, no timers.
 * The shell around it owns sockets and bytes; it carries out each effect and reports what came of it.
 */
import type {
  BackendServerId,
  Brand,
  ClassName,
  CounterName,
  DatabaseId,
  Milliseconds,
  Refusal,
  RequestId,
  SessionId,
} from '@nutmegcourse/shared'
import type { LogPosition } from '@nutmegcourse/shared'
import type { PositionReport, RoutingSnapshot } from '@nutmegcourse/protocol'

/** One connection of this proxy to a backend server. Made up by the core, never used twice. */
export type ConnectionId = Brand<number, 'ConnectionId'>

export const connectionId = (value: number): ConnectionId => value as ConnectionId

export type ConnectFailure = 'refused' | 'timeout' | 'tooManyConnections' | 'lost'

export type ProxyMessage =
  /** The agent's newest word. An older one than the last is ignored. */
  | {
      readonly kind: 'snapshot'
      readonly snapshot: RoutingSnapshot
      /** The first over a new connection to the agent: its sequence may have begun anew. */
      readonly firstOfConnection?: boolean
    }
  /** A caller wants a statement, or the first of a transaction, to run. */
  | {
      readonly kind: 'requestArrived'
      readonly request: RequestId
      readonly session: SessionId
      /** False when no other proxy can have this session: its name was made up for one connection. */
      readonly roams: boolean
      readonly database: DatabaseId
      readonly class: ClassName
    }
  /** The caller left before its answer. */
  | { readonly kind: 'requestAbandoned'; readonly request: RequestId }
  | { readonly kind: 'connectionOpened'; readonly connection: ConnectionId }
  | {
      readonly kind: 'connectionFailed'
      readonly connection: ConnectionId
      readonly failure: ConnectFailure
    }
  /** It broke, or the backend server closed it. Sent also when a request was running on it, before `requestBroken`. */
  | { readonly kind: 'connectionClosed'; readonly connection: ConnectionId }
  /**
   * The backend server's whole answer is in. `position` is the primary's log position read behind
   * the request on the same connection; null for a replica or a failed read of it.
   */
  | {
      readonly kind: 'requestRan'
      readonly request: RequestId
      readonly position: LogPosition | null
      /** The connection stays with the caller until a later `requestRan` says false. */
      readonly transactionOpen: boolean
      /** The backend server answered with an error, so that nothing of it lasts. */
      readonly failed: boolean
      /**
       * The server refused it whole because it may not write or is stopping (25006, 57P01 to 57P03),
       * outside a transaction: nothing of it ran and the caller has none of the answer. The core
       * may run it again elsewhere, also when it is not idempotent.
       */
      readonly refusedUnrun?: boolean
    }
  /**
   * A further statement of an open transaction starts, on the connection that the caller holds. It
   * takes over `readOnly` and `holdAnswer` from the `run` that opened the transaction.
   */
  | {
      readonly kind: 'transactionContinued'
      readonly request: RequestId
      readonly connection: ConnectionId
    }
  /** The connection broke while the request ran. `partlyAnswered`: the caller has some of the answer. */
  | {
      readonly kind: 'requestBroken'
      readonly request: RequestId
      readonly partlyAnswered: boolean
    }
  | {
      readonly kind: 'positionAnswered'
      readonly server: BackendServerId
      readonly report: PositionReport
      readonly askedAt: Milliseconds
    }
  | {
      readonly kind: 'positionFailed'
      readonly server: BackendServerId
      readonly askedAt: Milliseconds
    }
  /** The caller's connection that a session was bound to is gone; its position may be forgotten. */
  | { readonly kind: 'sessionEnded'; readonly session: SessionId; readonly database: DatabaseId }
  /** SIGTERM: nothing new is taken, what runs is finished. */
  | { readonly kind: 'stop' }
  /** Time passed. Sent at `ProxyCore.nextWake`, or sooner. */
  | { readonly kind: 'tick' }

export type ProxyEffect =
  /** Sends the request on an idle open connection. Its first byte may leave from here on. */
  | {
      readonly kind: 'run'
      readonly request: RequestId
      readonly server: BackendServerId
      readonly connection: ConnectionId
      /** The connection must refuse writes while this runs. */
      readonly readOnly: boolean
      /** Hold the answer back until `acknowledge`; otherwise stream it to the caller. */
      readonly holdAnswer: boolean
    }
  /** Releases a held answer to the caller. */
  | { readonly kind: 'acknowledge'; readonly request: RequestId }
  /** The request's final answer. If it runs, its connection gets a `close` too. */
  | { readonly kind: 'refuse'; readonly request: RequestId; readonly refusal: Refusal }
  | { readonly kind: 'open'; readonly server: BackendServerId; readonly connection: ConnectionId }
  /**
   * No `connectionClosed` follows. If a request that got no `refuse` runs on it, the shell reports
   * that request broken.
   */
  | { readonly kind: 'close'; readonly connection: ConnectionId }
  /** Asks over the server's question connection; the shell keeps one question outstanding per server. */
  | { readonly kind: 'askPosition'; readonly server: BackendServerId }
  /** Tells the agent how this proxy finds a backend server. */
  | {
      readonly kind: 'reportHealth'
      readonly database: DatabaseId
      readonly server: BackendServerId
      readonly health: 'reachable' | 'unreachable'
    }
  /** Adds one to a counter. */
  | {
      readonly kind: 'count'
      readonly counter: CounterName
      readonly tags: Readonly<Record<string, string>>
    }
  /** Every request in flight is finished after a `stop`. */
  | { readonly kind: 'stopped' }

/** What `ProxyCore.explain` tells of one class, session or server, for operators. */
export interface RoutingExplanation {
  readonly question: string
  readonly lines: readonly string[]
}
