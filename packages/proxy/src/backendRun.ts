/**
 * One attempt of a request on one backend connection: tells the caller's answer from the answers to what
 * the proxy sent around it, in the order of the protocol.
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
  /** After the caller's request. */
  readonly status: TransactionStatusByte
  readonly position: LogPosition | null
  /** The server answered with an error, and no transaction was committed before it. */
  readonly failed: boolean
  /** Commands that succeeded. */
  readonly commands: number
  /** Tags, each once, of the commands that change more than data and transactions. */
  readonly sessionTags: readonly SessionTag[]
  /** SQLSTATE of the last error of the answer. */
  readonly sqlState: string | null
  /** Prepared statements whose Parse was not answered with success. */
  readonly failedParses: readonly ParseSlot[]
  /** The proxy's own clean-up was skipped after an error. */
  readonly closesSkipped: boolean
}

/** Why a connection can not be used any further in the middle of a run. */
export type RunFault =
  /** The server ends the connection; its error tells why. */
  | { readonly kind: 'fatalError'; readonly error: ServerError }
  /** What the proxy sent ahead of the request failed, so the request ran under unknown settings. */
  | { readonly kind: 'preparationFailed'; readonly error: ServerError }
  | { readonly kind: 'unexpectedMessage'; readonly type: number }
  | { readonly kind: 'copy' }
  | { readonly kind: 'answerTooLarge' }

export interface RunEvents {
  /** The caller's answer is whole; the position question may still be open. */
  answered(run: BackendRun): void
  ended(run: BackendRun, outcome: RunOutcome): void
  faulted(run: BackendRun, fault: RunFault): void
}

export interface RunPlan {
  /** Answers to swallow before the caller's. */
  readonly preparations: number
  /** The position question follows the request. */
  readonly queriesPosition: boolean
}

/** Tags of commands whose effect stays on the connection when their transaction is over. */
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

/** Of these, the ones that a caller of pooled connections could not make use of afterwards. */
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
  /** Neighbouring frames that all go to the caller leave as one piece. */
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

  /** Whether the caller's whole answer came, ReadyForQuery included. */
  get isAnswered(): boolean {
    return this.#isAnswered
  }

  /** Transaction status after the caller's request; idle until that is answered. */
  get status(): TransactionStatusByte {
    return this.#status
  }

  /** Nothing of it is wanted any more. */
  abandon(): void {
    this.#phase = 'ended'
    this.#pending = null
    this.answer.drop()
  }

  passing(
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

  decisive(type: number, bytes: Buffer, start: number, end: number): void {
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

  /** The chunk at hand is read: what is for the caller leaves now. */
  flush(): void {
    const bytes = this.#pending
    if (bytes === null) return
    this.#pending = null
    // A copy: the socket's buffer is reused for the next chunk of any backend connection.
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
        // Meant for whoever listened on this connection before; nobody does on a pooled one.
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

  /** No data of a COPY ever went to the server, so closing the connection undoes what was begun. */
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
    // A replica's word is no position of this write: the server stopped leading before it answered.
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
