#!/usr/bin/env node
/** Runs the soak test for one or more seeds, one after the other. */
import { existsSync, mkdirSync, mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { parseArgs } from 'node:util'
import {
  CHANGE_FAULT_KINDS,
  SERIES_FAULT_KINDS,
  isCause,
  NAMED_CHANGE_FAULT_KINDS,
} from './changeFaults.js'
import { CONFIGURATION_FAULT_KINDS, CONFIGURATION_RUN_KINDS } from './configurationFaults.js'
import { DEFAULT_FAULT_KINDS, PLANNED_KINDS, type FaultKind } from './faultPlan.js'
import { ANSWER_FAULT_KINDS, ANSWER_RUN_KINDS } from './answerFaults.js'
import { runSoak, type SoakOptions } from './runSoak.js'
import type { UnsuccessfulStatement } from './soakCallerOptions.js'

const USAGE = `usage: npm run soak -- [options]
  --seed N       the first seed (default: derived from the current time)
  --seeds N      number of seeds, run one after the other (1)
  --seconds N    duration of the faults for each seed (20)
  --hosts N      number of entry hosts (6)
  --services N   number of services, each a group of three backend servers (2)
  --callers N    number of callers (24)
  --pace N       average milliseconds between the starts of two faults (600), or series (3000)
  --limit N      connection limit of a backend server (25)
  --kinds A,B    inject only these kinds of fault
  --changes      series of faults around changes of primary, which take 1,000 ms
  --configurations  a new configuration every 0.4 to 4.9 s, and faults that keep hosts from the store;
                 checks when each version is in force at each host
  --answers      servers that send answers again or only in part, and contents that look like messages; compares each
                 statement and answer with what the other side sent; beside the faults of the other options
  --load         hard load: customers, classes and callers beyond the slots of the servers,
                 during the faults and for 9 s after them
  --program F    path of another build of the entry host program
  --keep DIR     keep settings and logs in this directory
  --told         print one line of JSON to standard error for each statement without a successful answer
Prints one line of JSON for each seed. Exit code 1: a promise was broken. 2: invalid options.
130: interrupted by a signal.`

const EXIT_FINDINGS = 1
const EXIT_BAD_OPTIONS = 2
const EXIT_INTERRUPTED = 130
const PROGRAM = fileURLToPath(new URL('../../../host/dist/src/main.js', import.meta.url))

const OPTIONS = {
  seed: { type: 'string' },
  seeds: { type: 'string', default: '1' },
  seconds: { type: 'string', default: '20' },
  hosts: { type: 'string', default: '6' },
  services: { type: 'string', default: '2' },
  callers: { type: 'string', default: '24' },
  pace: { type: 'string' },
  limit: { type: 'string', default: '25' },
  kinds: { type: 'string' },
  changes: { type: 'boolean', default: false },
  configurations: { type: 'boolean', default: false },
  answers: { type: 'boolean', default: false },
  load: { type: 'boolean', default: false },
  program: { type: 'string', default: PROGRAM },
  keep: { type: 'string' },
  told: { type: 'boolean', default: false },
  help: { type: 'boolean', default: false },
} as const

interface Plan extends Omit<SoakOptions, 'directory' | 'onUnsuccessfulStatement'> {
  readonly printsUnsuccessful: boolean
  readonly seeds: number
  readonly keep: string | null
}

function usualKindsOf({
  changes,
  configurations,
  answers,
}: Readonly<Record<'changes' | 'configurations' | 'answers', boolean>>): readonly FaultKind[] {
  const besides = answers ? ANSWER_FAULT_KINDS : []
  if (changes) return [...SERIES_FAULT_KINDS, ...besides]
  if (configurations) return [...CONFIGURATION_RUN_KINDS, ...besides]
  return answers ? ANSWER_RUN_KINDS : DEFAULT_FAULT_KINDS
}

/** Returns the plan, or all mistakes in the options. */
function readOptions(): Plan | readonly string[] {
  const mistakes: string[] = []
  let values
  try {
    ;({ values } = parseArgs({ options: OPTIONS }))
  } catch (error) {
    return [error instanceof Error ? error.message : String(error)]
  }
  const count = (name: string, text: string): number => {
    const value = Number(text)
    if (!Number.isInteger(value) || value < 1) mistakes.push(`--${name}: not a positive integer`)
    return value
  }
  const kinds = values.kinds?.split(',') ?? usualKindsOf(values)
  const known = new Set<string>([
    ...DEFAULT_FAULT_KINDS,
    ...PLANNED_KINDS,
    ...CHANGE_FAULT_KINDS,
    ...NAMED_CHANGE_FAULT_KINDS,
    ...CONFIGURATION_FAULT_KINDS,
    ...ANSWER_RUN_KINDS,
  ])
  if (values.changes && !kinds.some(kind => isCause(kind as FaultKind))) {
    mistakes.push('--kinds: none of them makes hosts replace a primary')
  }
  for (const kind of kinds) {
    if (!known.has(kind)) mistakes.push(`--kinds: ${kind} is not one of ${[...known].join(', ')}`)
  }
  const plan: Plan = {
    seed: count('seed', values.seed ?? String(Date.now() % 1_000_000_000)),
    seeds: count('seeds', values.seeds),
    seconds: count('seconds', values.seconds),
    hosts: count('hosts', values.hosts),
    services: count('services', values.services),
    callers: count('callers', values.callers),
    paceMilliseconds: count('pace', values.pace ?? (values.changes ? '3000' : '600')),
    connectionLimit: count('limit', values.limit),
    kinds: kinds as readonly FaultKind[],
    hasChangeSeries: values.changes,
    judgesConfigurations: values.configurations,
    comparesAnswers: values.answers,
    isHardLoad: values.load,
    program: values.program,
    keep: values.keep ?? null,
    printsUnsuccessful: values.told,
  }
  if (!existsSync(plan.program)) mistakes.push(`--program: file not found: ${plan.program}`)
  if (values.help) mistakes.push(USAGE)
  return mistakes.length > 0 ? mistakes : plan
}

async function runSeeds(plan: Plan): Promise<void> {
  if (plan.keep !== null) mkdirSync(plan.keep, { recursive: true })
  for (let seed = plan.seed; seed < plan.seed + plan.seeds; seed += 1) {
    const directory = mkdtempSync(join(plan.keep ?? tmpdir(), `soak-${String(seed)}-`))
    const onUnsuccessfulStatement = (statement: UnsuccessfulStatement): void => {
      if (plan.printsUnsuccessful)
        process.stderr.write(`${JSON.stringify({ seed, ...statement })}\n`)
    }
    const report = await runSoak({ ...plan, seed, directory, onUnsuccessfulStatement })
    process.stdout.write(`${JSON.stringify(report)}\n`)
    const isClean = report.findings.length === 0
    if (!isClean) process.exitCode = EXIT_FINDINGS
    if (plan.keep === null) rmSync(directory, { recursive: true, force: true })
  }
}

// A signal ends this process through `exit`, whose handlers kill the entry hosts.
for (const name of ['SIGINT', 'SIGTERM'] as const) {
  process.once(name, () => process.exit(EXIT_INTERRUPTED))
}

const plan = readOptions()
if ('seeds' in plan) await runSeeds(plan)
else {
  for (const mistake of plan) process.stderr.write(`${mistake}\n`)
  process.exitCode = EXIT_BAD_OPTIONS
}
