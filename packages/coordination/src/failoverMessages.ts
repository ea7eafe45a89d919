/**
 * The interface of the failover machine, one per watched database: messages in, effects out.
 * The agent executes each effect and reports its result; any answer may be lost or late.
 */
import type {
  AttemptId,
  AvailabilityZoneId,
  BackendServerId,
  Brand,
  DatabaseId,
  EntryHostId,
  Milliseconds,
  RegionId,
  Term,
} from '@nutmegcourse/shared'
import type { GroupRecord, ListedBackendServer, PositionReport } from '@nutmegcourse/protocol'

/** Matches an answer to the effect that requested it; answers to earlier attempts are ignored. */
export type CallId = Brand<number, 'CallId'>

export const callId = (value: number): CallId => value as CallId

export interface Watcher {
  readonly entryHost: EntryHostId
  readonly zone: AvailabilityZoneId
  readonly region: RegionId
}

/** Whether one watcher suspects the primary; the newest opinion of each watcher counts. */
export interface WatcherOpinion {
  readonly database: DatabaseId
  readonly watcher: EntryHostId
  readonly zone: AvailabilityZoneId
  readonly region: RegionId
  readonly about: BackendServerId
  /** The term that the watcher believes `about` to lead. */
  readonly term: Term
  readonly suspected: boolean
  /** Orders one watcher's opinions. */
  readonly sequence: number
}

export type ControlFailure =
  /** The server refused the connection; the call did not run. */
  | 'refused'
  /** No answer, or the connection broke; the call may have run. */
  | 'timeout'
  | 'lost'
  /** The server is fenced at a newer term. */
  | 'staleTerm'

export type StoreOutcome =
  | { readonly kind: 'read'; readonly record: GroupRecord | null; readonly revision: number }
  | { readonly kind: 'swapped'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly record: GroupRecord | null; readonly revision: number }
  /** The call failed or its answer is lost; a swap may have taken effect. */
  | { readonly kind: 'failed' }

export type FailoverMessage =
  /** A record received from the store or another agent; ignored unless newer than the known one. */
  | { readonly kind: 'record'; readonly record: GroupRecord; readonly revision: number }
  /** The group's servers in the host list; servers drained by operators have state `leaving`. */
  | { readonly kind: 'backendServers'; readonly servers: readonly ListedBackendServer[] }
  /** The watchers of this database, in the order in which they try to coordinate. */
  | { readonly kind: 'watchers'; readonly watchers: readonly Watcher[] }
  | { readonly kind: 'opinion'; readonly opinion: WatcherOpinion }
  /** The live entry hosts, whose proxies may send writes. */
  | { readonly kind: 'writers'; readonly hosts: readonly EntryHostId[] }
  /** The proxies of a host hold their writes for a planned move and have none in flight. */
  | { readonly kind: 'writesHeld'; readonly host: EntryHostId; readonly attempt: AttemptId }
  | {
      readonly kind: 'positionAnswered'
      readonly server: BackendServerId
      readonly report: PositionReport
      readonly askedAt: Milliseconds
    }
  | {
      readonly kind: 'positionFailed'
      readonly server: BackendServerId
      readonly failure: ControlFailure
      readonly askedAt: Milliseconds
    }
  | { readonly kind: 'controlAnswered'; readonly call: CallId; readonly report: PositionReport }
  | { readonly kind: 'controlFailed'; readonly call: CallId; readonly failure: ControlFailure }
  | { readonly kind: 'storeAnswered'; readonly call: CallId; readonly outcome: StoreOutcome }
  | { readonly kind: 'tick' }

export type FailoverEffect =
  | {
      readonly kind: 'askPosition'
      readonly server: BackendServerId
      readonly timeoutMilliseconds: number
    }
  | {
      readonly kind: 'fence'
      readonly call: CallId
      readonly server: BackendServerId
      readonly term: Term
      readonly timeoutMilliseconds: number
    }
  | {
      readonly kind: 'promote'
      readonly call: CallId
      readonly server: BackendServerId
      readonly term: Term
      readonly timeoutMilliseconds: number
    }
  | {
      readonly kind: 'follow'
      readonly call: CallId
      readonly server: BackendServerId
      readonly term: Term
      readonly primary: BackendServerId
      readonly timeoutMilliseconds: number
    }
  | { readonly kind: 'readRecord'; readonly call: CallId; readonly timeoutMilliseconds: number }
  | {
      readonly kind: 'swapRecord'
      readonly call: CallId
      readonly expectedRevision: number
      readonly record: GroupRecord
      readonly timeoutMilliseconds: number
    }
  /** Sends the opinion to the other watchers at once. */
  | { readonly kind: 'tellWatchers'; readonly opinion: WatcherOpinion }
  /** Sends a record to proxies and agents at once. */
  | { readonly kind: 'announce'; readonly record: GroupRecord; readonly revision: number }
  /** A step of a change of primary, shown by `nutmegcoursectl explain` and written to the log. */
  | { readonly kind: 'event'; readonly event: FailoverEvent }

export interface FailoverEvent {
  readonly at: Milliseconds
  readonly database: DatabaseId
  readonly step:
    | 'suspected'
    | 'agreed'
    | 'termTaken'
    | 'fenced'
    | 'chosen'
    | 'promoted'
    | 'completed'
    | 'moveStarted'
    | 'moveAbandoned'
    /** A move goes on though not every host has confirmed that it holds its writes. */
    | 'moveUnconfirmed'
    | 'abandoned'
  readonly term: Term
  readonly detail: string
}
