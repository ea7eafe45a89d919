/** `logs`: finds one request or change of primary in the logs of entry hosts, or summarizes them. */
import { EXIT_CODES, fail, succeed, type CommandResult } from '../exitCode.js'
import { changeLinesOf, linesAroundChange } from './changeLines.js'
import { formatLine, readLine, type LogLine } from './logLine.js'

export type LogsQuery =
  | { readonly kind: 'request'; readonly id: string }
  /** All changes of the primary of a service. */
  | { readonly kind: 'change'; readonly service: string }
  /** The change with this fencing token, and what happened around it. */
  | { readonly kind: 'token'; readonly token: number }
  | { readonly kind: 'summary' }

export function readLogs(text: string, query: LogsQuery, json: boolean): CommandResult {
  const lines = text.split('\n').map(readLine).filter(isPresent)
  if (lines.length === 0) return fail(EXIT_CODES.usage, 'no line of an entry host in the input')
  if (query.kind === 'summary') return summarize(lines, json)
  const matchingLines = select(lines, query).sort(byTime)
  if (matchingLines.length === 0) {
    return fail(EXIT_CODES.usage, `no line about ${describeQuery(query)} in ${lines.length} lines`)
  }
  if (json) return succeed(`${JSON.stringify(matchingLines)}\n`)
  return succeed(matchingLines.map(line => `${formatLine(line)}\n`).join(''))
}

function select(
  lines: readonly LogLine[],
  query: Exclude<LogsQuery, { kind: 'summary' }>,
): LogLine[] {
  switch (query.kind) {
    case 'request':
      return lines.filter(({ fields }) => fields.request === query.id)
    case 'change':
      return changeLinesOf(lines, query.service)
    case 'token':
      return linesAroundChange(lines, query.token)
  }
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

const byTime = (left: LogLine, right: LogLine): number => left.at.localeCompare(right.at)

function describeQuery(query: Exclude<LogsQuery, { kind: 'summary' }>): string {
  switch (query.kind) {
    case 'request':
      return `request ${query.id}`
    case 'change':
      return `service ${query.service}`
    case 'token':
      return `token ${query.token}`
  }
}

const isPresent = <Value>(value: Value | null): value is Value => value !== null
