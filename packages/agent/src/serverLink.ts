/**
 * The only control connection of this agent to a watched backend server. Connections are scarce and
 * opening one takes tens of milliseconds, so it stays open. After a loss the next query reopens it and
 * waits for it up to the query's own timeout; opening continues in the background after that.
 */
import { errAsync, type ResultAsync } from 'neverthrow'
import type { ListedBackendServer, PositionReport } from '@nutmegcourse/protocol'
import { ControlConnection, STALE_TERM_CODE, type TransportError } from '@nutmegcourse/transport'
import type { ControlFailure } from '@nutmegcourse/coordination'
import { assertNever, type Term } from '@nutmegcourse/shared'
import { withTimeout } from './withTimeout.js'

const CONNECT_TIMEOUT_MILLISECONDS = 2000

type Query = (connection: ControlConnection) => ResultAsync<PositionReport, TransportError>

export class ServerLink {
  readonly #server: ListedBackendServer
  readonly #user: string
  readonly #onLost: () => void
  #opening: ResultAsync<ControlConnection, TransportError> | null = null
  #connection: ControlConnection | null = null
  #pendingQueries = 0
  #closed = false

  /** `onLost` is called when an open connection breaks while no query is pending. */
  constructor(server: ListedBackendServer, user: string, onLost: () => void) {
    this.#server = server
    this.#user = user
    this.#onLost = onLost
  }

  get server(): ListedBackendServer {
    return this.#server
  }

  /** `onLateReport` is called if the answer arrives after the time limit was reported. */
  position(
    timeoutMilliseconds: number,
    onLateReport: (report: PositionReport) => void,
  ): ResultAsync<PositionReport, ControlFailure> {
    const reportUnlessClosed = (report: PositionReport): void => {
      if (!this.#closed) onLateReport(report)
    }
    return this.#run(
      connection => connection.position(timeoutMilliseconds, reportUnlessClosed),
      timeoutMilliseconds,
    )
  }

  fence(term: Term, timeoutMilliseconds: number): ResultAsync<PositionReport, ControlFailure> {
    return this.#run(connection => connection.fence(term, timeoutMilliseconds), timeoutMilliseconds)
  }

  promote(term: Term, timeoutMilliseconds: number): ResultAsync<PositionReport, ControlFailure> {
    return this.#run(
      connection => connection.promote(term, timeoutMilliseconds),
      timeoutMilliseconds,
    )
  }

  follow(
    term: Term,
    primary: ListedBackendServer,
    timeoutMilliseconds: number,
  ): ResultAsync<PositionReport, ControlFailure> {
    return this.#run(
      connection => connection.follow(term, primary.address, primary.port, timeoutMilliseconds),
      timeoutMilliseconds,
    )
  }

  close(): void {
    this.#closed = true
    this.#connection?.close()
  }

  #run(query: Query, timeoutMilliseconds: number): ResultAsync<PositionReport, ControlFailure> {
    this.#pendingQueries += 1
    return this.#usableConnection(timeoutMilliseconds)
      .andThen(query)
      .map(report => {
        this.#pendingQueries -= 1
        return report
      })
      .mapErr(error => {
        this.#pendingQueries -= 1
        if (this.#connection?.closed === true) this.#discardConnection()
        return toControlFailure(error)
      })
  }

  #usableConnection(timeoutMilliseconds: number): ResultAsync<ControlConnection, TransportError> {
    if (this.#closed) return errAsync({ kind: 'connectionLost', detail: 'link closed' })
    if (this.#connection?.closed === true) this.#discardConnection()
    this.#opening ??= this.#open()
    return withTimeout(this.#opening, timeoutMilliseconds, {
      kind: 'connectTimeout',
      detail: this.#server.id,
    })
  }

  #open(): ResultAsync<ControlConnection, TransportError> {
    const { address, port, database } = this.#server
    const endpoint = { address, port, database, user: this.#user }
    return ControlConnection.open(endpoint, CONNECT_TIMEOUT_MILLISECONDS)
      .map(connection => {
        this.#connection = connection
        connection.onClose(() => {
          const isInUse = !this.#closed && this.#connection === connection
          if (isInUse && this.#pendingQueries === 0) this.#onLost()
        })
        if (this.#closed) connection.close()
        return connection
      })
      .mapErr(error => {
        this.#discardConnection()
        return error
      })
  }

  #discardConnection(): void {
    this.#connection = null
    this.#opening = null
  }
}

function toControlFailure(error: TransportError): ControlFailure {
  switch (error.kind) {
    case 'connectRefused':
      return 'refused'
    case 'connectTimeout':
    case 'answerTimeout':
      return 'timeout'
    case 'connectionLost':
    case 'tooLong':
      return 'lost'
    case 'remote':
      return error.code === STALE_TERM_CODE ? 'staleTerm' : 'lost'
    default:
      return assertNever(error)
  }
}
