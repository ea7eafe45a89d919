#!/usr/bin/env node
/** Runs the soak for one seed or several, one after the other. */
import { existsSync, mkdirSync, mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { parseArgs } from 'node:util'
import { FAULT_KINDS, PLANNED_KINDS, type FaultKind } from './faultPlan.js'
import { runSoak, type SoakOptions } from './runSoak.js'
import type { ToldStatement } from './soakCaller.js'

const USAGE = `usage: npm run soak -- [options]
  --seed N       the first seed (default: drawn from the time)
  --seeds N      how many seeds, one after the other (1)
  --seconds N    faults for so long, each seed (20)
  --hosts N      entry hosts (6)
  --services N   groups of three backend servers (2)
  --callers N    callers (24)
  --pace N       milliseconds from one fault to the next, on average (600)
  --limit N      connections that a backend server takes (25)
  --kinds A,B    only these faults
  --program F    another build of the entry host's program
  --keep DIR     keep settings and logs there
  --told         one line of JSON on standard error for each statement that got no ordinary answer
Each seed ends with one line of JSON. Exit code 1: a promise was broken. 2: bad options.
130: broken off by a signal.`

const EXIT_FOUND = 1
const EXIT_BAD_OPTIONS = 2
const EXIT_BROKEN_OFF = 130
const PROGRAM = fileURLToPath(new URL('../../../host/dist/src/main.js', import.meta.url))

const OPTIONS = {
  seed: { type: 'string' },
  seeds: { type: 'string', default: '1' },
  seconds: { type: 'string', default: '20' },
  hosts: { type: 'string', default: '6' },
  services: { type: 'string', default: '2' },
  callers: { type: 'string', default: '24' },
  pace: { type: 'string', default: '600' },
  limit: { type: 'string', default: '25' },
  kinds: { type: 'string' },
  program: { type: 'string', default: PROGRAM },
  keep: { type: 'string' },
  told: { type: 'boolean', default: false },
  help: { type: 'boolean', default: false },
} as const

interface Plan extends Omit<SoakOptions, 'directory' | 'onTold'> {
  readonly told: boolean
  readonly seeds: number
  readonly keep: string | null
}

/** The plan, or every mistake in the options. */
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
    if (!Number.isInteger(value) || value < 1) mistakes.push(`--${name}: a whole number above 0`)
    return value
  }
  const kinds = values.kinds === undefined ? FAULT_KINDS : values.kinds.split(',')
  const known = new Set<string>([...FAULT_KINDS, ...PLANNED_KINDS])
  for (const kind of kinds) {
    if (!known.has(kind)) mistakes.push(`--kinds: ${kind} is none of ${[...known].join(', ')}`)
  }
  const plan: Plan = {
    seed: count('seed', values.seed ?? String(Date.now() % 1_000_000_000)),
    seeds: count('seeds', values.seeds),
    seconds: count('seconds', values.seconds),
    hosts: count('hosts', values.hosts),
    services: count('services', values.services),
    callers: count('callers', values.callers),
    paceMilliseconds: count('pace', values.pace),
    connectionLimit: count('limit', values.limit),
    kinds: kinds as readonly FaultKind[],
    program: values.program,
    keep: values.keep ?? null,
    told: values.told,
  }
  if (!existsSync(plan.program)) mistakes.push(`--program: no file ${plan.program}`)
  if (values.help) mistakes.push(USAGE)
  return mistakes.length > 0 ? mistakes : plan
}

async function runSeeds(plan: Plan): Promise<void> {
  if (plan.keep !== null) mkdirSync(plan.keep, { recursive: true })
  for (let seed = plan.seed; seed < plan.seed + plan.seeds; seed += 1) {
    const directory = mkdtempSync(join(plan.keep ?? tmpdir(), `soak-${String(seed)}-`))
    const onTold = (told: ToldStatement): void => {
      if (plan.told) process.stderr.write(`${JSON.stringify({ seed, ...told })}\n`)
    }
    const report = await runSoak({ ...plan, seed, directory, onTold })
    process.stdout.write(`${JSON.stringify(report)}\n`)
    const isClean = report.findings.length === 0
    if (!isClean) process.exitCode = EXIT_FOUND
    if (plan.keep === null) rmSync(directory, { recursive: true, force: true })
  }
}

// The end of this process ends its hosts, if it comes by `exit`.
for (const name of ['SIGINT', 'SIGTERM'] as const) {
  process.once(name, () => process.exit(EXIT_BROKEN_OFF))
}

const plan = readOptions()
if ('seeds' in plan) await runSeeds(plan)
else {
  for (const mistake of plan) process.stderr.write(`${mistake}\n`)
  process.exitCode = EXIT_BAD_OPTIONS
}
