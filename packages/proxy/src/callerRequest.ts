/**
 * One request of a caller: a simple Query, or extended-protocol messages up to Sync. The core routes each
 * request to one connection, and it gets exactly one final answer.
 */
import { FRAME_HEADER_BYTES, readStatementComment } from '@nutmegcourse/protocol'
import { className, type ClassName, type RequestId, type Refusal } from '@nutmegcourse/shared'
import type { RequestStep } from './requestSteps.js'

export type RequestShape =
  { readonly kind: 'simple'; readonly frame: Buffer } | { readonly kind: 'extended' }

export class CallerRequest {
  readonly id: RequestId
  readonly shape: RequestShape
  /** Extended-protocol messages received so far; empty for a simple query. */
  readonly steps: RequestStep[] = []
  /** Number of steps that may be sent, as a Flush or Sync follows them. */
  sendableSteps = 0
  /** Whether the caller has sent the whole request. */
  complete: boolean
  bufferedBytes: number
  /** Named by a comment in one of its statements. */
  commentClass: ClassName | null = null
  idempotencyKey: string | null = null
  /** Set when the request is submitted to the core. */
  class: ClassName | null = null
  /** Refusal that replaces the core's, set if the proxy closed the connection because of the request. */
  replacementRefusal: Refusal | null = null
  /** `startupSettings` marks a request made by the proxy, whose answer the caller does not receive. */
  purpose: 'statement' | 'startupSettings' = 'statement'
  started = false
  finished = false

  private constructor(id: RequestId, shape: RequestShape) {
    this.id = id
    this.shape = shape
    this.complete = shape.kind === 'simple'
    this.bufferedBytes = shape.kind === 'simple' ? shape.frame.length : 0
  }

  static simple(id: RequestId, frame: Buffer): CallerRequest {
    const request = new CallerRequest(id, { kind: 'simple', frame })
    const comment = readStatementComment(frame, FRAME_HEADER_BYTES, frame.length - 1)
    request.commentClass = asClass(comment.class)
    request.idempotencyKey = comment.idempotencyKey
    return request
  }

  static extended(id: RequestId): CallerRequest {
    return new CallerRequest(id, { kind: 'extended' })
  }

  add(step: RequestStep, bytes: number): void {
    this.steps.push(step)
    this.bufferedBytes += bytes
    if (step.kind !== 'parse' && step.kind !== 'use') return
    const comment = step.statement?.comment
    this.commentClass ??= asClass(comment?.class ?? null)
    this.idempotencyKey ??= comment?.idempotencyKey ?? null
  }

  /** Allows all steps received so far to be sent. */
  flush(): void {
    this.sendableSteps = this.steps.length
  }

  completeWith(sync: RequestStep): void {
    this.steps.push(sync)
    this.sendableSteps = this.steps.length
    this.complete = true
  }

  /**
   * The whole text of a simple query, which may contain several statements; for an extended request the
   * text of its only statement, or null if it has none or several.
   */
  get statementText(): string | null {
    if (this.shape.kind === 'simple') {
      const { frame } = this.shape
      return frame.toString('utf8', FRAME_HEADER_BYTES, frame.length - 1)
    }
    const statements = new Set(
      this.steps.flatMap(step =>
        (step.kind === 'parse' || step.kind === 'use') && step.statement !== null
          ? [step.statement]
          : [],
      ),
    )
    const [only] = statements
    if (only === undefined || statements.size !== 1) return null
    return only.body.toString('utf8', 0, Math.max(0, only.body.indexOf(0)))
  }
}

const asClass = (text: string | null): ClassName | null => (text === null ? null : className(text))
