import { describe, test } from 'node:test'
import { expect } from 'earl'
import { WARM_UP_MILLISECONDS, runScenario, type Scenario } from './failoverScenario.js'
import { FailoverSimulation } from './failoverSimulation.js'

describe('FailoverCore leaves a healthy primary alone', () => {
  /*
   * Writes stop for a moment although every backend server is well.
   * Cause: a watcher takes its own pause, its own lost link or another's word for a dead primary.
   */
  const scenarios: readonly Scenario[] = [
    {
      name: 'when it pauses for less than the bound',
      act: simulation => {
        simulation.network.freeze('server-0')
        simulation.runFor(300)
        simulation.network.thaw('server-0')
      },
      gapBelow: 420,
    },
    {
      name: 'when a watcher was frozen',
      act: simulation => {
        simulation.network.freeze('host-1')
        simulation.runFor(2_000)
        simulation.network.thaw('host-1')
      },
      gapBelow: 100,
    },
    {
      name: 'when every watcher was frozen',
      act: simulation => {
        for (const host of ['host-0', 'host-1', 'host-2']) simulation.network.freeze(host)
        simulation.runFor(1_500)
        for (const host of ['host-0', 'host-1', 'host-2']) simulation.network.thaw(host)
      },
      gapBelow: 1_600,
    },
    {
      name: 'when another zone is cut off',
      act: simulation => {
        simulation.network.isolate('casa-est')
        simulation.runFor(5_000)
        simulation.network.heal('casa-est')
      },
      gapBelow: 200,
    },
    {
      name: 'when the store is down',
      act: simulation => {
        simulation.store.state = 'down'
      },
      gapBelow: 100,
    },
    {
      name: 'when a replica is killed',
      act: simulation => {
        simulation.kill('server-1')
        simulation.runFor(2_000)
        simulation.network.revive('server-1')
      },
      gapBelow: 200,
    },
  ]
  for (const scenario of scenarios) {
    test(scenario.name, () => {
      const simulation = runScenario({ ...scenario, leader: 'server-0' })
      expect(simulation.steps().includes('termTaken')).toEqual(false)
    })
  }

  /*
   * A replica is killed and restarted; a moment later another server fails. Callers wait for seconds,
   * although two servers run.
   * Cause: a restarted replica replicates from nobody until it is told, and only a long standstill
   * told the watchers. That its process was gone and answers again tells them at once.
   */
  test('and tells a restarted replica to follow again at once', () => {
    const simulation = new FailoverSimulation()
    simulation.runFor(WARM_UP_MILLISECONDS)
    simulation.kill('server-1')
    simulation.runFor(1_000)
    simulation.server(1).source = null
    simulation.network.revive('server-1')
    simulation.runFor(600)
    expect(simulation.server(1).source as string | null).toEqual('server-0')
    expect(simulation.steps().includes('termTaken')).toEqual(false)
  })

  test('when its process stood still and timers run before sockets', () => {
    const simulation = new FailoverSimulation({ watcherZones: ['tanger-sud'] })
    simulation.runFor(WARM_UP_MILLISECONDS)
    const { core } = simulation.node(0)
    const now = simulation.clock.advance(5_000)
    const effects = core.handle({ kind: 'tick' }, now)
    const suspicions = effects.filter(
      effect => effect.kind === 'tellWatchers' && effect.opinion.suspected,
    )
    expect(suspicions).toEqual([])
  })

  test('when the host list loses the lines of all but one replica', () => {
    const simulation = new FailoverSimulation()
    simulation.runFor(WARM_UP_MILLISECONDS)
    simulation.listOnly(1)
    simulation.runFor(5_000)
    expect(simulation.leader()?.id as string).toEqual('server-0')
    expect(simulation.steps().includes('termTaken')).toEqual(false)
  })

  test('when one watcher alone is cut off from it', () => {
    const simulation = new FailoverSimulation({
      watcherZones: ['tanger-nord', 'tanger-sud', 'tanger-sud'],
    })
    simulation.runFor(WARM_UP_MILLISECONDS)
    simulation.intercept = (host, effect) =>
      !(host === 2 && effect.kind === 'askPosition' && effect.server === simulation.server(0).id)
    simulation.runFor(5_000)
    expect(simulation.steps().includes('suspected')).toEqual(true)
    expect(simulation.steps().includes('termTaken')).toEqual(false)
  })
})
