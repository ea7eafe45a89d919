import { describe, test } from 'node:test'
import { expect } from 'earl'
import type { FailoverEffect } from '@nutmegcourse/coordination'

import { FailoverSimulation, type SimulationOptions } from './failoverSimulation.js'

const WARM_UP_MILLISECONDS = 1_000

interface MoveScenario {
  readonly name: string
  readonly options?: SimulationOptions
  readonly act: (simulation: FailoverSimulation) => void
  /** How long the simulation runs after `act`, in virtual milliseconds. */
  readonly runMilliseconds?: number
  readonly gapBelow: number
  readonly leader: string
  readonly steps: readonly string[]
}

const isMovingAnnounced = (effect: FailoverEffect): boolean =>
  effect.kind === 'announce' && effect.record.phase.kind === 'moving'

/** Runs `act` when the phase `moving`, in which proxies hold writes, is first announced. */
function whenMoving(simulation: FailoverSimulation, act: (host: string) => void): void {
  let isDone = false
  simulation.intercept = (host, effect) => {
    if (isDone || !isMovingAnnounced(effect)) return true
    isDone = true
    act(simulation.hostName(host))
    return true
  }
}

describe('FailoverCore', () => {
  /*
   * Operators drain the primary's backend server. Guards against writes in flight that are lost or
   * stop for seconds, and against a move that hangs and holds every write because its target, its
   * coordinator or the store has failed.
   */
  const scenarios: readonly MoveScenario[] = [
    {
      name: 'moves the primary role to the server in its region that has caught up',
      act: () => undefined,
      gapBelow: 150,
      leader: 'server-1',
      steps: ['moveStarted', 'completed'],
    },
    {
      name: 'moves the primary role to another region when the replica in its region is far behind',
      options: { lag: [0, 2_000, 0] },
      act: simulation => {
        simulation.runFor(5_000)
        simulation.lag[1] = 0
      },
      gapBelow: 300,
      leader: 'server-2',
      steps: ['moveStarted', 'completed'],
    },
    {
      name: 'moves the primary role only once a replica has caught up',
      options: { lag: [0, 400, 400], failover: { moveLagMilliseconds: 250 } },
      act: simulation => {
        simulation.runFor(3_000)
        expect(simulation.steps().includes('moveStarted')).toEqual(false)
        simulation.lag = [0, 0, 0]
      },
      gapBelow: 500,
      leader: 'server-1',
      steps: ['moveStarted', 'completed'],
    },
    {
      name: 'moves the primary role while the store is slow by half a second',
      act: simulation => {
        simulation.store.delay = 500
      },
      gapBelow: 150,
      leader: 'server-1',
      steps: ['moveStarted', 'completed'],
    },
    {
      name: 'moves the primary role once a store that was down answers again',
      act: simulation => {
        simulation.store.state = 'down'
        simulation.runFor(5_000)
        expect(simulation.leader()?.id as string).toEqual('server-0')
        simulation.store.state = 'up'
      },
      runMilliseconds: 15_000,
      gapBelow: 150,
      leader: 'server-1',
      steps: ['moveStarted', 'completed'],
    },
    {
      name: 'moves the primary role to another server when the target is killed during the move',
      act: simulation => {
        whenMoving(simulation, () => {
          simulation.kill('server-1')
        })
      },
      runMilliseconds: 20_000,
      gapBelow: 700,
      leader: 'server-2',
      steps: ['moveStarted', 'moveAbandoned', 'moveStarted', 'completed'],
    },
    {
      name: 'completes the move when the primary is killed during it',
      act: simulation => {
        whenMoving(simulation, () => {
          simulation.kill('server-0')
        })
      },
      gapBelow: 400,
      leader: 'server-1',
      steps: ['moveStarted', 'agreed', 'completed'],
    },
    {
      name: 'completes the move when the coordinator is killed during it',
      act: simulation => {
        whenMoving(simulation, host => {
          simulation.kill(host)
        })
      },
      runMilliseconds: 20_000,
      gapBelow: 2_500,
      leader: 'server-1',
      steps: ['moveStarted', 'completed'],
    },
    {
      name: 'completes the move when the coordinator is frozen during it and thaws afterwards',
      act: simulation => {
        whenMoving(simulation, host => {
          simulation.network.freeze(host)
          simulation.network.schedule(5_000, () => {
            simulation.network.thaw(host)
          })
        })
      },
      runMilliseconds: 20_000,
      gapBelow: 2_500,
      leader: 'server-1',
      steps: ['moveStarted', 'completed'],
    },
    {
      name: 'moves the primary role to another server when the store goes down and the target is killed during the move',
      act: simulation => {
        whenMoving(simulation, () => {
          simulation.store.state = 'down'
          simulation.kill('server-1')
        })
        simulation.runFor(5_000)
        simulation.store.state = 'up'
      },
      runMilliseconds: 30_000,
      gapBelow: 1_200,
      leader: 'server-2',
      steps: ['moveStarted', 'moveAbandoned', 'completed'],
    },
    {
      name: "completes the move when the store's answer to it is lost",
      act: simulation => {
        simulation.store.state = 'answersLost'
        simulation.runFor(2_000)
        simulation.store.state = 'up'
      },
      runMilliseconds: 20_000,
      gapBelow: 300,
      leader: 'server-1',
      steps: ['moveStarted', 'completed'],
    },
  ]
  for (const scenario of scenarios) {
    test(scenario.name, () => {
      const simulation = new FailoverSimulation(scenario.options)
      simulation.runFor(WARM_UP_MILLISECONDS)
      const drainedAt = simulation.now
      simulation.setLeaving(0)
      scenario.act(simulation)
      simulation.runFor(scenario.runMilliseconds ?? 8_000)
      const hasPassed =
        simulation.hasConverged() &&
        simulation.gapSince(drainedAt) < scenario.gapBelow &&
        (simulation.leader()?.id as string) === scenario.leader
      if (!hasPassed) printTrace(simulation, drainedAt)
      expect(simulation.lostOrDuplicatedWrites()).toEqual([])
      expect(simulation.hasConverged()).toEqual(true)
      expect(simulation.leader()?.id as string).toEqual(scenario.leader)
      expect(simulation.gapSince(drainedAt)).toBeLessThan(scenario.gapBelow)
      expect(isSubsequence(scenario.steps, simulation.steps())).toEqual(true)
    })
  }

  test('moves the primary role in a single change when the replicas are slightly behind', () => {
    const simulation = new FailoverSimulation({ lag: [0, 200, 200] })
    simulation.runFor(2_000)
    simulation.setLeaving(0)
    simulation.runFor(8_000)
    expect(simulation.leader()?.id as string).toEqual('server-1')
    expect(simulation.steps().filter(step => step === 'termTaken').length).toEqual(1)
    expect(simulation.lostOrDuplicatedWrites()).toEqual([])
  })

  test('does not move the primary role while every server is leaving', () => {
    const simulation = new FailoverSimulation()
    simulation.runFor(WARM_UP_MILLISECONDS)
    simulation.setLeaving(0, 1, 2)
    simulation.runFor(5_000)
    expect(simulation.leader()?.id as string).toEqual('server-0')
    expect(simulation.steps().includes('moveStarted')).toEqual(false)
  })
})

/** Prints the steps of the simulation; called only when the test is about to fail. */
function printTrace(simulation: FailoverSimulation, since: number): void {
  console.log('gap', simulation.gapSince(since))
  for (const event of simulation.events) {
    console.log((event.at - since).toFixed(1), event.step, event.term, event.detail)
  }
}

function isSubsequence(wanted: readonly string[], all: readonly string[]): boolean {
  let matched = 0
  for (const step of all) if (step === wanted[matched]) matched += 1
  return matched === wanted.length
}
