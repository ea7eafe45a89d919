/**
 * Reads what a caller declares about one statement in a sqlcommenter comment, such as
 * `SELECT 1 /*class='score_entry',idempotency_key='a1'*\/`.
 * SQL is not parsed. Only a comment at the start or end of the text is read, so that comment-like text
 * inside a literal is never taken for one.
 */

export interface StatementComment {
  readonly class: string | null
  readonly idempotencyKey: string | null
}

export const NO_COMMENT: StatementComment = { class: null, idempotencyKey: null }

/** Longer comments are taken for prose and ignored. */
const COMMENT_LIMIT = 2048
const PAIR = /\s*([A-Za-z0-9_%.-]+)='((?:[^'\\]|\\.)*)'\s*(?:,|$)/gy

/** `start` and `end` bound the statement's text, without its terminating zero byte. */
export function readStatementComment(bytes: Buffer, start: number, end: number): StatementComment {
  const last = lastOfText(bytes, start, end)
  if (bytes[last] === SLASH && bytes[last - 1] === STAR) {
    const opening = bytes.lastIndexOf('/*', last - 3, 'latin1')
    if (opening >= start && last - opening < COMMENT_LIMIT) {
      const found = readPairs(bytes.toString('utf8', opening + 2, last - 1))
      if (found !== NO_COMMENT) return found
    }
  }
  const first = firstOfText(bytes, start, end)
  if (bytes[first] !== SLASH || bytes[first + 1] !== STAR) return NO_COMMENT
  const closing = bytes.indexOf('*/', first + 2, 'latin1')
  if (closing < 0 || closing >= end || closing - first > COMMENT_LIMIT) return NO_COMMENT
  return readPairs(bytes.toString('utf8', first + 2, closing))
}

const SLASH = 0x2f
const STAR = 0x2a
const SEMICOLON = 0x3b
const SPACE = 0x20

function lastOfText(bytes: Buffer, start: number, end: number): number {
  let last = end - 1
  while (last > start && ((bytes[last] ?? 0) <= SPACE || bytes[last] === SEMICOLON)) last -= 1
  return last
}

function firstOfText(bytes: Buffer, start: number, end: number): number {
  let first = start
  while (first < end && (bytes[first] ?? 0) <= SPACE) first += 1
  return first
}

function readPairs(text: string): StatementComment {
  let found: StatementComment = NO_COMMENT
  PAIR.lastIndex = 0
  for (;;) {
    const pair = PAIR.exec(text)
    if (pair === null) return found
    const value = decodeValue(pair[2] ?? '')
    if (pair[1] === 'class') found = { ...found, class: value }
    if (pair[1] === 'idempotency_key') found = { ...found, idempotencyKey: value }
  }
}

/** sqlcommenter percent-encodes values and escapes quotes with a backslash. */
function decodeValue(value: string): string {
  const plain = value.replace(/\\(.)/g, '$1')
  try {
    return decodeURIComponent(plain)
  } catch {
    return plain
  }
}
