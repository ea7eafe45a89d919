/** One connection to a backend server: its startup, the request that runs on it, and its state between requests. */
import { connect, type Socket } from 'node:net'
import {
  POSITION_STATEMENT,
  SYNC,
  ServerFrames,
  ServerMessage,
  TransactionStatus,
  queryMessage,
  readServerError,
  startupMessage,
  type ListedBackendServer,
  type ServerFrameSink,
} from '@nutmegcourse/protocol'
import type { ConnectFailure, ConnectionId } from '@nutmegcourse/state'
import { BackendStartup } from './backendStartup.js'
import { BackendRun, type RunEvents } from './backendRun.js'
import type { RunFault, RunOutcome } from './runOutcome.js'
import type { CallerRequest } from './callerRequest.js'
import { sendCancel } from './cancelSender.js'
import type { CallerSettings } from './callerSettings.js'
import { ConnectionSetup } from './connectionSetup.js'
import { ConnectionStatements } from './connectionStatements.js'
import type { AnswerBuffer } from './answerBuffer.js'
import { StepEncoder } from './requestSteps.js'

export interface BackendConnectionEvents {
  opened(connection: BackendConnection): void
  openFailed(connection: BackendConnection, failure: ConnectFailure, detail: string): void
  /** The connection is unusable. Emitted at most once, and never after `openFailed` or `close`. */
  closed(connection: BackendConnection, run: BackendRun | null, detail: string): void
  answered(connection: BackendConnection, run: BackendRun): void
  ended(connection: BackendConnection, run: BackendRun, outcome: RunOutcome): void
}

export interface BackendConnectionOptions {
  readonly user: string
  readonly connectTimeoutMilliseconds: number
}

export interface RunRequest {
  readonly request: CallerRequest
  readonly answer: AnswerBuffer
  readonly settings: CallerSettings
  readonly readOnly: boolean
  readonly queriesPosition: boolean
  /** The request continues a transaction: no setup queries may be sent before it. */
  readonly insideTransaction: boolean
}

/**
 * Shared read buffer of all backend connections, which saves an allocation per read. Each chunk is
 * processed completely before the next one is read.
 */
const READ_BUFFER = Buffer.allocUnsafeSlow(64 * 1024)
const KEEP_ALIVE_MILLISECONDS = 10_000
const APPLICATION_NAME = 'nutmegcourse-proxy'
const CLOSED_BY_SERVER = 'backend server closed the connection'
const UNASKED_ANSWER = 'backend server sent an answer without a request'
const POSITION_QUERY = queryMessage(POSITION_STATEMENT)
/** Errors after which the server's prepared statements may differ from the proxy's record of them. */
const STATEMENT_MISMATCH_STATES: ReadonlySet<string> = new Set(['26000', '42P05', '0A000'])

type State = 'opening' | 'open' | 'closed'

export class BackendConnection implements ServerFrameSink, RunEvents {
  readonly id: ConnectionId
  readonly server: ListedBackendServer
  readonly #events: BackendConnectionEvents
  readonly #options: BackendConnectionOptions
  readonly #socket: Socket
  readonly #startup = new BackendStartup()
  readonly #frames = new ServerFrames()
  readonly #statements = new ConnectionStatements()
  readonly setup = new ConnectionSetup(this.#statements)
  #state: State = 'opening'
  #openTimer: NodeJS.Timeout | null = null
  #run: BackendRun | null = null
  #encoder: StepEncoder | null = null
  #sentSteps = 0
  #queriesPosition = false
  #cancelsInFlight = 0
  #pendingOutcome: RunOutcome | null = null

  constructor(
    id: ConnectionId,
    server: ListedBackendServer,
    options: BackendConnectionOptions,
    events: BackendConnectionEvents,
  ) {
    this.id = id
    this.server = server
    this.#options = options
    this.#events = events
    this.#socket = connect({
      host: server.address,
      port: server.port,
      noDelay: true,
      keepAlive: true,
      keepAliveInitialDelay: KEEP_ALIVE_MILLISECONDS,
      onread: { buffer: READ_BUFFER, callback: this.#read },
    })
    this.#openTimer = setTimeout(() => {
      this.#failOpening('timeout', 'connection attempt timed out')
    }, options.connectTimeoutMilliseconds)
    this.#listen()
  }

  get state(): State {
    return this.#state
  }

  /** Parameters that the server reported at startup. */
  get parameters(): ReadonlyMap<string, string> {
    return this.#startup.parameters
  }

  get run(): BackendRun | null {
    return this.#run
  }

  /** Whether only part of a frame was received, so that no other message may follow it to the caller. */
  get insideFrame(): boolean {
    return this.#frames.insideFrame
  }

  /**
   * Sends a request, with the setup queries before it and the position query, or a Sync, after it, in one write.
   * Returns false if the connection is not open, so that nothing was sent.
   */
  start(runRequest: RunRequest): boolean {
    if (!this.#socket.writable) this.#closeOnError(CLOSED_BY_SERVER)
    if (!this.#frames.isBetweenFrames) this.#closeOnError(UNASKED_ANSWER)
    if (this.#state !== 'open') return false
    const { request } = runRequest
    const output = runRequest.insideTransaction
      ? []
      : this.setup.prepare(runRequest.settings, runRequest.readOnly)
    const plan = { preparations: output.length, queriesPosition: runRequest.queriesPosition }
    this.#run = new BackendRun(request, runRequest.answer, plan, this)
    this.#encoder = null
    this.#sentSteps = 0
    this.#queriesPosition = runRequest.queriesPosition
    if (request.shape.kind === 'simple') output.push(request.shape.frame)
    this.#encodeSteps(output)
    this.#writeAll(output)
    return true
  }

  /** Sends the messages that a running request has received from its caller since. */
  sendMore(): void {
    if (this.#run === null || this.#state !== 'open') return
    const output: Buffer[] = []
    this.#encodeSteps(output)
    this.#writeAll(output)
  }

  /** Stops reading the answer while the caller does not receive it. */
  pause(): void {
    this.#socket.pause()
  }

  resume(): void {
    this.#socket.resume()
  }

  /**
   * Asks the server to cancel the running request. A cancel identifies the connection, not the request,
   * so a late one would hit the next request, perhaps of another caller. The request therefore does not
   * end before the server has processed the cancel and closed the connection that carried it.
   */
  cancel(): void {
    const { key } = this.#startup
    if (this.#run === null || key === null) return
    this.#cancelsInFlight += 1
    void sendCancel(this.server, key, this.#options.connectTimeoutMilliseconds).then(isSettled => {
      this.#handleCancelDone(isSettled)
    })
  }

  /** Closes the connection without emitting an event. */
  close(): void {
    this.#state = 'closed'
    this.#clearOpenTimer()
    this.#run?.abandon()
    this.#run = null
    this.#socket.destroy()
  }

  forwardPiece(
    type: number,
    bytes: Buffer,
    start: number,
    end: number,
    opens: boolean,
    closes: boolean,
  ): void {
    if (this.#run !== null) this.#run.forwardPiece(type, bytes, start, end, opens, closes)
    else if (this.#state === 'open' && type !== ServerMessage.noticeResponse)
      this.#closeOnError(UNASKED_ANSWER)
  }

  inspectFrame(type: number, bytes: Buffer, start: number, end: number): void {
    if (this.#state === 'closed') return
    if (this.#run !== null) this.#run.inspectFrame(type, bytes, start, end)
    else if (this.#state === 'opening') this.#readStartup(type, bytes, start, end)
    else this.#readBetweenRequests(type, bytes, start, end)
  }

  answered(run: BackendRun): void {
    this.#events.answered(this, run)
  }

  ended(_run: BackendRun, outcome: RunOutcome): void {
    this.#recordStatements(outcome)
    if (this.#cancelsInFlight > 0) this.#pendingOutcome = outcome
    else this.#end(outcome)
  }

  faulted(_run: BackendRun, fault: RunFault): void {
    this.#closeOnError(describeFault(fault))
  }

  readonly #read = (length: number, buffer: Uint8Array): boolean => {
    if (this.#state === 'closed') return true
    const chunk = buffer === READ_BUFFER ? READ_BUFFER.subarray(0, length) : Buffer.from(buffer)
    const readable = this.#frames.push(chunk, this)
    this.#run?.flush()
    if (!readable) this.#closeOnError('backend server sent bytes that are not a PostgreSQL frame')
    return true
  }

  #listen(): void {
    const socket = this.#socket
    socket.on('connect', () => {
      const { user } = this.#options
      const { database } = this.server
      socket.write(startupMessage({ user, database, application_name: APPLICATION_NAME }))
    })
    socket.on('error', error => {
      const refused = 'code' in error && error.code === 'ECONNREFUSED'
      this.#closeOnError(error.message, refused ? 'refused' : 'lost')
    })
    // After its end Node.js refuses each write, and 'close' comes later.
    socket.on('end', () => {
      this.#closeOnError(CLOSED_BY_SERVER)
    })
    socket.on('close', () => {
      this.#closeOnError(CLOSED_BY_SERVER)
    })
  }

  #clearOpenTimer(): void {
    if (this.#openTimer !== null) clearTimeout(this.#openTimer)
    this.#openTimer = null
  }

  #failOpening(failure: ConnectFailure, detail: string): void {
    this.close()
    this.#events.openFailed(this, failure, detail)
  }

  #closeOnError(detail: string, failure: ConnectFailure = 'lost'): void {
    if (this.#state === 'closed') return
    if (this.#state === 'opening') {
      this.#failOpening(failure, detail)
      return
    }
    const run = this.#run
    this.close()
    this.#events.closed(this, run, detail)
  }

  #readStartup(type: number, bytes: Buffer, start: number, end: number): void {
    const step = this.#startup.read(type, bytes, start, end)
    switch (step.kind) {
      case 'pending':
        return
      case 'failed':
        this.#failOpening(step.failure, step.detail)
        return
      case 'ready':
        this.#state = 'open'
        this.#clearOpenTimer()
        this.#events.opened(this)
    }
  }

  #readBetweenRequests(type: number, bytes: Buffer, start: number, end: number): void {
    switch (type) {
      case ServerMessage.parameterStatus:
      case ServerMessage.notificationResponse:
        return
      case ServerMessage.errorResponse:
        this.#closeOnError(readServerError(bytes, start, end).message)
        return
      default:
        this.#closeOnError(UNASKED_ANSWER)
    }
  }

  #encodeSteps(output: Buffer[]): void {
    const run = this.#run
    if (run === null) return
    const { request } = run
    if (request.shape.kind === 'extended') {
      this.#encoder ??= new StepEncoder(this.#statements, run.slots)
      for (; this.#sentSteps < request.sendableSteps; this.#sentSteps += 1) {
        const step = request.steps[this.#sentSteps]
        if (step !== undefined) this.#encoder.encode(step, output)
      }
    }
    if (request.complete) output.push(this.#queriesPosition ? POSITION_QUERY : SYNC)
  }

  #writeAll(output: readonly Buffer[]): void {
    const [only] = output
    if (only === undefined) return
    this.#socket.write(output.length === 1 ? only : Buffer.concat(output))
  }

  #recordStatements(outcome: RunOutcome): void {
    for (const slot of outcome.failedParses) this.#statements.remove(slot.statement.serverName)
    const isMismatch = outcome.sqlState !== null && STATEMENT_MISMATCH_STATES.has(outcome.sqlState)
    if (outcome.closesSkipped || isMismatch) this.setup.markDirty()
  }

  #end(outcome: RunOutcome): void {
    const run = this.#run
    if (run === null) return
    this.#run = null
    this.#encoder = null
    this.#socket.resume()
    this.#events.ended(this, run, outcome)
  }

  #handleCancelDone(isSettled: boolean): void {
    this.#cancelsInFlight -= 1
    if (!isSettled) {
      this.#closeOnError('cancel request did not reach the backend server')
      return
    }
    const outcome = this.#pendingOutcome
    if (this.#cancelsInFlight > 0 || outcome === null) return
    this.#pendingOutcome = null
    this.#end(outcome)
  }
}

function describeFault(fault: RunFault): string {
  switch (fault.kind) {
    case 'fatalError':
      return `backend server closed the connection: ${fault.error.message}`
    case 'preparationFailed':
      return `connection setup failed: ${fault.error.message}`
    case 'unexpectedMessage':
      return `backend server sent an unexpected message of type ${fault.type}`
    case 'copy':
      return 'COPY is not supported'
    case 'answerTooLarge':
      return 'answer exceeds the limit for holding it until its write is confirmed'
  }
}

/** Whether the request left a transaction open, including a failed one. */
export const isTransactionOpen = (outcome: RunOutcome): boolean =>
  outcome.status !== TransactionStatus.idle
