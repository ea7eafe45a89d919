import { describe, test } from 'node:test'
import { expect } from 'earl'
import {
  RECOVERY_MILLISECONDS,
  WARM_UP_MILLISECONDS,
  runScenario,
  type Scenario,
} from './failoverScenario.js'
import { FailoverSimulation } from './failoverSimulation.js'

describe('FailoverCore', () => {
  /*
   * The primary fails while the store is down or slow. Guards against callers that wait until the
   * store answers, and against hosts that route to the replaced primary because the store comes back
   * with the old record.
   */
  const scenarios: readonly Scenario[] = [
    {
      name: 'replaces the primary when the store is down before the failure and stays down',
      act: simulation => {
        simulation.store.state = 'down'
        simulation.runFor(1_000)
        simulation.kill('server-0')
      },
      gapBelow: 250,
    },
    {
      name: 'replaces the primary when the store is down before the failure and up again after it',
      act: simulation => {
        simulation.store.state = 'down'
        simulation.kill('server-0')
        simulation.runFor(3_000)
        simulation.store.state = 'up'
      },
      gapBelow: 250,
    },
    {
      name: 'replaces the primary when the store goes down during the change',
      act: simulation => {
        simulation.kill('server-0')
        simulation.runFor(65)
        simulation.store.state = 'down'
        simulation.runFor(2_000)
        simulation.store.state = 'up'
      },
      gapBelow: 250,
    },
    {
      name: 'replaces the primary when the store is slow by half a second',
      act: simulation => {
        simulation.store.delay = 500
        simulation.kill('server-0')
      },
      gapBelow: 250,
    },
    {
      name: 'replaces the primary when the store applies changes and its answers are lost',
      act: simulation => {
        simulation.store.state = 'answersLost'
        simulation.kill('server-0')
        simulation.runFor(3_000)
        simulation.store.state = 'up'
      },
      gapBelow: 250,
    },
  ]
  for (const scenario of scenarios) {
    test(scenario.name, () => {
      const simulation = runScenario(scenario)
      if (simulation.store.state === 'down') return
      expect(simulation.store.stored.record?.primary).toEqual(simulation.leader()?.id ?? null)
      expect(simulation.store.stored.record?.phase.kind).toEqual('stable')
    })
  }

  test('lets another watcher store the record when the coordinator is killed before the store is back', () => {
    const simulation = new FailoverSimulation()
    simulation.runFor(WARM_UP_MILLISECONDS)
    simulation.store.state = 'down'
    simulation.kill('server-0')
    simulation.runFor(1_000)
    const coordinator = simulation.node(1).routed?.record.coordinator ?? ''
    simulation.kill(coordinator)
    simulation.store.state = 'up'
    simulation.runFor(RECOVERY_MILLISECONDS)
    expect(coordinator === '').toEqual(false)
    expect(simulation.store.stored.record?.primary).toEqual(simulation.leader()?.id ?? null)
  })

  test('finds the leader by its own report when every host restarts while the store is down', () => {
    const simulation = new FailoverSimulation()
    simulation.runFor(WARM_UP_MILLISECONDS)
    simulation.store.state = 'down'
    simulation.kill('server-0')
    simulation.runFor(1_000)
    const leader = simulation.leader()
    for (const host of [0, 1, 2]) simulation.restart(host)
    simulation.runFor(5_000)
    expect(simulation.leader()).toEqual(leader)
    expect(simulation.node(1).core.knownRecord?.record.primary).toEqual(leader?.id ?? null)
    simulation.store.state = 'up'
    simulation.runFor(10_000)
    expect(simulation.store.stored.record?.primary).toEqual(leader?.id ?? null)
    expect(simulation.lostOrDuplicatedWrites()).toEqual([])
    expect(simulation.hasConverged()).toEqual(true)
  })

  test('gives a new database its first primary and record', () => {
    const simulation = new FailoverSimulation()
    simulation.store.stored = { record: null, revision: 0 }
    simulation.server(0).role = 'replica'
    simulation.runFor(3_000)
    expect(simulation.hasConverged()).toEqual(true)
    expect(simulation.store.stored.record?.primary).toEqual(simulation.leader()?.id ?? null)
  })
})
