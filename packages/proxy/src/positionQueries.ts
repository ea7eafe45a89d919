/**
 * Queries backend servers for their log positions, with one outstanding query per server. Its answer is
 * shared by all writes that wait for confirmation and all reads that wait for a bound.
 */
import type { ListedBackendServer, PositionReport } from '@nutmegcourse/protocol'
import type { BackendServerId, Milliseconds, RandomSource } from '@nutmegcourse/shared'
import { ControlConnection } from '@nutmegcourse/transport'
import type { ResultAsync } from 'neverthrow'
import { Backoff } from './backoff.js'
import { toLinkError, type LinkError } from './linkError.js'

export interface PositionQueryEvents {
  answered(server: BackendServerId, report: PositionReport, askedAt: Milliseconds): void
  failed(server: BackendServerId, askedAt: Milliseconds, error: LinkError): void
}

export interface PositionQueryOptions {
  readonly user: string
  readonly connectTimeoutMilliseconds: number
  readonly questionTimeoutMilliseconds: number
}

const RECONNECT_BACKOFF = { firstMilliseconds: 20, longestMilliseconds: 500 }

/** Queries one backend server over a connection of its own. */
class ServerPositionQueries {
  readonly #server: ListedBackendServer
  readonly #owner: PositionQueries
  readonly #backoff: Backoff
  #connection: ControlConnection | null = null
  #outstanding = false
  /** Whether a further query was requested during the outstanding one, whose answer may be too old for it. */
  #queryAgain = false
  #timer: NodeJS.Timeout | null = null
  #closed = false

  constructor(server: ListedBackendServer, owner: PositionQueries) {
    this.#server = server
    this.#owner = owner
    this.#backoff = new Backoff(RECONNECT_BACKOFF, owner.random)
  }

  hasAddressOf(server: ListedBackendServer): boolean {
    return this.#server.address === server.address && this.#server.port === server.port
  }

  query(): void {
    if (this.#outstanding) {
      this.#queryAgain = true
      return
    }
    this.#outstanding = true
    this.#send()
  }

  close(): void {
    this.#closed = true
    if (this.#timer !== null) clearTimeout(this.#timer)
    this.#connection?.close()
  }

  #send(): void {
    const askedAt = this.#owner.now()
    void this.#readPosition().match(
      report => {
        this.#backoff.reset()
        if (!this.#closed) this.#owner.events.answered(this.#server.id, report, askedAt)
        this.#finish()
      },
      error => {
        if (this.#closed) return
        this.#owner.events.failed(this.#server.id, askedAt, error)
        this.#finishAfterDelay()
      },
    )
  }

  #readPosition(): ResultAsync<PositionReport, LinkError> {
    const { options } = this.#owner
    const connection = this.#connection
    if (connection !== null && !connection.closed) {
      return connection.position(options.questionTimeoutMilliseconds).mapErr(toLinkError)
    }
    const { address, port, database } = this.#server
    return ControlConnection.open(
      { address, port, database, user: options.user },
      options.connectTimeoutMilliseconds,
    )
      .andThen(opened => {
        this.#connection = opened
        if (this.#closed) opened.close()
        return opened.position(options.questionTimeoutMilliseconds)
      })
      .mapErr(toLinkError)
  }

  #finish(): void {
    this.#outstanding = false
    if (!this.#queryAgain || this.#closed) return
    this.#queryAgain = false
    this.query()
  }

  /** Delays the next query, so that a server that refuses immediately is not queried in a busy loop. */
  #finishAfterDelay(): void {
    this.#timer = setTimeout(() => {
      this.#timer = null
      this.#finish()
    }, this.#backoff.nextDelayMilliseconds())
  }
}

export class PositionQueries {
  readonly options: PositionQueryOptions
  readonly events: PositionQueryEvents
  readonly random: RandomSource
  readonly now: () => Milliseconds
  readonly #servers = new Map<BackendServerId, ServerPositionQueries>()

  constructor(
    options: PositionQueryOptions,
    events: PositionQueryEvents,
    random: RandomSource,
    now: () => Milliseconds,
  ) {
    this.options = options
    this.events = events
    this.random = random
    this.now = now
  }

  query(server: ListedBackendServer): void {
    let queries = this.#servers.get(server.id)
    if (queries?.hasAddressOf(server) === false) {
      queries.close()
      queries = undefined
    }
    if (queries === undefined) {
      queries = new ServerPositionQueries(server, this)
      this.#servers.set(server.id, queries)
    }
    queries.query()
  }

  /** Closes the connections to servers that are no longer listed. */
  closeUnlisted(isListed: (server: BackendServerId) => boolean): void {
    for (const [id, queries] of this.#servers) {
      if (isListed(id)) continue
      queries.close()
      this.#servers.delete(id)
    }
  }

  close(): void {
    this.closeUnlisted(() => false)
  }
}
