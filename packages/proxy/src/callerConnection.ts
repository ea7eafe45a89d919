/**
 * One caller's connection: reads its messages, queues its requests and writes its answers. Handles the
 * protocol only; the core routes requests, which it receives through `CallerEvents`.
 */
import type { Socket } from 'node:net'
import {
  CallerFrames,
  CallerMessage,
  ENCRYPTION_REFUSED,
  TransactionStatus,
  errorResponse,
  queryMessage,
  readStartupPacket,
  readyForQuery,
  refusalResponse,
  type FrameMistake,
  type FrameSink,
  type TransactionStatusByte,
} from '@nutmegcourse/protocol'
import { sessionId, type Refusal, type RequestId, type SessionId } from '@nutmegcourse/shared'
import { encodeStartupResponse, type CancelKey } from './callerStartupResponse.js'
import { CallerRequest } from './callerRequest.js'
import { CallerSettings } from './callerSettings.js'
import { readIdentity, type CallerIdentity } from './callerStartup.js'
import type { AnswerTarget } from './answerBuffer.js'
import { RequestQueue, isExtended } from './requestQueue.js'
import { CallerStatements, type StatementCatalog } from './statementCatalog.js'

export interface CallerEvents {
  /** Null if the caller is accepted, otherwise the refusal. */
  admit(caller: CallerConnection, identity: CallerIdentity): Refusal | null
  parametersOf(identity: CallerIdentity): ReadonlyMap<string, string>
  nextRequestId(): RequestId
  cancel(key: CancelKey): void
  /** A request has reached the head of the caller's queue and has messages that may be sent. */
  start(caller: CallerConnection, request: CallerRequest): void
  /** A started request has further messages to send. */
  moreAvailable(caller: CallerConnection, request: CallerRequest): void
  congestionStarted(caller: CallerConnection): void
  congestionEnded(caller: CallerConnection): void
  closed(caller: CallerConnection, unfinished: readonly CallerRequest[]): void
}

export interface CallerOptions {
  readonly messageLimitBytes: number
  readonly startupTimeoutMilliseconds: number
}

/** Unsent bytes above which no more answers are read for a caller that does not receive them. */
export const CONGESTED_BYTES = 256 * 1024
const KEEP_ALIVE_MILLISECONDS = 30_000
/** Time for a caller to read a final error and close the connection. */
const CLOSE_TIMEOUT_MILLISECONDS = 2000

type Phase = 'startup' | 'ready' | 'closing' | 'closed'

export class CallerConnection implements FrameSink, AnswerTarget {
  readonly key: CancelKey
  readonly settings = new CallerSettings()
  readonly statements: CallerStatements
  readonly #socket: Socket
  readonly #events: CallerEvents
  readonly #options: CallerOptions
  readonly #frames: CallerFrames
  readonly #requests: RequestQueue
  readonly #connectionSession: SessionId
  #identity: CallerIdentity | null = null
  #phase: Phase = 'startup'
  #status: TransactionStatusByte = TransactionStatus.idle
  #paused = false
  #isCongested = false
  #isStartingRequests = false
  #terminating = false
  #draining = false

  constructor(
    socket: Socket,
    key: CancelKey,
    catalog: StatementCatalog,
    options: CallerOptions,
    events: CallerEvents,
  ) {
    this.#socket = socket
    this.key = key
    this.#connectionSession = sessionId(`connection:${key.processId}:${key.secret}`)
    this.#options = options
    this.#events = events
    this.#frames = new CallerFrames(options.messageLimitBytes)
    this.statements = new CallerStatements(catalog)
    this.#requests = new RequestQueue(this.statements, {
      messageLimitBytes: options.messageLimitBytes,
      nextRequestId: () => events.nextRequestId(),
      moreAvailable: request => {
        events.moreAvailable(this, request)
      },
    })
    this.#listen()
  }

  /** Null until the startup packet is read. */
  get identity(): CallerIdentity | null {
    return this.#identity
  }

  /** The session's name; generated for this connection if the caller gave none. */
  get session(): SessionId {
    return this.#identity?.session ?? this.#connectionSession
  }

  get head(): CallerRequest | null {
    return this.#requests.head
  }

  get unsentBytes(): number {
    return this.#socket.writableLength
  }

  get isCongested(): boolean {
    return this.#isCongested
  }

  /** Transaction status last sent to the caller. */
  get status(): TransactionStatusByte {
    return this.#status
  }

  get wantsMore(): boolean {
    if (this.#phase === 'startup') return true
    return this.#phase === 'ready' && !this.#terminating && !this.#requests.isFull()
  }

  write(bytes: Buffer): void {
    if (this.#phase === 'closed' || this.#phase === 'closing') return
    this.#socket.write(bytes)
    if (this.#isCongested || this.#socket.writableLength <= CONGESTED_BYTES) return
    this.#isCongested = true
    this.#events.congestionStarted(this)
  }

  /** Finishes the request at the head. Sends ReadyForQuery unless the answer contained it already. */
  finish(
    request: CallerRequest,
    status: TransactionStatusByte,
    ready: 'readySent' | 'sendReady',
  ): void {
    if (this.#requests.head !== request) return
    if (ready === 'sendReady') this.write(readyForQuery(status))
    this.#status = status
    this.#requests.finishHead()
    this.#startRequests()
    this.#resumeReading()
  }

  /** Sends a final error and closes this connection. Other callers are not affected. */
  fail(refusal: Refusal): void {
    this.#closeWith(refusalResponse(refusal, 'FATAL'))
  }

  /** Closes the connection as soon as nothing is in flight and no transaction is open. */
  drain(): void {
    this.#draining = true
    this.#closeWhenIdle()
  }

  /** Closes the connection at once, without an error message. */
  destroy(): void {
    this.#socket.destroy()
  }

  frame(bytes: Buffer): void {
    if (this.#phase === 'startup') this.#readStartup(bytes)
    else if (this.#phase === 'ready') this.#readMessage(bytes)
  }

  mistake(mistake: FrameMistake): void {
    if (mistake.kind === 'tooLarge') {
      const detail = `${mistake.announcedBytes} bytes, at most ${this.#options.messageLimitBytes}`
      this.fail({ reason: 'too_large', detail })
    } else this.fail({ reason: 'malformed', detail: mistake.detail })
  }

  #listen(): void {
    const socket = this.#socket
    // Detects a caller whose machine is unreachable: its transaction must not occupy a connection forever.
    socket.setKeepAlive(true, KEEP_ALIVE_MILLISECONDS)
    socket.setTimeout(this.#options.startupTimeoutMilliseconds, () => {
      socket.destroy()
    })
    socket.on('data', chunk => {
      if (this.#phase === 'closing') return
      this.#frames.push(chunk, this)
      this.#startRequests()
      this.#pauseIfFull()
    })
    socket.on('drain', () => {
      if (!this.#isCongested) return
      this.#isCongested = false
      this.#events.congestionEnded(this)
      this.#startRequests()
      this.#resumeReading()
    })
    socket.on('error', () => undefined)
    socket.once('close', () => {
      this.#close()
    })
  }

  #close(): void {
    this.#phase = 'closed'
    this.statements.clear()
    this.#events.closed(this, this.#requests.clear())
  }

  #closeWith(error: Buffer): void {
    if (this.#phase === 'closed' || this.#phase === 'closing') return
    this.#socket.end(error)
    this.#phase = 'closing'
    // Unread received bytes would make the kernel reset the connection before the error is delivered.
    this.#socket.resume()
    this.#socket.setTimeout(CLOSE_TIMEOUT_MILLISECONDS, () => this.#socket.destroy())
  }

  #closeWhenIdle(): void {
    if (this.#phase === 'startup') {
      this.fail({ reason: 'stopping' })
      return
    }
    if (this.#phase !== 'ready' || !this.#requests.isEmpty) return
    if (this.#status === TransactionStatus.idle) this.fail({ reason: 'stopping' })
  }

  #pauseIfFull(): void {
    if (this.#paused || this.#phase !== 'ready' || !this.#requests.isFull()) return
    this.#paused = true
    this.#socket.pause()
  }

  #resumeReading(): void {
    if (!this.#paused || this.#requests.isFull()) return
    this.#frames.drain(this)
    this.#startRequests()
    if (this.#requests.isFull()) return
    this.#paused = false
    this.#socket.resume()
  }

  #readStartup(packet: Buffer): void {
    const message = readStartupPacket(packet)
    switch (message.kind) {
      case 'encryption':
        this.#socket.write(ENCRYPTION_REFUSED)
        return
      case 'cancel':
        this.#events.cancel(message)
        this.#phase = 'closing'
        this.#socket.end()
        return
      case 'unsupportedVersion':
        this.fail({ reason: 'unsupported', detail: message.detail })
        return
      case 'malformed':
        this.fail({ reason: 'malformed', detail: message.detail })
        return
      case 'startup':
        this.#completeStartup(message.parameters, message.minorVersion)
    }
  }

  #completeStartup(parameters: ReadonlyMap<string, string>, minorVersion: number): void {
    const result = readIdentity(parameters)
    if (result.kind === 'error') {
      this.fail({ reason: result.error.kind, detail: result.error.detail })
      return
    }
    const { identity } = result
    const refusal = this.#events.admit(this, identity)
    if (refusal !== null) {
      this.fail(refusal)
      return
    }
    this.#identity = identity
    this.#phase = 'ready'
    this.#frames.expectTypedFrames()
    this.#socket.setTimeout(0)
    const statuses = this.#events.parametersOf(identity)
    const unknownOptions = [...parameters.keys()].filter(name => name.startsWith('_pq_.'))
    this.#socket.write(
      encodeStartupResponse({ statuses, key: this.key, minorVersion, unknownOptions }),
    )
    if (identity.settings.length > 0) this.#requests.add(this.#settingsRequest(identity))
    else if (this.#draining) this.#closeWhenIdle()
  }

  /**
   * Settings of the startup packet run once as the caller's first request, so that an invalid setting
   * closes this caller's connection instead of every backend connection that would apply it.
   */
  #settingsRequest(identity: CallerIdentity): CallerRequest {
    const frame = queryMessage(identity.settings.join('; '))
    const request = CallerRequest.simple(this.#events.nextRequestId(), frame)
    request.purpose = 'startupSettings'
    return request
  }

  #readMessage(frame: Buffer): void {
    const type = frame[0] ?? 0
    if (isExtended(type)) {
      this.#failIf(this.#requests.readExtended(frame))
      return
    }
    switch (type) {
      case CallerMessage.query:
        this.#failIf(this.#requests.readQuery(frame))
        return
      case CallerMessage.flush:
        this.#requests.readFlush(frame)
        return
      case CallerMessage.sync:
        this.#requests.readSync(frame)
        return
      case CallerMessage.terminate:
        this.#terminating = true
        return
      case CallerMessage.copyData:
      case CallerMessage.copyDone:
      case CallerMessage.copyFail:
        // Sent before the caller received the refusal of its COPY; PostgreSQL ignores these too.
        return
      case CallerMessage.functionCall:
        this.#refuseFunctionCall()
        return
      default:
        this.fail({ reason: 'malformed', detail: `a message of type ${type}` })
    }
  }

  #failIf(refusal: Refusal | null): void {
    if (refusal !== null) this.fail(refusal)
  }

  #refuseFunctionCall(): void {
    this.#closeWith(
      errorResponse({
        severity: 'FATAL',
        sqlState: '0A000',
        message: 'unsupported: the function call sub-protocol is not supported',
      }),
    )
  }

  /**
   * Starts the request at the head unless the caller is congested. Closes the connection once no request
   * is left, if the caller has sent Terminate or the proxy is draining.
   */
  #startRequests(): void {
    if (this.#isStartingRequests) return
    this.#isStartingRequests = true
    while (this.#phase === 'ready' && !this.#isCongested) {
      const request = this.#requests.head
      if (request === null || request.started) break
      request.started = true
      this.#events.start(this, request)
    }
    this.#isStartingRequests = false
    if (this.#requests.head !== null || this.#phase !== 'ready') return
    if (this.#terminating) this.#socket.end()
    else if (this.#draining) this.#closeWhenIdle()
  }
}
