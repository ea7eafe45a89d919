/** A connection that queries a backend server's log position and orders changes of its role. */
import pg from 'pg'
import { ResultAsync, errAsync, okAsync } from 'neverthrow'
import {
  POSITION_STATEMENT,
  STALE_TERM_SQL_STATE,
  fenceStatement,
  followStatement,
  promoteStatement,
  readPositionReport,
  type PositionReport,
} from '@nutmegcourse/protocol'
import type { Term } from '@nutmegcourse/shared'

import type { TransportError } from './transportError.js'

const { Client, DatabaseError } = pg
type Client = pg.Client

/** Code of the `remote` error when the server is fenced at a newer term. */
export const STALE_TERM_CODE = 1
/** Code of the `remote` error for every other refusal by a backend server. */
export const SERVER_ERROR_CODE = 2

export interface ControlConnectionOptions {
  readonly address: string
  readonly port: number
  readonly database: string
  readonly user: string
}

/** Sends one statement at a time; further statements are queued in order. */
export class ControlConnection {
  readonly #client: Client
  #closed = false

  private constructor(client: Client) {
    this.#client = client
    client.on('error', () => {
      this.#closed = true
    })
    client.on('end', () => {
      this.#closed = true
    })
  }

  static open(
    options: ControlConnectionOptions,
    connectTimeoutMilliseconds: number,
  ): ResultAsync<ControlConnection, TransportError> {
    const client = new Client({
      host: options.address,
      port: options.port,
      database: options.database,
      user: options.user,
      connectionTimeoutMillis: connectTimeoutMilliseconds,
      application_name: 'nutmegcourse-control',
    })
    const connection = new ControlConnection(client)
    return ResultAsync.fromPromise(client.connect(), describeOpenError).map(() => connection)
  }

  get closed(): boolean {
    return this.#closed
  }

  /** Calls `listener` once when either side closes the connection. */
  onClose(listener: () => void): void {
    this.#client.once('end', listener)
  }

  position(timeoutMilliseconds: number): ResultAsync<PositionReport, TransportError> {
    return this.#query(POSITION_STATEMENT, timeoutMilliseconds)
  }

  fence(term: Term, timeoutMilliseconds: number): ResultAsync<PositionReport, TransportError> {
    return this.#query(fenceStatement(term), timeoutMilliseconds)
  }

  promote(term: Term, timeoutMilliseconds: number): ResultAsync<PositionReport, TransportError> {
    return this.#query(promoteStatement(term), timeoutMilliseconds)
  }

  follow(
    term: Term,
    address: string,
    port: number,
    timeoutMilliseconds: number,
  ): ResultAsync<PositionReport, TransportError> {
    return this.#query(followStatement(term, address, port), timeoutMilliseconds)
  }

  close(): void {
    this.#closed = true
    this.#client.end().catch(() => undefined)
  }

  /** Closes the connection on a time-out, so that a late answer is never matched to a later statement. */
  #query(
    statement: string,
    timeoutMilliseconds: number,
  ): ResultAsync<PositionReport, TransportError> {
    const answer = this.#client.query<(string | null)[]>({ text: statement, rowMode: 'array' })
    return ResultAsync.fromPromise(withTimeout(answer, timeoutMilliseconds), error =>
      this.#describeError(error),
    ).andThen(result => {
      const report = readPositionReport((result.rows[0] ?? []).map(toText))
      if (report !== null) return okAsync(report)
      return errAsync<PositionReport, TransportError>({
        kind: 'remote',
        code: SERVER_ERROR_CODE,
        detail: 'unreadable position',
      })
    })
  }

  #describeError(error: unknown): TransportError {
    const detail = error instanceof Error ? error.message : String(error)
    if (error instanceof DatabaseError) {
      const code = error.code === STALE_TERM_SQL_STATE ? STALE_TERM_CODE : SERVER_ERROR_CODE
      return { kind: 'remote', code, detail }
    }
    const lost = this.#closed
    this.close()
    return { kind: lost ? 'connectionLost' : 'answerTimeout', detail }
  }
}

/** Matches pg's error message for a connection attempt that timed out. */
const CONNECT_TIMEOUT_MESSAGE = /timeout/i

/**
 * Except for time-outs, treats every attempt that ended without a message from the server as refused,
 * since no statement was sent yet: behind a relay or a load balancer, a connection to a dead process
 * is accepted and then closed instead of refused. An error sent by the server itself proves that it
 * is alive.
 */
function describeOpenError(error: unknown): TransportError {
  const detail = error instanceof Error ? error.message : String(error)
  if (error instanceof DatabaseError) return { kind: 'remote', code: SERVER_ERROR_CODE, detail }
  const kind = CONNECT_TIMEOUT_MESSAGE.test(detail) ? 'connectTimeout' : 'connectRefused'
  return { kind, detail }
}

/** pg parses values of numeric column types to numbers and leaves others as text. */
function toText(value: unknown): string | null {
  if (typeof value === 'string') return value
  return typeof value === 'number' || typeof value === 'bigint' ? String(value) : null
}

/**
 * After a stall of this process its timers run before its sockets are read. The limit takes effect
 * only once they were, so that an answer that arrived during the stall counts.
 */
function withTimeout<Value>(promise: Promise<Value>, timeoutMilliseconds: number): Promise<Value> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      setImmediate(() => {
        reject(new Error('no answer in time'))
      })
    }, timeoutMilliseconds)
    promise.then(resolve, reject).finally(() => {
      clearTimeout(timer)
    })
  })
}
