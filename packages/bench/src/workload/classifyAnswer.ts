/** Classifies an error of the `pg` client as a caller would: not run, or outcome unknown. */
import { REASONS, type Reason } from '@nutmegcourse/shared'
import type { Outcome } from './operation.js'

const RETRY_AFTER = /retry-after-milliseconds=(\d+)/

interface ServerError {
  readonly code: string
  readonly message: string
  readonly hint?: string
}

export function classifyError(error: unknown): Outcome {
  if (!isServerError(error)) {
    return { kind: 'unknown', reason: error instanceof Error ? error.message : String(error) }
  }
  const reason = reasonOf(error.message)
  if (reason === null)
    return { kind: 'notRun', reason: `sqlstate_${error.code}`, retryAfterMilliseconds: null }
  if (REASONS[reason].kind === 'outcomeUnknown') return { kind: 'unknown', reason }
  const retryAfter = RETRY_AFTER.exec(error.hint ?? '')?.[1]
  return {
    kind: 'notRun',
    reason,
    retryAfterMilliseconds: retryAfter === undefined ? null : Number(retryAfter),
  }
}

/** Errors sent by a server carry a five-character SQLSTATE; socket errors do not. */
function isServerError(error: unknown): error is ServerError {
  if (!(error instanceof Error) || !('code' in error)) return false
  return typeof error.code === 'string' && /^[0-9A-Z]{5}$/.test(error.code)
}

function reasonOf(message: string): Reason | null {
  const name = message.split(':')[0] ?? ''
  return name in REASONS ? (name as Reason) : null
}
