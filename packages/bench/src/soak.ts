/**
 * Injects random faults, several at once, into a whole deployment under load, and then checks the
 * answers that callers received.
 * `node packages/bench/dist/src/soak.js --seconds 30 --seed 1 [--databases 1]
 *   [--deployment atlas-quai|shutterbaithak] [--faults 2]
 *   [--pace 3000] [--keep-logs DIRECTORY]`.
 * The last line is one JSON object. The exit code is 1 if a guarantee was broken or writes did not
 * recover.
 */
import { cpSync } from 'node:fs'
import { setTimeout as delay } from 'node:timers/promises'
import { parseArgs } from 'node:util'
import { SeededRandom, type Milliseconds } from '@nutmegcourse/shared'
import { Deployment, SHAPES } from './deployment/index.js'
import { pickFault, type Fault } from './soak/faults.js'
import { CallerLoad } from './workload/callerLoad.js'
import { readFinalContents } from './workload/finalContents.js'
import { checkHistory, type HistoryCheckResult } from './workload/history.js'
import { longestWriteGap } from './workload/writeGap.js'

const MIN_STEP_MILLISECONDS = 300
const RECOVERY_MILLISECONDS = 20_000
const WARM_UP_MILLISECONDS = 2500

const { values } = parseArgs({
  options: {
    seconds: { type: 'string', default: '30' },
    seed: { type: 'string', default: '1' },
    databases: { type: 'string', default: '1' },
    /** Maximum number of concurrent faults. */
    faults: { type: 'string', default: '2' },
    /** Maximum time between two steps, in milliseconds. */
    pace: { type: 'string', default: '3000' },
    deployment: { type: 'string', default: 'atlas-quai' },
    /** Copies settings, data and logs of every process to this directory. */
    'keep-logs': { type: 'string' },
  },
})

const shape = SHAPES[values.deployment === 'shutterbaithak' ? 'shutterbaithak' : 'atlas-quai']
const classOf = (access: 'read' | 'write'): string =>
  shape.targets.classes.find(each => each.access === access)?.name ?? ''
const random = new SeededRandom(Number(values.seed))
const deployment = await Deployment.start({
  shape: shape.name,
  databases: Number(values.databases),
  entryHosts: 3,
  network: true,
  fleet: true,
})
await delay(WARM_UP_MILLISECONDS)
const load = CallerLoad.start(deployment, {
  sessionsPerDatabase: 6,
  thinkMilliseconds: 5,
  probeMilliseconds: 25,
  seed: Number(values.seed),
  writeClass: classOf('write'),
  readClass: classOf('read'),
})
const start = load.now()
const log = (text: string): void => {
  process.stdout.write(`${Math.round(load.now() - start)} ms: ${text}\n`)
}

await injectFaults(Number(values.seconds) * 1000)
const recovered = await waitForRecovery()
const operations = await load.stop()
const checkResult = checkHistory(operations, await readFinalContents(deployment))
const logDirectory = values['keep-logs']
if (logDirectory !== undefined) cpSync(deployment.directory, logDirectory, { recursive: true })
await deployment.stop()
process.stdout.write(`${JSON.stringify(summarize(checkResult))}\n`)
process.exitCode = recovered && isClean(checkResult) ? 0 : 1

async function injectFaults(span: number): Promise<void> {
  const activeFaults: Fault[] = []
  while (load.now() - start < span) {
    const shouldHeal = activeFaults.length >= Number(values.faults) || random.next() < 0.4
    const oldest = shouldHeal ? activeFaults.shift() : undefined
    if (oldest !== undefined) await heal(oldest)
    else await injectRandomFault(activeFaults)
    await delay(
      MIN_STEP_MILLISECONDS + random.next() * (Number(values.pace) - MIN_STEP_MILLISECONDS),
    )
  }
  for (const fault of activeFaults) await heal(fault)
}

async function injectRandomFault(activeFaults: Fault[]): Promise<void> {
  const fault = pickFault(deployment, random)
  if (activeFaults.some(other => other.name === fault.name)) return
  log(fault.name)
  await fault.inject()
  activeFaults.push(fault)
}

async function heal(fault: Fault): Promise<void> {
  await fault.heal()
  log(`healed: ${fault.name}`)
}

/** Waits until every database accepts writes again and logs how long that took. */
async function waitForRecovery(): Promise<boolean> {
  const healedAt = load.now()
  const missing = (): readonly string[] =>
    deployment.plan.databases.map(each => each.id).filter(id => !acknowledgedSince(id, healedAt))
  while (missing().length > 0) {
    if (load.now() - healedAt > RECOVERY_MILLISECONDS) {
      log(`writes did not recover on ${missing().join(', ')}`)
      return false
    }
    await delay(20)
  }
  log(
    `writes succeed on every database ${Math.round(load.now() - healedAt)} ms after the last heal`,
  )
  await delay(1000)
  return true
}

function acknowledgedSince(database: string, moment: Milliseconds): boolean {
  return load.operations.some(
    operation =>
      operation.kind !== 'counterRead' &&
      operation.database === database &&
      operation.startedAt > moment &&
      operation.outcome.kind === 'acknowledged',
  )
}

function summarize(result: HistoryCheckResult): Record<string, unknown> {
  const [first] = deployment.plan.databases
  return {
    ...result,
    seed: Number(values.seed),
    refusals: Object.fromEntries(result.refusals),
    longestWriteSilenceMilliseconds: longestWriteGap(operations, first?.id ?? '', start),
  }
}

function isClean(result: HistoryCheckResult): boolean {
  const { lost, doubled, ranThoughRefused, staleReads } = result
  return [lost, doubled, ranThoughRefused, staleReads].every(each => each.length === 0)
}
