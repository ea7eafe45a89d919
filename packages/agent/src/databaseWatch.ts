/**
 * Watches one database: runs its failover state machine, executes the effects and feeds back the results.
 * Owns the control connections to the database's backend servers.
 */
import type {
  ControlFailure,
  FailoverEffect,
  FailoverEvent,
  FailoverMachine,
  FailoverMessage,
  WatcherOpinion,
} from '@nutmegcourse/coordination'
import type { GroupRecord, ListedBackendServer, PositionReport } from '@nutmegcourse/protocol'
import {
  assertNever,
  type BackendServerId,
  type Clock,
  type DatabaseId,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type { ResultAsync } from 'neverthrow'
import type { GroupRecordStore } from './groupRecordStore.js'
import { ServerLink } from './serverLink.js'

/** Events that a watch reports to the agent. */
export interface DatabaseWatchListener {
  opinionFormed(opinion: WatcherOpinion): void
  recordAnnounced(record: GroupRecord, revision: number): void
  eventHappened(event: FailoverEvent): void
}

export interface DatabaseWatchOptions {
  readonly database: DatabaseId
  readonly machine: FailoverMachine
  readonly records: GroupRecordStore
  readonly clock: Clock
  readonly backendUser: string
  readonly listener: DatabaseWatchListener
}

type ControlEffect = Extract<FailoverEffect, { kind: 'fence' | 'promote' | 'follow' }>

/** Node timers may fire up to a millisecond early; added so that a tick is never early. */
const TIMER_SLACK_MILLISECONDS = 1

export class DatabaseWatch {
  readonly #options: DatabaseWatchOptions
  readonly #links = new Map<BackendServerId, ServerLink>()
  #timer: NodeJS.Timeout | undefined
  #closed = false

  constructor(options: DatabaseWatchOptions) {
    this.#options = options
  }

  get events(): readonly FailoverEvent[] {
    return this.#options.machine.events()
  }

  /** Number of watched servers. */
  get serverCount(): number {
    return this.#links.size
  }

  receive(message: FailoverMessage): void {
    if (this.#closed) return
    if (message.kind === 'backendServers') this.#updateLinks(message.servers)
    for (const effect of this.#options.machine.handle(message, this.#now())) this.#execute(effect)
    this.#scheduleWake()
  }

  close(): void {
    this.#closed = true
    clearTimeout(this.#timer)
    for (const link of this.#links.values()) link.close()
    this.#links.clear()
  }

  #now(): Milliseconds {
    return this.#options.clock.now()
  }

  #scheduleWake(): void {
    clearTimeout(this.#timer)
    const now = this.#now()
    const wake = this.#options.machine.nextWake(now)
    if (wake === null || this.#closed) return
    const wait = Math.max(0, Math.ceil(wake - now)) + TIMER_SLACK_MILLISECONDS
    this.#timer = setTimeout(() => {
      this.#tickAfterSockets()
    }, wait)
  }

  /**
   * After a stall of this process its timers run before its sockets are read. The tick waits until they
   * were, so that a server whose answer arrived during the stall is not taken for silent.
   */
  #tickAfterSockets(): void {
    setImmediate(() => {
      this.receive({ kind: 'tick' })
    })
  }

  #updateLinks(servers: readonly ListedBackendServer[]): void {
    const listed = new Map(servers.map(server => [server.id, server]))
    for (const [id, link] of this.#links) {
      const server = listed.get(id)
      if (server !== undefined && isSameEndpoint(server, link.server)) continue
      link.close()
      this.#links.delete(id)
    }
    for (const server of servers) {
      if (this.#links.has(server.id)) continue
      const link = new ServerLink(server, this.#options.backendUser, () => {
        this.#connectionLost(server.id)
      })
      this.#links.set(server.id, link)
    }
  }

  /**
   * A process that dies closes its connections at once. On this message the state machine queries again
   * immediately and is refused, up to one watch interval before its next regular query would fail.
   */
  #connectionLost(server: BackendServerId): void {
    this.receive({ kind: 'positionFailed', server, failure: 'lost', askedAt: this.#now() })
  }

  #execute(effect: FailoverEffect): void {
    const { listener, records, database } = this.#options
    switch (effect.kind) {
      case 'askPosition':
        this.#queryPosition(effect.server, effect.timeoutMilliseconds)
        return
      case 'fence':
      case 'promote':
      case 'follow':
        this.#control(effect)
        return
      case 'readRecord':
        void records.read(database, effect.timeoutMilliseconds).then(outcome => {
          this.receive({ kind: 'storeAnswered', call: effect.call, outcome })
        })
        return
      case 'swapRecord':
        void records
          .swap(effect.record, effect.expectedRevision, effect.timeoutMilliseconds)
          .then(outcome => {
            this.receive({ kind: 'storeAnswered', call: effect.call, outcome })
          })
        return
      case 'tellWatchers':
        listener.opinionFormed(effect.opinion)
        return
      case 'announce':
        listener.recordAnnounced(effect.record, effect.revision)
        return
      case 'event':
        listener.eventHappened(effect.event)
        return
      default:
        assertNever(effect)
    }
  }

  #queryPosition(server: BackendServerId, timeoutMilliseconds: number): void {
    const askedAt = this.#now()
    const link = this.#links.get(server)
    if (link === undefined) {
      // Answered asynchronously, as by a server: a synchronous answer would trigger the next query at once.
      setImmediate(() => {
        this.receive({ kind: 'positionFailed', server, failure: 'lost', askedAt })
      })
      return
    }
    const answered = (report: PositionReport): void => {
      this.receive({ kind: 'positionAnswered', server, report, askedAt })
    }
    void link.position(timeoutMilliseconds, answered).match(answered, failure => {
      this.receive({ kind: 'positionFailed', server, failure, askedAt })
    })
  }

  #control(effect: ControlEffect): void {
    const { call } = effect
    const answer = this.#send(effect)
    if (answer === null) {
      setImmediate(() => {
        this.receive({ kind: 'controlFailed', call, failure: 'lost' })
      })
      return
    }
    void answer.match(
      report => {
        this.receive({ kind: 'controlAnswered', call, report })
      },
      failure => {
        this.receive({ kind: 'controlFailed', call, failure })
      },
    )
  }

  /** Null when a server that the effect names is no longer listed. */
  #send(effect: ControlEffect): ResultAsync<PositionReport, ControlFailure> | null {
    const link = this.#links.get(effect.server)
    if (link === undefined) return null
    switch (effect.kind) {
      case 'fence':
        return link.fence(effect.term, effect.timeoutMilliseconds)
      case 'promote':
        return link.promote(effect.term, effect.timeoutMilliseconds)
      case 'follow': {
        const primary = this.#links.get(effect.primary)?.server
        if (primary === undefined) return null
        return link.follow(effect.term, primary, effect.timeoutMilliseconds)
      }
      default:
        return assertNever(effect)
    }
  }
}

function isSameEndpoint(left: ListedBackendServer, right: ListedBackendServer): boolean {
  return left.address === right.address && left.port === right.port
}
