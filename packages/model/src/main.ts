/** Explores the specifications within the bounds given on the command line and prints the results. */
import { parseArgs } from 'node:util'

import { SeededRandom } from '@nutmegcourse/shared'

import { exploreConfiguration } from './configurationExploration.js'
import { FailoverSimulation } from './failoverSimulation.js'
import { describeExploration } from './explore.js'
import { exploreGroup } from './groupExploration.js'

const USAGE =
  'usage: main.js [--attempts 2] [--writes 1] [--reads] [--changes 2] [--hosts 2] ' +
  '[--schedules 100] [--seed 1]'
const STEPS_PER_SCHEDULE = 2_000
/** A choice encodes both the kind of step and which of the possible steps of that kind is taken. */
const CHOICE_COUNT = 65_536

/** Runs the production FailoverCore through random schedules; reports the first violation. */
function runSchedules(schedules: number, seed: number): string {
  let promotions = 0
  for (let index = 0; index < schedules; index += 1) {
    const simulation = new FailoverSimulation(seed + index)
    const random = new SeededRandom(seed + index)
    for (let step = 0; step < STEPS_PER_SCHEDULE; step += 1) {
      simulation.step(Math.floor(random.next() * CHOICE_COUNT))
      const [violation] = simulation.violations
      if (violation !== undefined) return `schedule ${seed + index}, step ${step}: ${violation}`
    }
    promotions += simulation.promotions
  }
  return `schedules ${schedules} from seed ${seed}: ${promotions} promotions, no violation`
}

const { values } = parseArgs({
  options: {
    attempts: { type: 'string', default: '2' },
    writes: { type: 'string', default: '1' },
    reads: { type: 'boolean', default: false },
    changes: { type: 'string', default: '2' },
    hosts: { type: 'string', default: '2' },
    schedules: { type: 'string', default: '100' },
    seed: { type: 'string', default: '1' },
    help: { type: 'boolean', default: false },
  },
})

if (values.help) {
  console.log(USAGE)
} else {
  const { reads } = values
  const bounds = { attempts: Number(values.attempts), writes: Number(values.writes), reads }
  console.log(describeExploration('group', bounds, exploreGroup(bounds, 'none')))
  const limits = { changes: Number(values.changes), hosts: Number(values.hosts) }
  console.log(describeExploration('configuration', limits, exploreConfiguration(limits, 'none')))
  console.log(runSchedules(Number(values.schedules), Number(values.seed)))
}
