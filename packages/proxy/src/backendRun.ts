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
  type ServerFrameSink,
  type TransactionStatusByte,
} from '@nutmegcourse/protocol'
import type { LogPosition } from '@nutmegcourse/shared'
import type { CallerRequest } from './callerRequest.js'
import type { AnswerBuffer } from './answerBuffer.js'
import type { AnswerSlots } from './requestSteps.js'
import {
  SESSION_TAGS,
  type RunFault,
  type RunOutcome,
  type RunPlan,
  type SessionTag,
} from './runOutcome.js'

export interface RunEvents {
  /** The caller's answer is complete; the position query may still be outstanding. */
  answered(run: BackendRun): void
  ended(run: BackendRun, outcome: RunOutcome): void
  faulted(run: BackendRun, fault: RunFault): void
}

const sessionTagsByName: ReadonlyMap<string, SessionTag> = new Map(
  SESSION_TAGS.map(tag => [tag, tag]),
)

/** Session commands that are refused because their effect is not available on pooled connections. */
const REFUSED_TAGS: ReadonlySet<string> = new Set<SessionTag>(['LISTEN', 'PREPARE'])
const COMMIT_TAG = 'COMMIT'
const CLOSE_COMPLETE_TYPE = ServerMessage.closeComplete
const FATAL_SEVERITIES: ReadonlySet<string> = new Set(['FATAL', 'PANIC'])

/** `sync`: the answer to the Sync behind the request is due, which shows that the one before is the request's. */
type Phase = 'preparations' | 'answer' | 'sync' | 'positionQuery' | 'ended'

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
  #isEmptyQuery = false
  /** The preparation that is being answered, or the position query, has got the part that its end may follow. */
  #hasResult = false
  readonly #sessionTags: SessionTag[] = []
  #position: LogPosition | null = null
  #rowPieces: Buffer[] = []
  #hasReport = false
  /** The last part of the caller's answer, held until the Sync behind it is answered. */
  #heldEnd: Buffer[] = []

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
    this.#heldEnd = []
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
    if (this.#phase === 'answer') {
      if (type === ServerMessage.emptyQueryResponse) this.#isEmptyQuery = true
      this.#forward(bytes, start, end)
    } else if (this.#phase === 'positionQuery' && type === ServerMessage.dataRow) {
      this.#collectRow(Buffer.from(bytes.subarray(start, end)), closes)
    } else if (this.#phase === 'sync' && type !== ServerMessage.noticeResponse) {
      this.#fault({ kind: 'unexpectedMessage', type })
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
      case 'sync':
        this.#readSyncAnswer(type, bytes, start, end)
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
    if (this.#phase === 'sync') this.#heldEnd.push(piece)
    else if (!this.answer.push(piece)) this.#fault({ kind: 'answerTooLarge' })
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
    } else if (type === ServerMessage.commandComplete) {
      this.#hasResult = true
    } else if (type === ServerMessage.readyForQuery) {
      if (!this.#hasResult) {
        this.#fault({ kind: 'unexpectedMessage', type })
        return
      }
      this.#hasResult = false
      this.#preparations -= 1
      if (this.#preparations === 0) this.#phase = 'answer'
    }
  }

  #readAnswer(type: number, bytes: Buffer, start: number, end: number): void {
    switch (type) {
      case ServerMessage.readyForQuery:
        if (!this.#mayEnd) {
          this.#fault({ kind: 'unexpectedMessage', type })
          return
        }
        this.#endAnswer(bytes, start, end)
        return
      case ServerMessage.commandComplete:
        this.#readTag(bytes, start, end)
        return
      case ServerMessage.errorResponse:
        this.#readError(bytes, start, end)
        return
      case ServerMessage.parseComplete:
        this.#readParseComplete(bytes, start, end)
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

  /** An end before is that of another answer: the caller would get this one's rows with its next request. */
  get #mayEnd(): boolean {
    if (this.request.shape.kind === 'extended') return this.request.complete
    return this.#failed || this.#commands > 0 || this.#isEmptyQuery
  }

  /** No COPY data was sent to the server, so closing the connection rolls back uncommitted work. */
  #refuseCopy(): void {
    if (!this.#committed)
      this.request.replacementRefusal = { reason: 'unsupported', detail: 'COPY' }
    this.#fault({ kind: 'copy' })
  }

  #readParseComplete(bytes: Buffer, start: number, end: number): void {
    const slot = this.slots.parses.shift()
    if (slot === undefined)
      this.#fault({ kind: 'unexpectedMessage', type: ServerMessage.parseComplete })
    else if (!slot.hidden) this.#forward(bytes, start, end)
  }

  #readCloseComplete(bytes: Buffer, start: number, end: number): void {
    const slot = this.slots.closes.shift()
    if (slot === undefined) {
      this.#fault({ kind: 'unexpectedMessage', type: CLOSE_COMPLETE_TYPE })
      return
    }
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

  #endAnswer(bytes: Buffer, start: number, end: number): void {
    const status = bytes[end - 1]
    if (
      status !== TransactionStatus.idle &&
      status !== TransactionStatus.open &&
      status !== TransactionStatus.failed
    ) {
      this.#fault({ kind: 'unexpectedMessage', type: ServerMessage.readyForQuery })
      return
    }
    this.#status = status
    this.#forward(bytes, start, end)
    if (!this.#queriesPosition) {
      this.#phase = 'sync'
      return
    }
    this.#phase = 'positionQuery'
    this.#reportAnswered()
  }

  #reportAnswered(): void {
    this.#isAnswered = true
    this.flush()
    this.#events.answered(this)
  }

  #releaseEnd(): void {
    this.#phase = 'answer'
    for (const piece of this.#heldEnd) this.answer.push(piece)
    this.#heldEnd = []
  }

  #readSyncAnswer(type: number, bytes: Buffer, start: number, end: number): void {
    switch (type) {
      case ServerMessage.readyForQuery:
        if (bytes[end - 1] !== this.#status) {
          this.#fault({ kind: 'unexpectedMessage', type })
          return
        }
        this.#releaseEnd()
        this.#reportAnswered()
        this.#end()
        return
      case ServerMessage.errorResponse:
        this.#fault({ kind: 'fatalError', error: readServerError(bytes, start, end) })
        return
      case ServerMessage.parameterStatus:
        this.#forward(bytes, start, end)
        return
      case ServerMessage.notificationResponse:
        return
      default:
        this.#fault({ kind: 'unexpectedMessage', type })
    }
  }

  #readPositionAnswer(type: number, bytes: Buffer, start: number, end: number): void {
    if (type === ServerMessage.readyForQuery) {
      if (this.#hasResult) this.#end()
      else this.#fault({ kind: 'unexpectedMessage', type })
      return
    }
    if (type !== ServerMessage.errorResponse) return
    this.#hasResult = true
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
    this.#hasResult = true
    const report = readPositionReport(readDataRow(row, 0, row.length))
    // Then the answer before was an earlier one, and this is the caller's.
    if (report === null || this.#hasReport) {
      this.#fault({ kind: 'unexpectedMessage', type: ServerMessage.dataRow })
      return
    }
    this.#hasReport = true
    // A position reported by a replica does not cover this write: the server was demoted before answering.
    this.#position = report.role === 'primary' ? report.position : null
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
