import { describe, test } from 'node:test'
import fastCheck from 'fast-check'
import { expect } from 'earl'
import { FailoverSimulation } from '@nutmegcourse/model'
import type { RandomSource } from '@nutmegcourse/shared'

const SEED = 20_261_202
const RUNS = 400
const LONGEST_SCHEDULE = 2_000

const schedules = fastCheck.array(fastCheck.nat(65_535), {
  minLength: 1_000,
  maxLength: LONGEST_SCHEDULE,
  size: 'max',
})

function run(
  schedule: readonly number[],
  makeRandom?: (incarnation: number) => RandomSource,
): FailoverSimulation {
  const simulation = new FailoverSimulation(schedule[0] ?? 0, makeRandom)
  for (const choice of schedule) {
    simulation.step(choice)
    if (simulation.violations.length > 0) break
  }
  return simulation
}

describe('FailoverCore checked against the group specification', () => {
  /*
   * Guards against losing an acknowledged write when hosts restart, messages are lost, late or out
   * of order, and coordinators race. It can be lost if FailoverCore takes a step that the
   * specification does not allow.
   */
  test('takes only allowed steps, and every state keeps the invariants', context => {
    let promotions = 0
    fastCheck.assert(
      fastCheck.property(schedules, schedule => {
        const simulation = run(schedule)
        promotions += simulation.promotions
        return simulation.violations.length === 0
      }),
      { seed: SEED, numRuns: RUNS },
    )
    context.diagnostic(`seed ${SEED}, ${RUNS} schedules, ${promotions} promotions`)
    expect(promotions).toBeGreaterThan(RUNS)
  })

  test('violates the specification when terms are not drawn at random for each attempt', () => {
    const details = fastCheck.check(
      fastCheck.property(schedules, schedule => {
        return run(schedule, () => ({ next: () => 0 })).violations.length === 0
      }),
      { seed: SEED, numRuns: RUNS, endOnFailure: true },
    )
    expect(details.failed).toEqual(true)
  })
})
