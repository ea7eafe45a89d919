import { describe, test } from 'node:test'
import { expect } from 'earl'
import type { FailoverMessage } from '@nutmegcourse/coordination'

import { FailoverSimulation, type SimulationOptions } from './failoverSimulation.js'
import { isAnnounced } from './failoverScenario.js'

const WARM_UP_MILLISECONDS = 1_000
const MOVE_MILLISECONDS = 8_000

interface LateCase {
  readonly name: string
  readonly options?: SimulationOptions
  readonly act: (simulation: FailoverSimulation) => void
}

/** The far host writes seldom enough that the primary's log is idle between two of its writes. */
const SELDOM = { writeIntervals: [5, 5, 40] }

type StopMoment = (
  simulation: FailoverSimulation,
  host: number,
  message: FailoverMessage,
) => boolean

/** Stalls a host for a while, from the first message on that fits the moment. */
function stallHost(simulation: FailoverSimulation, span: number, isMoment: StopMoment): void {
  let isDone = false
  simulation.observeMessage = (host, message) => {
    if (isDone || !isMoment(simulation, host, message)) return
    isDone = true
    simulation.network.schedule(0, () => {
      simulation.network.freeze(simulation.hostName(host))
    })
    simulation.network.schedule(span, () => {
      simulation.thawTimersFirst(host)
    })
  }
}

/** Another host tells this one that it has begun the change. */
const learnsOfChange: StopMoment = (simulation, host, message) =>
  message.kind === 'record' &&
  message.record.phase.kind === 'fencing' &&
  message.record.coordinator !== simulation.hostName(host)

/** The coordinator has given the move up and waits for the store to take it back. */
const hasAbandoned: StopMoment = (simulation, host) =>
  simulation.hostName(host) === simulation.store.stored.record?.coordinator &&
  simulation.steps().includes('moveAbandoned')

/*
 * An operator drains the primary's backend server while one process of the fleet is late. Guards
 * against a write that the old primary cuts when it is fenced: its caller can not know whether it
 * ran, though nothing has failed.
 */
describe('a planned move cuts no write', () => {
  const cases: readonly LateCase[] = [
    { name: 'when every proxy learns of it in time', options: SELDOM, act: () => undefined },
    ...[150, 300, 60_000].map(delay => ({
      name: `when the proxies of one host learn of it ${delay} ms late`,
      options: SELDOM,
      act: (simulation: FailoverSimulation) => {
        simulation.snapshotDelay = [0, 0, delay]
      },
    })),
    {
      name: 'when another watcher stalls during it and acts before it has read what arrived',
      act: simulation => {
        stallHost(simulation, 700, learnsOfChange)
      },
    },
    {
      name: 'when its coordinator gives it up, stalls and acts before it has read what arrived',
      act: simulation => {
        simulation.intercept = (_host, effect) => {
          if (isAnnounced(effect, 'moving')) simulation.lag[1] = 3_000
          return true
        }
        stallHost(simulation, 400, hasAbandoned)
      },
    },
  ]
  for (const { name, options, act } of cases) {
    test(name, () => {
      const simulation = new FailoverSimulation(options)
      simulation.runFor(WARM_UP_MILLISECONDS)
      const drainedAt = simulation.now
      act(simulation)
      simulation.setLeaving(0)
      simulation.runFor(MOVE_MILLISECONDS)
      if (simulation.writers.cut.length > 0) printTrace(simulation, drainedAt)
      expect(simulation.lostOrDuplicatedWrites()).toEqual([])
      expect(simulation.writers.cut).toEqual([])
    })
  }
})

/** Prints the steps of the simulation; called only when the test is about to fail. */
function printTrace(simulation: FailoverSimulation, since: number): void {
  for (const event of simulation.events.filter(each => each.at >= since)) {
    console.log((event.at - since).toFixed(1), event.step, event.term, event.detail)
  }
}
