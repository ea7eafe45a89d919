/**
 * Runs a small deployment under load through a killed primary, its restart and a planned move, and
 * checks the answers that callers received.
 */
import { setTimeout as pause } from 'node:timers/promises'
import type { Targets } from '@nutmegcourse/protocol'
import { SystemClock, type Milliseconds } from '@nutmegcourse/shared'
import { Deployment } from './deployment/index.js'
import { readDemoOptions, type DemoOptions } from './demo/demoOptions.js'
import { formatReport, isClean, makeReport, type DemoReport } from './demo/demoReport.js'
import { CallerLoad } from './workload/callerLoad.js'
import { readFinalContents } from './workload/finalContents.js'
import { checkHistory } from './workload/history.js'
import { longestWriteGap } from './workload/writeGap.js'

const SESSIONS_PER_DATABASE = 10
const THINK_MILLISECONDS = 20
/** Times of the faults, as shares of the length of the run. */
const KILL_AT_SHARE = 0.3
const RESTART_AT_SHARE = 0.5
const MOVE_AT_SHARE = 0.7
/** The longest gap is searched for within this time after an event. */
const GAP_WINDOW_MILLISECONDS = 5000
const SERVICE_MILLISECONDS = 1

const clock = new SystemClock()
const log = (text: string): void => {
  process.stderr.write(`${text}\n`)
}

interface FaultTimes {
  readonly killedAt: Milliseconds
  readonly movedAt: Milliseconds
}

async function main(): Promise<number> {
  const options = readDemoOptions(process.argv.slice(2))
  log(`starting ${options.deployment}: 3 databases, ${options.entryHosts} entry hosts`)
  const deployment = await Deployment.start({
    shape: options.deployment,
    databases: 3,
    entryHosts: options.entryHosts,
    network: true,
    fleet: true,
    serviceMilliseconds: SERVICE_MILLISECONDS,
  })
  try {
    const report = await runDemo(deployment, options)
    process.stdout.write(`${formatReport(report)}\n${JSON.stringify(report)}\n`)
    return isClean(report) ? 0 : 1
  } finally {
    await deployment.stop()
  }
}

async function runDemo(deployment: Deployment, options: DemoOptions): Promise<DemoReport> {
  const { databases, shape } = deployment.plan
  const load = CallerLoad.start(deployment, {
    sessionsPerDatabase: SESSIONS_PER_DATABASE,
    thinkMilliseconds: THINK_MILLISECONDS,
    seed: options.seed,
    writeClass: classWithAccess('write', shape.targets),
    readClass: classWithAccess('read', shape.targets),
  })
  const times = await runScenario(deployment, options)
  log('stopping the callers')
  await load.stop()
  const interRegionBytes = await deployment.interRegionBytes()
  const checkResult = checkHistory(load.operations, await readFinalContents(deployment))
  const [database = ''] = databases.map(entry => entry.id)
  const gapAfter = (from: Milliseconds): number => {
    const inWindow = load.operations.filter(each => each.endedAt <= from + GAP_WINDOW_MILLISECONDS)
    return longestWriteGap(inWindow, database, from)
  }
  return makeReport({
    operations: load.operations,
    checkResult,
    targets: shape.targets,
    failoverGap: gapAfter(times.killedAt),
    plannedMoveGap: gapAfter(times.movedAt),
    interRegionBytes,
  })
}

/** Faults affect only the first database; the others show the effect on unrelated callers. */
async function runScenario(deployment: Deployment, options: DemoOptions): Promise<FaultTimes> {
  const span = options.seconds * 1000
  const database = deployment.database(0)
  const currentPrimary = async (): Promise<string> =>
    (await deployment.platform.groupRecord(database.id)).primary ?? ''
  await pause(span * KILL_AT_SHARE)
  const victim = await currentPrimary()
  log(`killing the primary ${victim}`)
  const killedAt = clock.now()
  await deployment.kill(victim)
  await pause(span * (RESTART_AT_SHARE - KILL_AT_SHARE))
  log(`${await currentPrimary()} is now the primary; restarting ${victim}`)
  await deployment.restart(victim)
  await pause(span * (MOVE_AT_SHARE - RESTART_AT_SHARE))
  const moved = await currentPrimary()
  log(`starting a planned move of the primary away from ${moved}`)
  const movedAt = clock.now()
  await deployment.platform.markLeaving(moved)
  await pause(span * (1 - MOVE_AT_SHARE))
  log(`${await currentPrimary()} is now the primary`)
  return { killedAt, movedAt }
}

function classWithAccess(access: 'read' | 'write', targets: Targets): string {
  const found = targets.classes.find(entry => entry.access === access)
  if (found === undefined) throw new Error(`no class with ${access} access in the targets`)
  return found.name
}

process.exitCode = await main()
