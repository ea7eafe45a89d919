/** `logs`: finds one request or change of primary in the logs of entry hosts, or summarizes them. */
import { EXIT_CODES, fail, succeed, type CommandResult } from '../exitCode.js'

export type LogsQuery =
  | { readonly kind: 'request'; readonly id: string }
  | { readonly kind: 'change'; readonly service: string }
  | { readonly kind: 'summary' }

interface LogLine {
  readonly at: string
  readonly host: string
  readonly event: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** Events of a change of primary; each names the service in a field. */
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

/** Fields that every line has; they are left out of the listed fields. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
  'message',
  'timestamp',
  'entryHost',
  'zone',
  'level',
  'process',
])

export function readLogs(text: string, query: LogsQuery, json: boolean): CommandResult {
  const lines = text.split('\n').map(readLine).filter(isPresent)
  if (lines.length === 0) return fail(EXIT_CODES.usage, 'no line of an entry host in the input')
  if (query.kind === 'summary') return summarize(lines, json)
  const matchingLines = lines.filter(line => matches(line, query)).sort(byTime)
  if (matchingLines.length === 0) {
    return fail(EXIT_CODES.usage, `no line about ${describeQuery(query)} in ${lines.length} lines`)
  }
  if (json) return succeed(`${JSON.stringify(matchingLines)}\n`)
  return succeed(matchingLines.map(line => `${formatLine(line)}\n`).join(''))
}

/** Text before the JSON object, such as a log collector's timestamp, is skipped. */
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
    // A line of another program, or a truncated one.
    return null
  }
}

function matches(line: LogLine, query: Exclude<LogsQuery, { kind: 'summary' }>): boolean {
  if (query.kind === 'request') return line.fields.request === query.id
  return CHANGE_EVENTS.has(line.event) && line.fields.service === query.service
}

function summarize(lines: readonly LogLine[], json: boolean): CommandResult {
  const counts = new Map<string, number>()
  for (const { event, fields } of lines) {
    const why = fields.refusal ?? fields.kind ?? fields.reason ?? fields.outcome ?? ''
    const key = typeof why === 'string' && why !== '' ? `${event} ${why}` : event
    const occurrences = event === 'lines_left_out' ? Number(fields.lines ?? 1) : 1
    const name = event === 'lines_left_out' ? `${String(fields.of)} (left out)` : key
    counts.set(name, (counts.get(name) ?? 0) + occurrences)
  }
  const rows = [...counts].sort(([, left], [, right]) => right - left)
  if (json) return succeed(`${JSON.stringify(Object.fromEntries(rows))}\n`)
  return succeed(rows.map(([name, count]) => `${String(count).padStart(8)}  ${name}\n`).join(''))
}

function formatLine({ at, host, event, fields }: LogLine): string {
  const formattedFields = Object.entries(fields).map(([name, value]) =>
    typeof value === 'string' ? `${name}=${value}` : `${name}=${JSON.stringify(value)}`,
  )
  return `${at}  ${host}  ${event}  ${formattedFields.join(' ')}`
}

const byTime = (left: LogLine, right: LogLine): number => left.at.localeCompare(right.at)

const describeQuery = (query: Exclude<LogsQuery, { kind: 'summary' }>): string =>
  query.kind === 'request' ? `request ${query.id}` : `service ${query.service}`

const isPresent = <Value>(value: Value | null): value is Value => value !== null
