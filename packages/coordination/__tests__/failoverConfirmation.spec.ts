import { describe, test } from 'node:test'
import { expect } from 'earl'
import { attemptId, entryHostId } from '@nutmegcourse/shared'

import { FailoverSimulation, type SimulationOptions } from './failoverSimulation.js'
import { isAnnounced } from './failoverScenario.js'

const WARM_UP_MILLISECONDS = 1_000
const LONG_DELAY_MILLISECONDS = 60_000
const MOVE_RETRY_MILLISECONDS = 5_000

/** The far host writes seldom enough that the primary's log is idle between two of its writes. */
const SELDOM = { writeIntervals: [5, 5, 40] }

interface Step {
  readonly at: number
  readonly step: string
  readonly detail: string
}

interface ConfirmationCase {
  readonly name: string
  readonly options?: SimulationOptions
  readonly act?: (simulation: FailoverSimulation) => void
  readonly runMilliseconds: number
  readonly check: (steps: readonly Step[], simulation: FailoverSimulation) => void
}

const MOVE_STEPS = ['moveStarted', 'moveAbandoned', 'moveUnconfirmed', 'fenced', 'completed']

const namesOf = (steps: readonly Step[]): readonly string[] => steps.map(({ step }) => step)

const timesOf = (steps: readonly Step[], name: string): readonly number[] =>
  steps.filter(({ step }) => step === name).map(({ at }) => at)

const firstOf = (steps: readonly Step[], name: string): number => timesOf(steps, name)[0] ?? NaN

function makeLate(simulation: FailoverSimulation): void {
  simulation.snapshotDelay = [0, 0, LONG_DELAY_MILLISECONDS]
}

/** Acts when the phase `moving` is first announced. */
function whenMoving(simulation: FailoverSimulation, act: () => void): void {
  let isDone = false
  simulation.intercept = (_host, effect) => {
    if (isDone || !isAnnounced(effect, 'moving')) return true
    isDone = true
    act()
    return true
  }
}

/** A proxy that did not receive the announcement of the move writes once more while the log is idle and the fences are sent. */
function writeBeforeFence(simulation: FailoverSimulation): void {
  let isDone = false
  simulation.intercept = (_host, effect) => {
    if (effect.kind !== 'fence' || isDone) return true
    isDone = true
    simulation.lag = [0, 1_000, 1_000]
    simulation.server(0).write(1_000_000)
    return true
  }
}

/** Reports for the late host, to every host, that it holds its writes for an earlier attempt. */
function confirmAnotherAttempt(simulation: FailoverSimulation): void {
  simulation.nodes.forEach((_, index) => {
    const host = entryHostId(simulation.hostName(2))
    simulation.send(index, { kind: 'writesHeld', host, attempt: attemptId('an earlier one') })
  })
}

describe('confirmations of a planned move', () => {
  const cases: readonly ConfirmationCase[] = [
    {
      // Guards against a move that waits longer than the fixed time though every host has confirmed.
      name: 'lets the move go on as soon as every host has confirmed',
      runMilliseconds: 3_000,
      check: steps => {
        expect(namesOf(steps)).toEqual(['moveStarted', 'fenced', 'completed'])
        expect(firstOf(steps, 'fenced') - firstOf(steps, 'moveStarted')).toBeLessThan(120)
      },
    },
    {
      // Guards against a fence that interrupts writes of a host that has not received the announcement.
      name: 'gives the move up twice, with back-off, while a host does not confirm',
      options: SELDOM,
      act: makeLate,
      runMilliseconds: 16_000,
      check: (steps, simulation) => {
        const round = ['moveStarted', 'moveAbandoned']
        expect(namesOf(steps)).toEqual([...round, ...round])
        const [first = 0, second = 0] = timesOf(steps, 'moveStarted')
        expect(second - first).toBeGreaterThanOrEqual(MOVE_RETRY_MILLISECONDS)
        expect(steps[1]?.detail).toEqual('host-2 did not confirm')
        expect(simulation.writers.cut).toEqual([])
      },
    },
    {
      // Guards against a leaving primary that keeps its role for ever, for one host that is lost.
      name: 'goes on without a host that never confirms, and names it',
      options: SELDOM,
      act: makeLate,
      runMilliseconds: 20_000,
      check: (steps, simulation) => {
        const round = ['moveStarted', 'moveAbandoned']
        const last = ['moveStarted', 'moveUnconfirmed', 'fenced', 'completed']
        expect(namesOf(steps).slice(0, 8)).toEqual([...round, ...round, ...last])
        expect(steps[5]?.detail).toEqual('goes on without host-2')
        expect(simulation.leader()?.id as string).toEqual('server-1')
      },
    },
    {
      // Guards against a host of an earlier version, which holds its writes but never reports it.
      name: 'cuts no write of a host that holds its writes without a report',
      act: simulation => {
        simulation.silentHosts.add(2)
      },
      runMilliseconds: 20_000,
      check: (steps, simulation) => {
        expect(timesOf(steps, 'moveUnconfirmed').length).toEqual(1)
        expect(simulation.writers.cut).toEqual([])
        expect(simulation.leader()?.id as string).toEqual('server-1')
      },
    },
    {
      // Guards against a late confirmation of an abandoned move that counts for the next one.
      name: 'does not count a confirmation of another attempt',
      options: SELDOM,
      act: simulation => {
        makeLate(simulation)
        whenMoving(simulation, () => {
          confirmAnotherAttempt(simulation)
        })
      },
      runMilliseconds: 3_000,
      check: steps => {
        expect(namesOf(steps)).toEqual(['moveStarted', 'moveAbandoned'])
      },
    },
    {
      // Guards against a move that waits for a host that is gone.
      name: 'does not wait for a host that leaves the fleet during the move',
      act: simulation => {
        simulation.silentHosts.add(2)
        whenMoving(simulation, () => {
          simulation.network.schedule(300, () => {
            simulation.sendWriters([2])
          })
        })
      },
      runMilliseconds: 3_000,
      check: steps => {
        expect(namesOf(steps)).toEqual(['moveStarted', 'fenced', 'completed'])
        expect(firstOf(steps, 'fenced') - firstOf(steps, 'moveStarted')).toBeGreaterThan(300)
      },
    },
    {
      // Guards against two moves at once, of which the one in force has no coordinator any more.
      name: 'reach the coordinator of the move in force when two hosts begin one at once',
      act: simulation => {
        const watchers = [1, 0, 2].map(index => simulation.node(index).watcher)
        simulation.send(1, { kind: 'watchers', watchers })
      },
      runMilliseconds: 3_000,
      check: (steps, simulation) => {
        expect(namesOf(steps)).toEqual(['moveStarted', 'moveStarted', 'fenced', 'completed'])
        expect(simulation.writers.cut).toEqual([])
      },
    },
    {
      // Guards against a move that can not start or end before the membership is known.
      name: 'are not needed while the membership is not known',
      options: { isMembershipKnown: false },
      act: simulation => {
        simulation.silentHosts.add(2)
      },
      runMilliseconds: 3_000,
      check: steps => {
        expect(namesOf(steps)).toEqual(['moveStarted', 'fenced', 'completed'])
      },
    },
    {
      // Guards against a move that begins again at once, and cuts again, when the role has stayed.
      name: 'are missing, and the next move waits when the old primary was chosen again',
      options: { isMembershipKnown: false },
      act: writeBeforeFence,
      runMilliseconds: 5_000,
      check: (steps, simulation) => {
        expect(simulation.leader()?.id as string).toEqual('server-0')
        expect(namesOf(steps)).toEqual(['moveStarted', 'fenced', 'completed'])
      },
    },
  ]
  for (const { name, options, act, runMilliseconds, check } of cases) {
    test(name, () => {
      const simulation = new FailoverSimulation(options)
      simulation.runFor(WARM_UP_MILLISECONDS)
      act?.(simulation)
      simulation.setLeaving(0)
      simulation.runFor(runMilliseconds)
      const steps = simulation.events.filter(({ step }) => MOVE_STEPS.includes(step))
      expect(simulation.lostOrDuplicatedWrites()).toEqual([])
      check(steps, simulation)
    })
  }
})
