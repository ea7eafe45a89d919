/** A connection that queries a backend server's log position and orders changes of its role. */
import pg from 'pg'
import { ResultAsync, errAsync, okAsync } from 'neverthrow'
import {
  POSITION_STATEMENT,
  STALE_TERM_SQL_STATE,
  fenceStatement,
  followStatement,
  numberedStatement,
  promoteStatement,
  readPositionReport,
  readStatementNumber,
  type PositionReport,
} from '@nutmegcourse/protocol'
import type { Term } from '@nutmegcourse/shared'

import { startReadTimeout } from './readTimeout.js'
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

/**
 * How long an answer that missed its time limit is still awaited. It shows that the server and the
 * link work again sooner than a new connection could.
 */
const LATE_ANSWER_MILLISECONDS = 1000

type Answer = pg.QueryArrayResult<unknown[]>
type LateReportListener = (report: PositionReport) => void

class TimeLimitExceeded extends Error {}

/** An answer that does not repeat the number of the statement that waits for it. */
class UnfitAnswer extends Error {}

/** Sends one statement at a time; further statements are queued in order. */
export class ControlConnection {
  readonly #client: Client
  #pendingStatements = 0
  #lastNumber = 0
  /** Settles once the last statement has been answered or has failed. */
  #idle: Promise<unknown> = Promise.resolve()
  #closed = false

  private constructor(client: Client) {
    this.#client = client
    client.on('error', () => {
      this.close()
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

  /** `onLateReport` is called if the answer arrives after the time limit was reported. */
  position(
    timeoutMilliseconds: number,
    onLateReport: LateReportListener | null = null,
  ): ResultAsync<PositionReport, TransportError> {
    return this.#query(POSITION_STATEMENT, timeoutMilliseconds, onLateReport)
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

  /** After a time-out no further statement is sent, so that a late answer is never matched to one. */
  #query(
    statement: string,
    timeoutMilliseconds: number,
    onLateReport: LateReportListener | null = null,
  ): ResultAsync<PositionReport, TransportError> {
    this.#pendingStatements += 1
    const answer = this.#idle
      .then(() => this.#run(statement))
      .finally(() => {
        this.#pendingStatements -= 1
      })
    // Its failure is reported to its caller.
    this.#idle = answer.catch(() => undefined)
    return ResultAsync.fromPromise(withTimeout(answer, timeoutMilliseconds), error =>
      this.#describeError(error, answer, onLateReport),
    ).andThen(report => {
      if (report !== null) return okAsync(report)
      return errAsync<PositionReport, TransportError>({
        kind: 'remote',
        code: SERVER_ERROR_CODE,
        detail: 'unreadable position',
      })
    })
  }

  /**
   * Closes the connection when the answer is an error, which has no number: a repeated one would be taken for the answer
   * to the next statement.
   */
  async #run(statement: string): Promise<PositionReport | null> {
    this.#lastNumber += 1
    const number = String(this.#lastNumber)
    const text = numberedStatement(statement, this.#lastNumber)
    if (this.#closed) throw new Error('connection closed')
    try {
      const row = rowOf(await this.#client.query<unknown[]>({ text, rowMode: 'array' }))
      const repeated = readStatementNumber(row)
      if (repeated === number) return readPositionReport(row)
      throw new UnfitAnswer(`the answer has the number ${repeated ?? 'null'}, expected ${number}`)
    } catch (error) {
      this.close()
      throw error
    }
  }

  #describeError(
    error: unknown,
    answer: Promise<PositionReport | null>,
    onLateReport: LateReportListener | null,
  ): TransportError {
    const detail = error instanceof Error ? error.message : String(error)
    if (error instanceof DatabaseError) {
      const code = error.code === STALE_TERM_SQL_STATE ? STALE_TERM_CODE : SERVER_ERROR_CODE
      return { kind: 'remote', code, detail }
    }
    const isLate = error instanceof TimeLimitExceeded && !this.#closed
    // Statements queued behind the late one fail at once only if the connection is closed.
    if (isLate && onLateReport !== null && this.#pendingStatements === 1) {
      this.#awaitLateAnswer(answer, onLateReport)
    } else {
      this.close()
    }
    return { kind: isLate ? 'answerTimeout' : 'connectionLost', detail }
  }

  #awaitLateAnswer(answer: Promise<PositionReport | null>, onLateReport: LateReportListener): void {
    this.#closed = true
    const timer = setTimeout(() => {
      this.close()
    }, LATE_ANSWER_MILLISECONDS)
    answer
      .then(
        report => {
          if (report !== null) onLateReport(report)
        },
        // The caller has already received the time-out.
        () => undefined,
      )
      .finally(() => {
        clearTimeout(timer)
        this.close()
      })
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

/** The only row of an answer. pg returns an array for an answer of several results. */
function rowOf(answer: Answer | Answer[]): (string | null)[] {
  const [result, ...others] = Array.isArray(answer) ? answer : [answer]
  if (result === undefined || others.length > 0 || result.rows.length !== 1) {
    throw new UnfitAnswer('the answer has not exactly one row')
  }
  return (result.rows[0] ?? []).map(toText)
}

function withTimeout<Value>(promise: Promise<Value>, timeoutMilliseconds: number): Promise<Value> {
  return new Promise((resolve, reject) => {
    const stopTimeout = startReadTimeout(() => {
      reject(new TimeLimitExceeded('no answer in time'))
    }, timeoutMilliseconds)
    promise.then(resolve, reject).finally(stopTimeout)
  })
}
