/**
 * One attempt to run a request on a backend connection: separates the caller's answer from the answers
 * to the proxy's own messages before and after the request.
 */
import {
  ServerMessage,
  TransactionStatus,
  errorResponse,
  readCommandTag,
  readDataRow,
  readPositionReport,
  readServerError,
  type ServerError,
  type ServerFrameSink,
  type TransactionStatusByte,
} from '@nutmegcourse/protocol'
import type { LogPosition } from '@nutmegcourse/shared'
import type { CallerRequest } from './callerRequest.js'
import type { AnswerBuffer } from './answerBuffer.js'
import type { AnswerSlots, ParseSlot } from './requestSteps.js'

export interface RunOutcome {
  /** Transaction status after the caller's request. */
  readonly status: TransactionStatusByte
  readonly position: LogPosition | null
  /** The server answered with an error, and no transaction was committed before it. */
  readonly failed: boolean
  /** Number of commands that succeeded. */
  readonly commands: number
  /** Distinct tags of the commands that change session state. */
  readonly sessionTags: readonly SessionTag[]
  /** SQLSTATE of the last error of the answer; null if it has none. */
  readonly sqlState: string | null
  /** Prepared statements whose Parse was not answered with success. */
  readonly failedParses: readonly ParseSlot[]
  /** The server skipped Close messages of the proxy after an error. */
  readonly closesSkipped: boolean
}

/** Why a connection became unusable during a run. */
export type RunFault =
  /** The server closes the connection with this error. */
  | { readonly kind: 'fatalError'; readonly error: ServerError }
  /** A setup query before the request failed, so the request ran with unknown settings. */
  | { readonly kind: 'preparationFailed'; readonly error: ServerError }
  | { readonly kind: 'unexpectedMessage'; readonly type: number }
  | { readonly kind: 'copy' }
  | { readonly kind: 'answerTooLarge' }

export interface RunEvents {
  /** The caller's answer is complete; the position query may still be outstanding. */
  answered(run: BackendRun): void
  ended(run: BackendRun, outcome: RunOutcome): void
  faulted(run: BackendRun, fault: RunFault): void
}

export interface RunPlan {
  /** Number of answers to discard before the caller's. */
  readonly preparations: number
  /** A position query follows the request. */
  readonly queriesPosition: boolean
}

/** Tags of commands whose effect on the session outlasts their transaction. */
const SESSION_TAGS = [
  'SET',
  'RESET',
  'DISCARD',
  'DISCARD ALL',
  'DEALLOCATE',
  'DEALLOCATE ALL',
  'DECLARE CURSOR',
  'LISTEN',
  'PREPARE',
] as const

export type SessionTag = (typeof SESSION_TAGS)[number]

const sessionTagsByName: ReadonlyMap<string, SessionTag> = new Map(
  SESSION_TAGS.map(tag => [tag, tag]),
)

/** Session commands that are refused because their effect is not available on pooled connections. */
const REFUSED_TAGS: ReadonlySet<string> = new Set<SessionTag>(['LISTEN', 'PREPARE'])
const COMMIT_TAG = 'COMMIT'
const CLOSE_COMPLETE_TYPE = ServerMessage.closeComplete
const FATAL_SEVERITIES: ReadonlySet<string> = new Set(['FATAL', 'PANIC'])

type Phase = 'preparations' | 'answer' | 'positionQuery' | 'ended'

export class BackendRun implements ServerFrameSink {
  readonly request: CallerRequest
  readonly answer: AnswerBuffer
  readonly slots: AnswerSlots = { parses: [], closes: [] }
  readonly #events: RunEvents
  readonly #queriesPosition: boolean
  #preparations: number
  #phase: Phase
  /** Adjacent frames for the caller, sent in one piece. */
  #pending: Buffer | null = null
  #pendingStart = 0
  #pendingEnd = 0
  #status: TransactionStatusByte = TransactionStatus.idle
  #isAnswered = false
  #failed = false
  #committed = false
  #sqlState: string | null = null
  #commands = 0
  readonly #sessionTags: SessionTag[] = []
  #position: LogPosition | null = null
  #rowPieces: Buffer[] = []

  constructor(request: CallerRequest, answer: AnswerBuffer, plan: RunPlan, events: RunEvents) {
    this.request = request
    this.answer = answer
    this.#events = events
    this.#queriesPosition = plan.queriesPosition
    this.#preparations = plan.preparations
    this.#phase = plan.preparations > 0 ? 'preparations' : 'answer'
  }

  /** Whether the caller's complete answer has arrived, including ReadyForQuery. */
  get isAnswered(): boolean {
    return this.#isAnswered
  }

  /** Transaction status after the caller's request; idle until that is answered. */
  get status(): TransactionStatusByte {
    return this.#status
  }

  /** Ignores further messages and discards the held part of the answer. */
  abandon(): void {
    this.#phase = 'ended'
    this.#pending = null
    this.answer.drop()
  }

  forwardPiece(
    type: number,
    bytes: Buffer,
    start: number,
    end: number,
    _opens: boolean,
    closes: boolean,
  ): void {
    if (this.#phase === 'answer') this.#forward(bytes, start, end)
    else if (this.#phase === 'positionQuery' && type === ServerMessage.dataRow) {
      this.#collectRow(Buffer.from(bytes.subarray(start, end)), closes)
    }
  }

  inspectFrame(type: number, bytes: Buffer, start: number, end: number): void {
    switch (this.#phase) {
      case 'preparations':
        this.#readPreparation(type, bytes, start, end)
        return
      case 'answer':
        this.#readAnswer(type, bytes, start, end)
        return
      case 'positionQuery':
        this.#readPositionAnswer(type, bytes, start, end)
        return
      case 'ended':
    }
  }

  /** Passes the pending frames to the answer buffer, at the latest at the end of a received chunk. */
  flush(): void {
    const bytes = this.#pending
    if (bytes === null) return
    this.#pending = null
    // Copied because the read buffer is reused for the next chunk of any backend connection.
    const piece = Buffer.allocUnsafe(this.#pendingEnd - this.#pendingStart)
    bytes.copy(piece, 0, this.#pendingStart, this.#pendingEnd)
    if (!this.answer.push(piece)) this.#fault({ kind: 'answerTooLarge' })
  }

  #forward(bytes: Buffer, start: number, end: number): void {
    if (this.#pending === bytes && this.#pendingEnd === start) {
      this.#pendingEnd = end
      return
    }
    this.flush()
    this.#pending = bytes
    this.#pendingStart = start
    this.#pendingEnd = end
  }

  #forwardFrame(frame: Buffer): void {
    this.#forward(frame, 0, frame.length)
  }

  #fault(fault: RunFault): void {
    if (this.#phase === 'ended') return
    this.abandon()
    this.#events.faulted(this, fault)
  }

  #readPreparation(type: number, bytes: Buffer, start: number, end: number): void {
    if (type === ServerMessage.errorResponse) {
      this.#fault({ kind: 'preparationFailed', error: readServerError(bytes, start, end) })
    } else if (type === ServerMessage.readyForQuery) {
      this.#preparations -= 1
      if (this.#preparations === 0) this.#phase = 'answer'
    }
  }

  #readAnswer(type: number, bytes: Buffer, start: number, end: number): void {
    switch (type) {
      case ServerMessage.readyForQuery:
        this.#forward(bytes, start, end)
        this.#endAnswer(bytes[end - 1])
        return
      case ServerMessage.commandComplete:
        this.#readTag(bytes, start, end)
        return
      case ServerMessage.errorResponse:
        this.#readError(bytes, start, end)
        return
      case ServerMessage.parseComplete:
        if (this.slots.parses.shift()?.hidden !== true) this.#forward(bytes, start, end)
        return
      case ServerMessage.closeComplete:
        this.#readCloseComplete(bytes, start, end)
        return
      case ServerMessage.parameterStatus:
        this.#forward(bytes, start, end)
        return
      case ServerMessage.notificationResponse:
        // LISTEN is refused on pooled connections, so no caller expects notifications.
        return
      case ServerMessage.copyInResponse:
      case ServerMessage.copyOutResponse:
      case ServerMessage.copyBothResponse:
        this.flush()
        this.#refuseCopy()
        return
      default:
        this.#fault({ kind: 'unexpectedMessage', type })
    }
  }

  /** No COPY data was sent to the server, so closing the connection rolls back uncommitted work. */
  #refuseCopy(): void {
    if (!this.#committed)
      this.request.replacementRefusal = { reason: 'unsupported', detail: 'COPY' }
    this.#fault({ kind: 'copy' })
  }

  #readCloseComplete(bytes: Buffer, start: number, end: number): void {
    const slot = this.slots.closes.shift()
    if (slot === 'discard') return
    if (slot === 'asParseComplete') bytes[start] = ServerMessage.parseComplete
    else bytes[start] = CLOSE_COMPLETE_TYPE
    this.#forward(bytes, start, end)
  }

  #readTag(bytes: Buffer, start: number, end: number): void {
    const tag = readCommandTag(bytes, start, end)
    const sessionTag = sessionTagsByName.get(tag)
    this.#commands += 1
    if (sessionTag !== undefined && !this.#sessionTags.includes(sessionTag)) {
      this.#sessionTags.push(sessionTag)
    }
    if (tag === COMMIT_TAG) this.#committed = true
    if (this.answer.holding) {
      this.flush()
      this.answer.seal()
    }
    if (!REFUSED_TAGS.has(tag)) {
      this.#forward(bytes, start, end)
      return
    }
    this.#forwardFrame(
      errorResponse({
        severity: 'ERROR',
        sqlState: '0A000',
        message: `unsupported: ${tag} has no meaning on a pooled connection`,
      }),
    )
  }

  #readError(bytes: Buffer, start: number, end: number): void {
    const error = readServerError(bytes, start, end)
    if (FATAL_SEVERITIES.has(error.severity)) {
      this.flush()
      this.#fault({ kind: 'fatalError', error })
      return
    }
    this.#failed = true
    this.#sqlState = error.sqlState
    this.#forward(bytes, start, end)
  }

  #endAnswer(status: number | undefined): void {
    if (
      status !== TransactionStatus.idle &&
      status !== TransactionStatus.open &&
      status !== TransactionStatus.failed
    ) {
      this.#fault({ kind: 'unexpectedMessage', type: ServerMessage.readyForQuery })
      return
    }
    this.#status = status
    this.#isAnswered = true
    this.flush()
    if (this.#queriesPosition) this.#phase = 'positionQuery'
    this.#events.answered(this)
    if (!this.#queriesPosition) this.#end()
  }

  #readPositionAnswer(type: number, bytes: Buffer, start: number, end: number): void {
    if (type === ServerMessage.readyForQuery) {
      this.#end()
      return
    }
    if (type !== ServerMessage.errorResponse) return
    const error = readServerError(bytes, start, end)
    if (FATAL_SEVERITIES.has(error.severity)) this.#fault({ kind: 'fatalError', error })
  }

  #collectRow(piece: Buffer, closes: boolean): void {
    this.#rowPieces.push(piece)
    if (!closes) return
    const [only] = this.#rowPieces
    const row =
      this.#rowPieces.length === 1 && only !== undefined ? only : Buffer.concat(this.#rowPieces)
    this.#rowPieces = []
    const report = readPositionReport(readDataRow(row, 0, row.length))
    // A position reported by a replica does not cover this write: the server was demoted before answering.
    this.#position = report?.role === 'primary' ? report.position : null
  }

  #end(): void {
    this.#phase = 'ended'
    this.#events.ended(this, {
      status: this.#status,
      position: this.#position,
      failed: this.#failed && !this.#committed,
      commands: this.#commands,
      sessionTags: this.#sessionTags,
      sqlState: this.#sqlState,
      failedParses: this.slots.parses,
      closesSkipped: this.slots.closes.includes('discard'),
    })
  }
}
