/**
 * The state of one request in the core, and of the class of work it belongs to.
 *
 * @internal
 */
import { addMilliseconds, type LogPosition, type Milliseconds } from '@nutmegcourse/shared'
import type { RequestId, SessionId } from '@nutmegcourse/shared'
import type { ClassTargets } from '@nutmegcourse/protocol'
import type { BackendServer } from './backendServer.js'
import type { Database } from './database.js'
import type { PooledConnection } from './connectionPool.js'
import type { Moment } from './positionTracker.js'
import { ReplicaShare } from './replicaShare.js'
import { ReplicaWaits } from './replicaWaits.js'
import { RetryBudget } from './retryBudget.js'

/** A class of work and its running state, which is kept when its targets change. */
export class ClassState {
  targets: ClassTargets
  readonly share = new ReplicaShare()
  readonly budget = new RetryBudget()
  readonly replicaWaits = new ReplicaWaits()
  readonly tags: Readonly<Record<string, string>>
  readonly replicaTags: Readonly<Record<string, string>>
  readonly primaryTags: Readonly<Record<string, string>>
  readonly refusedUnrunTags: Readonly<Record<string, string>>
  /** Tags with the reason why the primary served a read, by the read's turn. */
  readonly primaryReadTags: Readonly<Record<ShareTurn, Readonly<Record<string, string>>>>

  constructor(targets: ClassTargets) {
    this.targets = targets
    this.tags = { class: targets.name }
    this.replicaTags = { class: targets.name, role: 'replica' }
    this.primaryTags = { class: targets.name, role: 'primary' }
    this.refusedUnrunTags = { class: targets.name, why: 'refused_unrun' }
    const why = (reason: string) => ({ class: targets.name, why: reason })
    this.primaryReadTags = {
      undecided: why('share'),
      primary: why('share'),
      replica: why('replica_promoted'),
      replicaUnfit: why('replica_unfit'),
    }
  }
}

export type RequestPhase =
  /** A read waits for a bound, or for a server that is fresh enough. */
  | 'awaitingServer'
  /** Waits for a connection. */
  | 'queued'
  | 'running'
  /** Ran; waits until a majority holds its position. */
  | 'confirming'
  /** Holds a connection between two statements of a transaction. */
  | 'inTransaction'
  | 'finished'

/** The role that a class's replica share assigns to a read; fixed when the read is first routed. */
export type ShareTurn =
  | 'undecided'
  | 'replica'
  | 'primary'
  /** Assigned to a replica, but served by the primary because no replica qualified in time. */
  | 'replicaUnfit'

export interface ProxyRequest {
  readonly id: RequestId
  readonly session: SessionId
  readonly roams: boolean
  readonly classState: ClassState
  readonly database: Database
  readonly arrivedAt: Milliseconds
  readonly arrivedMoment: Moment
  phase: RequestPhase
  /** When the request is refused unless it has started to run. */
  deadline: Milliseconds
  /** The deadline was extended because the database had no usable primary. */
  extended: boolean
  turn: ShareTurn
  /** The primary could have served it, but it waits for a replica to catch up. */
  isWaitingForReplica: boolean
  /** The position that a server must have reached to serve this read; null until known. */
  required: LogPosition | null
  attempts: number
  /** An attempt may have had an effect, so no later refusal may state that nothing ran. */
  mayHaveRun: boolean
  /** Continues a transaction that an earlier request opened. */
  isContinued: boolean
  /** The server on which the last attempt failed. */
  avoid: BackendServer | null
  server: BackendServer | null
  connection: PooledConnection | null
  startedAt: Milliseconds
}

export type NewRequest = Pick<
  ProxyRequest,
  'id' | 'session' | 'roams' | 'classState' | 'database' | 'arrivedAt' | 'arrivedMoment'
>

export function newRequest(given: NewRequest): ProxyRequest {
  return {
    id: given.id,
    session: given.session,
    roams: given.roams,
    classState: given.classState,
    database: given.database,
    arrivedAt: given.arrivedAt,
    arrivedMoment: given.arrivedMoment,
    phase: 'awaitingServer',
    deadline: addMilliseconds(given.arrivedAt, given.classState.targets.latencyMilliseconds),
    extended: false,
    turn: 'undecided',
    isWaitingForReplica: false,
    required: null,
    attempts: 0,
    mayHaveRun: false,
    isContinued: false,
    avoid: null,
    server: null,
    connection: null,
    startedAt: given.arrivedAt,
  }
}

export const isWrite = (request: ProxyRequest): boolean =>
  request.classState.targets.access === 'write'
