/** Measures the failover gap by step: `npm run bench -- failover --fault kill --rounds 20`. */
import { parseArgs } from 'node:util'
import { setTimeout as delay } from 'node:timers/promises'
import { Deployment } from './deployment/index.js'
import { FAULTS, runRound, type Fault, type RoundResult } from './failover/failoverRound.js'
import { formatSpread, spreadOf } from './statistics.js'
import { CallerLoad } from './workload/callerLoad.js'
import { readFinalContents } from './workload/finalContents.js'
import { checkHistory } from './workload/history.js'

const STEPS = ['suspected', 'agreed', 'termTaken', 'fenced', 'chosen', 'promoted', 'completed']
const WARM_UP_MILLISECONDS = 2000
const LOAD = {
  sessionsPerDatabase: 12,
  thinkMilliseconds: 5,
  seed: 1,
  writeClass: 'scheduling_write',
  readClass: 'supervisor_lookup',
}

const { values } = parseArgs({
  options: {
    fault: { type: 'string', default: 'kill' },
    rounds: { type: 'string', default: '20' },
    'entry-hosts': { type: 'string', default: '6' },
  },
})
const fault = FAULTS.find(known => known === values.fault)
if (fault === undefined) throw new Error(`--fault takes one of ${FAULTS.join(', ')}`)
await measure(fault, Number(values.rounds), Number(values['entry-hosts']))

async function measure(kind: Fault, rounds: number, entryHosts: number): Promise<void> {
  const deployment = await Deployment.start({
    shape: 'atlas-quai',
    databases: 1,
    entryHosts,
    network: true,
    fleet: true,
  })
  try {
    const load = CallerLoad.start(deployment, LOAD)
    await delay(WARM_UP_MILLISECONDS)
    const results: RoundResult[] = []
    for (let round = 0; round < rounds; round += 1) {
      const result = await runRound(deployment, load, kind)
      results.push(result)
      process.stderr.write(`${kind} ${round + 1}: ${describeRound(result)}\n`)
    }
    const operations = await load.stop()
    const checkResult = checkHistory(operations, await readFinalContents(deployment))
    print(kind, results, {
      acknowledged: checkResult.acknowledged,
      lost: checkResult.lost.length,
      doubled: checkResult.doubled.length,
      ranThoughRefused: checkResult.ranThoughRefused.length,
      stale: checkResult.staleReads.length,
      unknown: checkResult.unknown,
    })
  } finally {
    await deployment.stop()
  }
}

function describeRound(result: RoundResult): string {
  const steps = [...result.steps].map(([step, at]) => `${step} ${at}`)
  return `gap ${Math.round(result.gapMilliseconds)} ms; ${steps.join(', ')}; unknown ${result.unknown}`
}

function print(
  kind: Fault,
  results: readonly RoundResult[],
  checkCounts: Readonly<Record<string, number>>,
): void {
  const gap = spreadOf(results.map(result => result.gapMilliseconds))
  const steps = Object.fromEntries(
    STEPS.map(step => [step, spreadOf(results.flatMap(result => result.steps.get(step) ?? []))]),
  )
  console.log(`gap after ${kind}, milliseconds: ${formatSpread(gap)}`)
  for (const step of STEPS)
    console.log(`  ${step.padEnd(10)} after the fault: ${formatSpread(steps[step] ?? null)}`)
  console.log(JSON.stringify({ fault: kind, gap, steps, ...checkCounts }))
}
