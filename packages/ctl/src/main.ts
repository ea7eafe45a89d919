#!/usr/bin/env node
/** Entry point of `nutmegcoursectl`, the operators' command-line tool. */
import { randomUUID } from 'node:crypto'
import { readFile } from 'node:fs/promises'
import { userInfo } from 'node:os'
import { text } from 'node:stream/consumers'
import { ResultAsync, okAsync } from 'neverthrow'
import { ctlSettingsSchema, formatSettingsError, readYamlFile } from '@nutmegcourse/settings'
import { EXIT_CODES, fail, succeed, type CommandResult } from './exitCode.js'
import { readLogs, type LogsQuery } from './commands/logsCommand.js'
import { showSlots } from './commands/slotsCommand.js'
import { parseCommand } from './parseCommand.js'
import { runCommand, type CommandContext, type FleetCommand } from './runCommand.js'
import { readSlots } from './slotsOverHttp.js'
import { GENERAL_USAGE } from './usage.js'

const SETTINGS_VARIABLE = 'NUTMEGCOURSECTL_SETTINGS'
const STANDARD_INPUT = '-'

async function main(args: readonly string[]): Promise<CommandResult> {
  const parsed = parseCommand(args)
  if (parsed.isErr()) return fail(EXIT_CODES.usage, `${parsed.error}\n\n${GENERAL_USAGE}`)
  const { command, json } = parsed.value
  if (command.kind === 'help') return succeed(command.text)
  if (command.kind === 'logs') return readLogFiles(command.files, command.question, json)
  if (command.kind === 'slots') return showSlots(readSlots, command.endpoint, json)
  const settingsFile = parsed.value.settingsFile ?? process.env[SETTINGS_VARIABLE]
  if (settingsFile === undefined) {
    return fail(EXIT_CODES.usage, `no settings: give --settings FILE or set ${SETTINGS_VARIABLE}`)
  }
  const settings = await readYamlFile(settingsFile, ctlSettingsSchema)
  if (settings.isErr()) return fail(EXIT_CODES.usage, formatSettingsError(settings.error))
  const document = await readOperand(command)
  if (document.isErr()) return fail(EXIT_CODES.usage, document.error)
  const context: CommandContext = {
    settings: settings.value,
    document: document.value,
    json,
    operator: userInfo().username,
    changeId: randomUUID(),
  }
  return runCommand(command, context)
}

async function readLogFiles(
  files: readonly string[],
  query: LogsQuery,
  json: boolean,
): Promise<CommandResult> {
  const texts = await toResult(Promise.all(files.map(readText)))
  if (texts.isErr()) return fail(EXIT_CODES.usage, texts.error)
  return readLogs(texts.value.join('\n'), query, json)
}

function readOperand(command: FleetCommand): ResultAsync<string, string> {
  const hasFile = command.kind === 'apply' || command.kind === 'diff'
  return hasFile ? toResult(readText(command.file)) : okAsync('')
}

const toResult = <Text>(reading: Promise<Text>): ResultAsync<Text, string> =>
  ResultAsync.fromPromise(reading, error =>
    error instanceof Error ? error.message : String(error),
  )

const readText = (file: string): Promise<string> =>
  file === STANDARD_INPUT ? text(process.stdin) : readFile(file, 'utf8')

const result = await main(process.argv.slice(2))
process.stdout.write(result.output)
if (result.errorOutput !== '') process.stderr.write(`${result.errorOutput.trimEnd()}\n`)
process.exitCode = result.exitCode
