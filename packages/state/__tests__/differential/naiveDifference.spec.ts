import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { Fleet } from './fleet.js'
import { fleetHistory, type FleetHistory } from './fleetActions.js'
import { MUTATIONS, type Mutation } from './mutations.js'

/**
 * Callers write and read through two proxies while servers crash, lag, are partitioned and replaced, and
 * answers get lost. Guards against lost or duplicated writes, writes that ran although they were refused, sessions
 * that do not see their own writes, and answers that reach another caller. Each would be caused by a decision of the
 * core, because the shells and servers here make none.
 */
const SEED = 20260730
const RUNS = Number(process.env.NUTMEGCOURSE_DIFFERENTIAL_RUNS ?? 150)
const MOST_RUNS_TO_COUNTEREXAMPLE = 1500

function violationsOf(history: FleetHistory, mutation: Mutation = {}): readonly string[] {
  return new Fleet(history.seed, mutation).run(history.actions)
}

describe('two proxies against the naive database', () => {
  it(`gives callers only answers that the naive database could give, in ${RUNS} histories`, () => {
    fc.assert(
      fc.property(fleetHistory, history => {
        expect(violationsOf(history)).toEqual([])
      }),
      { seed: SEED, numRuns: RUNS },
    )
  })

  for (const [name, mutation] of Object.entries(MUTATIONS)) {
    it(`detects the mutation ${name}`, () => {
      const details = fc.check(
        fc.property(fleetHistory, history => violationsOf(history, mutation).length === 0),
        { seed: SEED, numRuns: MOST_RUNS_TO_COUNTEREXAMPLE, endOnFailure: true },
      )
      expect(details.failed).toEqual(true)
    })
  }
})
