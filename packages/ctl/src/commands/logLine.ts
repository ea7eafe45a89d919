/** One line of the log of an entry host. */

export interface LogLine {
  readonly at: string
  readonly host: string
  readonly event: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** Fields that every line has; they are left out of the listed fields. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
  'message',
  'timestamp',
  'entryHost',
  'zone',
  'level',
  'process',
])

/** Text before the JSON object, such as a log collector's timestamp, is skipped. */
export function readLine(text: string): LogLine | null {
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

export function formatLine({ at, host, event, fields }: LogLine): string {
  const formattedFields = Object.entries(fields).map(([name, value]) =>
    typeof value === 'string' && !UNPRINTABLE.test(value)
      ? `${name}=${value}`
      : `${name}=${escaped(JSON.stringify(value))}`,
  )
  return `${at}  ${host}  ${event}  ${formattedFields.join(' ')}`
}

/** Control characters and line ends of Unicode. */
const UNPRINTABLE = /[\p{Cc}\u2028\u2029]/u

/** Of these JSON escapes the first 32 only. */
const escaped = (json: string): string =>
  json.replace(
    /[\u007f-\u009f\u2028\u2029]/g,
    character => `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`,
  )
