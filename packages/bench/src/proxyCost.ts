/**
 * Measures the cost of the proxy relative to a direct connection and to a plain byte relay in the
 * same run. The targets are measured in turn, so that other load on the machine affects them
 * equally. The last line is one JSON object.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { parseArgs } from 'node:util'
import { CostFixture, READ_CLASS, WRITE_CLASS } from './proxyCost/costFixture.js'
import { openCallers, runLoad, type LoadResult } from './proxyCost/loadGenerator.js'

const { values } = parseArgs({
  options: {
    milliseconds: { type: 'string', default: '1000' },
    rounds: { type: 'string', default: '5' },
    callers: { type: 'string', default: '1,32,256' },
    idle: { type: 'string', default: '2000' },
  },
})

const MILLISECONDS = Number(values.milliseconds)
const ROUNDS = Number(values.rounds)
const CALLERS = values.callers.split(',').map(Number)
const IDLE_CALLERS = Number(values.idle)
const SETTLING_MILLISECONDS = 1000

type Target = 'direct' | 'relay' | 'proxyReads' | 'proxyWrites'
const TARGETS: readonly Target[] = ['direct', 'relay', 'proxyReads', 'proxyWrites']

function runTarget(fixture: CostFixture, target: Target, callers: number): Promise<LoadResult> {
  const plan = { callers, milliseconds: MILLISECONDS, className: READ_CLASS }
  switch (target) {
    case 'direct':
      return runLoad({ ...plan, port: fixture.directPort, processId: fixture.processId('primary') })
    case 'relay':
      return runLoad({ ...plan, port: fixture.relayPort, processId: fixture.processId('relay') })
    case 'proxyReads':
      return runLoad({ ...plan, port: fixture.proxyPort, processId: fixture.processId('proxy') })
    case 'proxyWrites': {
      const writes = { ...plan, className: WRITE_CLASS }
      return runLoad({ ...writes, port: fixture.proxyPort, processId: fixture.processId('proxy') })
    }
  }
}

const median = (numbers: readonly number[]): number =>
  [...numbers].sort((left, right) => left - right)[Math.floor(numbers.length / 2)] ?? Number.NaN

function summarize(results: readonly LoadResult[]): LoadResult {
  return {
    perSecond: Math.round(median(results.map(each => each.perSecond))),
    p50Microseconds: median(results.map(each => each.p50Microseconds)),
    p99Microseconds: median(results.map(each => each.p99Microseconds)),
    errors: results.reduce((sum, each) => sum + each.errors, 0),
    processorMicroseconds: Math.round(median(results.map(each => each.processorMicroseconds))),
  }
}

async function measure(fixture: CostFixture, callers: number): Promise<Record<Target, LoadResult>> {
  const results: Record<Target, LoadResult[]> = {
    direct: [],
    relay: [],
    proxyReads: [],
    proxyWrites: [],
  }
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const target of TARGETS) results[target].push(await runTarget(fixture, target, callers))
  }
  const summary = {
    direct: summarize(results.direct),
    relay: summarize(results.relay),
    proxyReads: summarize(results.proxyReads),
    proxyWrites: summarize(results.proxyWrites),
  }
  for (const target of TARGETS) {
    const { perSecond, p50Microseconds, p99Microseconds, errors, processorMicroseconds } =
      summary[target]
    const times = [p50Microseconds, p99Microseconds, processorMicroseconds]
    const cells = [callers, target, perSecond, ...times, errors]
    console.log(cells.map(cell => String(cell).padStart(12)).join(' '))
  }
  return summary
}

async function measureIdle(fixture: CostFixture): Promise<number> {
  const before = await fixture.proxyResidentBytes()
  const sockets = await openCallers(fixture.proxyPort, IDLE_CALLERS, READ_CLASS)
  await pause(SETTLING_MILLISECONDS)
  const after = await fixture.proxyResidentBytes()
  for (const socket of sockets) socket.destroy()
  return Math.round((after - before) / IDLE_CALLERS)
}

const fixture = await CostFixture.start()
try {
  await pause(SETTLING_MILLISECONDS)
  const idleBytes = await measureIdle(fixture)
  console.log(`memory for each of ${IDLE_CALLERS} idle callers: ${idleBytes} bytes`)
  console.log(
    ['callers', 'target', 'per second', 'p50 us', 'p99 us', 'cpu us', 'errors']
      .map(cell => cell.padStart(12))
      .join(' '),
  )
  const byCallers: Record<string, unknown> = {}
  for (const callers of CALLERS) {
    const { direct, relay, proxyReads, proxyWrites } = await measure(fixture, callers)
    byCallers[callers] = {
      direct,
      relay,
      proxyReads,
      proxyWrites,
      readThroughputOverRelay: Number((proxyReads.perSecond / relay.perSecond).toFixed(3)),
      readThroughputOverDirect: Number((proxyReads.perSecond / direct.perSecond).toFixed(3)),
      readP50AddedMicroseconds: proxyReads.p50Microseconds - direct.p50Microseconds,
    }
  }
  console.log(JSON.stringify({ rounds: ROUNDS, milliseconds: MILLISECONDS, idleBytes, byCallers }))
} finally {
  await fixture.stop()
}
process.exit(0)
