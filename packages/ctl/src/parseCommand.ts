/** Parses the command line into one typed command. */
import { parseArgs, type ParseArgsConfig } from 'node:util'
import { err, ok, type Result } from 'neverthrow'
import { backendServerId, type BackendServerId } from '@nutmegcourse/shared'
import type { LogsQuery } from './commands/logsCommand.js'
import type { RpcEndpoint } from './callOnce.js'
import { COMMAND_USAGE, GENERAL_USAGE, isCommandName, type CommandName } from './usage.js'

export type ExplainSubject = 'class' | 'session' | 'database'

const SUBJECTS: readonly ExplainSubject[] = ['class', 'session', 'database']

export type Command =
  | { readonly kind: 'help'; readonly text: string }
  | {
      readonly kind: 'apply'
      readonly file: string
      readonly expectVersion: number | null
      readonly changedBy: string | null
    }
  | { readonly kind: 'get' }
  | { readonly kind: 'diff'; readonly file: string }
  | { readonly kind: 'status' }
  | { readonly kind: 'explain'; readonly subject: ExplainSubject; readonly name: string }
  | { readonly kind: 'logs'; readonly question: LogsQuery; readonly files: readonly string[] }
  | { readonly kind: 'slots'; readonly endpoint: RpcEndpoint }
  | { readonly kind: 'drain'; readonly backendServer: BackendServerId; readonly undo: boolean }

export interface CommandLine {
  readonly command: Command
  readonly settingsFile: string | null
  readonly json: boolean
}

const OPTIONS = {
  settings: { type: 'string' },
  json: { type: 'boolean' },
  help: { type: 'boolean', short: 'h' },
  'expect-version': { type: 'string' },
  as: { type: 'string' },
  undo: { type: 'boolean' },
} as const satisfies ParseArgsConfig['options']

interface Options {
  readonly settings?: string | undefined
  readonly json?: boolean | undefined
  readonly help?: boolean | undefined
  readonly 'expect-version'?: string | undefined
  readonly as?: string | undefined
  readonly undo?: boolean | undefined
}

/** Options of single commands; the other commands refuse them. */
const COMMAND_OPTIONS: Readonly<Record<CommandName, readonly (keyof Options)[]>> = {
  apply: ['expect-version', 'as'],
  get: [],
  diff: [],
  status: [],
  explain: [],
  drain: ['undo'],
  logs: [],
  slots: [],
}

const MAXIMUM_PORT = 65_535

const COMMON_OPTIONS: readonly (keyof Options)[] = ['settings', 'json', 'help']

/** The error is a message for standard error. */
export function parseCommand(args: readonly string[]): Result<CommandLine, string> {
  return readArguments(args).andThen(({ values, positionals }): Result<CommandLine, string> => {
    const [name, ...operands] = positionals
    const shared = { settingsFile: values.settings ?? null, json: values.json ?? false }
    if (name === undefined || !isCommandName(name)) {
      if (values.help === true)
        return ok({ ...shared, command: { kind: 'help', text: GENERAL_USAGE } })
      return err(name === undefined ? 'no command given' : `no such command: ${name}`)
    }
    if (values.help === true) {
      return ok({ ...shared, command: { kind: 'help', text: COMMAND_USAGE[name] } })
    }
    return checkOptions(name, values)
      .andThen(() => readCommand(name, operands, values))
      .map(command => ({ ...shared, command }))
  })
}

function readArguments(
  args: readonly string[],
): Result<{ readonly values: Options; readonly positionals: readonly string[] }, string> {
  try {
    return ok(parseArgs({ args: [...args], options: OPTIONS, allowPositionals: true }))
  } catch (error) {
    return err(error instanceof Error ? error.message : String(error))
  }
}

function checkOptions(name: CommandName, values: Options): Result<void, string> {
  const allowed = [...COMMON_OPTIONS, ...COMMAND_OPTIONS[name]]
  const unsupported = (Object.keys(values) as (keyof Options)[]).find(key => !allowed.includes(key))
  return unsupported === undefined ? ok(undefined) : err(`${name} does not take --${unsupported}`)
}

function readCommand(
  name: CommandName,
  operands: readonly string[],
  values: Options,
): Result<Command, string> {
  switch (name) {
    case 'apply':
      return readApply(operands, values)
    case 'get':
    case 'status':
      return checkOperands(name, operands, 0).map(() => ({ kind: name }))
    case 'diff':
      return checkOperands(name, operands, 1).map(([file = '']) => ({ kind: 'diff', file }))
    case 'explain':
      return readExplain(operands)
    case 'logs':
      return readLogsCommand(operands)
    case 'slots':
      return readSlotsCommand(operands)
    case 'drain':
      return checkOperands(name, operands, 1).map(([server = '']) => ({
        kind: 'drain',
        backendServer: backendServerId(server),
        undo: values.undo ?? false,
      }))
  }
}

function readApply(operands: readonly string[], values: Options): Result<Command, string> {
  const versionText = values['expect-version']
  if (versionText !== undefined && !/^\d+$/.test(versionText)) {
    return err(`--expect-version takes a whole number, not ${versionText}`)
  }
  return checkOperands('apply', operands, 1).map(([file = '']) => ({
    kind: 'apply',
    file,
    expectVersion: versionText === undefined ? null : Number(versionText),
    changedBy: values.as ?? null,
  }))
}

function readExplain(operands: readonly string[]): Result<Command, string> {
  return checkOperands('explain', operands, 2).andThen(
    ([subjectText = '', name = '']): Result<Command, string> => {
      const subject = SUBJECTS.find(candidate => candidate === subjectText)
      if (subject !== undefined) return ok({ kind: 'explain', subject, name })
      return err(`explain takes one of ${SUBJECTS.join(', ')}, not ${subjectText}`)
    },
  )
}

/** `logs request ID FILE...`, `logs change SERVICE FILE...`, `logs token N FILE...` or `logs summary FILE...`. */
function readLogsCommand(operands: readonly string[]): Result<Command, string> {
  const [subject, ...rest] = operands
  const [name, ...others] = rest
  const query = readLogsQuery(subject, name)
  if (query === null) return err('logs takes request ID, change SERVICE, token N or summary')
  const files = query.kind === 'summary' ? rest : others
  if (files.length === 0) return err('logs takes one FILE or more')
  return ok({ kind: 'logs', question: query, files })
}

function readLogsQuery(subject: string | undefined, name: string | undefined): LogsQuery | null {
  if (subject === 'summary') return { kind: 'summary' }
  if (name === undefined) return null
  if (subject === 'request') return { kind: 'request', id: name }
  if (subject === 'change') return { kind: 'change', service: name }
  if (subject === 'token' && /^\d+$/.test(name)) return { kind: 'token', token: Number(name) }
  return null
}

function readSlotsCommand(operands: readonly string[]): Result<Command, string> {
  return checkOperands('slots', operands, 1).andThen(([text = '']): Result<Command, string> => {
    const endpoint = readEndpoint(text)
    if (endpoint === null) return err(`slots takes HOST:PORT, not ${text}`)
    return ok({ kind: 'slots', endpoint })
  })
}

/** An address with colons of its own stands in brackets. Null for anything else than HOST:PORT. */
function readEndpoint(text: string): RpcEndpoint | null {
  const [, bracketed, plain, portText] = /^(?:\[([^\]]+)\]|([^:]+)):(\d+)$/.exec(text) ?? []
  const address = bracketed ?? plain
  const port = Number(portText)
  if (address === undefined || port < 1 || port > MAXIMUM_PORT) return null
  return { address, port }
}

function checkOperands(
  name: CommandName,
  operands: readonly string[],
  wanted: number,
): Result<readonly string[], string> {
  if (operands.length === wanted) return ok(operands)
  return err(`${name} takes ${wanted} operand${wanted === 1 ? '' : 's'}, not ${operands.length}`)
}
