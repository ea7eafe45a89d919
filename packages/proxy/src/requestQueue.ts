/** Assembles one caller's messages into requests and queues them in order until they are finished. */
import { CallerMessage } from '@nutmegcourse/protocol'
import type { Refusal, RequestId } from '@nutmegcourse/shared'
import { CallerRequest } from './callerRequest.js'
import { readStep } from './requestSteps.js'
import type { CallerStatements } from './statementCatalog.js'

/** Limits on how far a pipelining caller is read ahead. */
const QUEUED_BYTES_LIMIT = 256 * 1024
const QUEUED_REQUESTS_LIMIT = 256
const TEXT_START = 5

export interface RequestQueueOptions {
  readonly messageLimitBytes: number
  readonly nextRequestId: () => RequestId
  /** Called with further messages of a request that has started. */
  readonly moreAvailable: (request: CallerRequest) => void
}

export class RequestQueue {
  readonly #statements: CallerStatements
  readonly #options: RequestQueueOptions
  /** In order of arrival; the first is the one being processed. */
  #requests: CallerRequest[] = []
  /** Extended-protocol messages whose Sync has not arrived. */
  #incomplete: CallerRequest | null = null
  #queuedBytes = 0

  constructor(statements: CallerStatements, options: RequestQueueOptions) {
    this.#statements = statements
    this.#options = options
  }

  get head(): CallerRequest | null {
    return this.#requests[0] ?? null
  }

  /** Whether everything that the caller has sent is finished. */
  get isEmpty(): boolean {
    return this.#requests.length === 0 && this.#incomplete === null
  }

  /** Whether reading from the caller should pause. */
  isFull(): boolean {
    if (this.#requests.length >= QUEUED_REQUESTS_LIMIT) return true
    return this.#queuedBytes > QUEUED_BYTES_LIMIT && this.#requests.length > 1
  }

  add(request: CallerRequest): void {
    this.#queuedBytes += request.bufferedBytes
    this.#requests.push(request)
  }

  /** Removes the head, which has its final answer. */
  finishHead(): void {
    const request = this.#requests.shift()
    if (request === undefined) return
    request.finished = true
    this.#queuedBytes -= request.bufferedBytes
  }

  /** Empties the queue and returns its requests. */
  clear(): readonly CallerRequest[] {
    const unfinished = this.#requests
    this.#requests = []
    this.#incomplete = null
    return unfinished
  }

  readQuery(frame: Buffer): Refusal | null {
    if (this.#incomplete !== null) return malformed('a Query inside extended messages without Sync')
    // The text is not decoded here, since routing reads at most its leading or trailing comment.
    if (frame.indexOf(0, TEXT_START) !== frame.length - 1) {
      return malformed('a Query without an end')
    }
    this.add(CallerRequest.simple(this.#options.nextRequestId(), frame))
    return null
  }

  readExtended(frame: Buffer): Refusal | null {
    const step = readStep(frame, this.#statements)
    if (step === null) return malformed(`a message of type ${frame[0] ?? 0} without an end`)
    this.#incomplete ??= CallerRequest.extended(this.#options.nextRequestId())
    this.#incomplete.add(step, frame.length)
    this.#queuedBytes += frame.length
    if (this.#incomplete.bufferedBytes <= this.#options.messageLimitBytes) return null
    return { reason: 'too_large', detail: 'messages without Sync' }
  }

  readFlush(frame: Buffer): void {
    const request = this.#incomplete
    if (request === null) return
    request.add({ kind: 'asIs', frame }, 0)
    request.flush()
    this.#enqueue(request)
  }

  readSync(frame: Buffer): void {
    const request = this.#incomplete ?? CallerRequest.extended(this.#options.nextRequestId())
    this.#incomplete = null
    request.completeWith({ kind: 'asIs', frame })
    this.#enqueue(request)
  }

  /** Queues a request at its first Flush or Sync; reports further messages if it has started. */
  #enqueue(request: CallerRequest): void {
    if (!this.#requests.includes(request)) this.#requests.push(request)
    else if (request.started) this.#options.moreAvailable(request)
  }
}

const malformed = (detail: string): Refusal => ({ reason: 'malformed', detail })

/** Whether a message is part of an extended-protocol request. Excludes the Flush and Sync that follow it. */
export const isExtended = (type: number): boolean => EXTENDED_MESSAGES.has(type)

const EXTENDED_MESSAGES: ReadonlySet<number> = new Set([
  CallerMessage.parse,
  CallerMessage.bind,
  CallerMessage.describe,
  CallerMessage.execute,
  CallerMessage.close,
])
