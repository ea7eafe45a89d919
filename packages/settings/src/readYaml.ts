/** Parses YAML, validates it against a zod schema, and reports the location of each mistake. */
import { readFile } from 'node:fs/promises'
import { ResultAsync, err, ok, type Result } from 'neverthrow'
import { LineCounter, isNode, parseDocument, type Document } from 'yaml'
import { z } from 'zod'
import type { SettingsError, SettingsMistake } from './settingsError.js'

const MAX_SHOWN_VALUE_LENGTH = 60

type Path = readonly PropertyKey[]

export function readYaml<Value>(
  text: string,
  file: string,
  schema: z.ZodType<Value>,
): Result<Value, SettingsError> {
  const lines = new LineCounter()
  const document = parseDocument(text, { lineCounter: lines })
  if (document.errors.length > 0) {
    const mistakes = document.errors.map(error => ({
      path: '(document)',
      line: lines.linePos(error.pos[0]).line,
      value: 'not readable',
      message: error.message.split('\n')[0] ?? error.message,
    }))
    return err({ file, mistakes })
  }
  const checked = schema.safeParse(document.toJS())
  if (checked.success) return ok(checked.data)
  const mistakes = checked.error.issues.flatMap(issue => describeIssue(issue, document, lines))
  return err({ file, mistakes })
}

export function readYamlFile<Value>(
  path: string,
  schema: z.ZodType<Value>,
): ResultAsync<Value, SettingsError> {
  return ResultAsync.fromPromise(readFile(path, 'utf8'), (error): SettingsError => {
    const message = error instanceof Error ? error.message : String(error)
    return { file: path, mistakes: [{ path: '(file)', line: null, value: 'absent', message }] }
  }).andThen(text => readYaml(text, path, schema))
}

function describeIssue(
  issue: z.core.$ZodIssue,
  document: Document,
  lines: LineCounter,
): readonly SettingsMistake[] {
  if (issue.code !== 'unrecognized_keys')
    return [createMistake(issue.path, issue.message, document, lines)]
  return issue.keys.map(key =>
    createMistake([...issue.path, key], explainUnknownKey(key), document, lines),
  )
}

/** Operators declare targets only. Weights and hosts are rejected, as the fleet derives them. */
function explainUnknownKey(key: string): string {
  if (/weight/i.test(key)) return 'weights can not be set: the fleet derives them from the targets'
  if (/host|server|address/i.test(key)) {
    return 'hosts can not be named here: the fleet picks them from the targets'
  }
  return 'unknown key'
}

function createMistake(
  path: Path,
  message: string,
  document: Document,
  lines: LineCounter,
): SettingsMistake {
  const node = document.getIn(path, true)
  const range = isNode(node) ? node.range : null
  const found: unknown = document.getIn(path)
  const value = found === undefined ? 'absent' : JSON.stringify(found)
  return {
    path: formatPath(path),
    line: range ? lines.linePos(range[0]).line : null,
    value: value.slice(0, MAX_SHOWN_VALUE_LENGTH),
    message,
  }
}

function formatPath(path: Path): string {
  const text = path
    .map(part => (typeof part === 'number' ? `[${part}]` : `.${String(part)}`))
    .join('')
  return text === '' ? '(document)' : text.replace(/^\./, '')
}
