/** `logs`: what the entry hosts' own lines tell of one request, one change of primary, or all together. */
import { EXIT_CODES, fail, succeed, type CommandResult } from '../exitCode.js'

export type LogsQuestion =
  | { readonly kind: 'request'; readonly id: string }
  | { readonly kind: 'change'; readonly service: string }
  | { readonly kind: 'summary' }

interface LogLine {
  readonly at: string
  readonly host: string
  readonly event: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** Events that tell of changes of primary, for any service that they name. */
const CHANGE_EVENTS: ReadonlySet<string> = new Set([
  'primary_suspected',
  'primary_believed',
  'vote_failed',
  'change_claimed',
  'claim_failed',
  'claim_lost',
  'change_waits',
  'primary_chosen',
  'promotion_ordered',
  'replica_resumed',
  'order_unanswered',
  'change_done',
  'change_given_up',
])

/** Fields of every line, shown in their own places. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
  'message',
  'timestamp',
  'entryHost',
  'zone',
  'level',
  'process',
])

export function readLogs(text: string, question: LogsQuestion, json: boolean): CommandResult {
  const lines = text.split('\n').map(readLine).filter(isPresent)
  if (lines.length === 0) return fail(EXIT_CODES.usage, 'no line of an entry host in the input')
  if (question.kind === 'summary') return summarize(lines, json)
  const story = lines.filter(line => belongs(line, question)).sort(byTime)
  if (story.length === 0) {
    return fail(EXIT_CODES.usage, `no line about ${nameOf(question)} in ${lines.length} lines`)
  }
  if (json) return succeed(`${JSON.stringify(story)}\n`)
  return succeed(story.map(line => `${formatLine(line)}\n`).join(''))
}

/** Whatever stands before the object, such as a collector's own time, is passed over. */
function readLine(text: string): LogLine | null {
  const start = text.indexOf('{')
  if (start < 0) return null
  try {
    const value: unknown = JSON.parse(text.slice(start))
    if (typeof value !== 'object' || value === null) return null
    const all = value as Readonly<Record<string, unknown>>
    const { message, timestamp, entryHost } = all
    if (typeof message !== 'string' || typeof entryHost !== 'string') return null
    const fields = Object.fromEntries(
      Object.entries(all).filter(([name]) => !COMMON_FIELDS.has(name)),
    )
    const at = typeof timestamp === 'string' ? timestamp : ''
    return { at, host: entryHost, event: message, fields }
  } catch {
    // A line of another program, or one that was cut off: not of an entry host.
    return null
  }
}

function belongs(line: LogLine, question: Exclude<LogsQuestion, { kind: 'summary' }>): boolean {
  if (question.kind === 'request') return line.fields.request === question.id
  return CHANGE_EVENTS.has(line.event) && line.fields.service === question.service
}

function summarize(lines: readonly LogLine[], json: boolean): CommandResult {
  const counts = new Map<string, number>()
  for (const { event, fields } of lines) {
    const why = fields.refusal ?? fields.kind ?? fields.reason ?? fields.outcome ?? ''
    const key = typeof why === 'string' && why !== '' ? `${event} ${why}` : event
    const times = event === 'lines_left_out' ? Number(fields.lines ?? 1) : 1
    const name = event === 'lines_left_out' ? `${String(fields.of)} (left out)` : key
    counts.set(name, (counts.get(name) ?? 0) + times)
  }
  const rows = [...counts].sort(([, left], [, right]) => right - left)
  if (json) return succeed(`${JSON.stringify(Object.fromEntries(rows))}\n`)
  return succeed(rows.map(([name, count]) => `${String(count).padStart(8)}  ${name}\n`).join(''))
}

function formatLine({ at, host, event, fields }: LogLine): string {
  const told = Object.entries(fields).map(([name, value]) =>
    typeof value === 'string' ? `${name}=${value}` : `${name}=${JSON.stringify(value)}`,
  )
  return `${at}  ${host}  ${event}  ${told.join(' ')}`
}

const byTime = (left: LogLine, right: LogLine): number => left.at.localeCompare(right.at)

const nameOf = (question: Exclude<LogsQuestion, { kind: 'summary' }>): string =>
  question.kind === 'request' ? `request ${question.id}` : `service ${question.service}`

const isPresent = <Value>(value: Value | null): value is Value => value !== null
