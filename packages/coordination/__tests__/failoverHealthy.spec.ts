import { describe, test } from 'node:test'
import { expect } from 'earl'
import { WARM_UP_MILLISECONDS, runScenario, type Scenario } from './failoverScenario.js'
import { FailoverSimulation } from './failoverSimulation.js'

describe('FailoverCore', () => {
  /*
   * Guards against an interruption of writes while every backend server is healthy, which happens
   * when a watcher takes its own stall, its own lost link or another's opinion for a dead primary.
   */
  const scenarios: readonly Scenario[] = [
    {
      name: 'keeps a primary that stalls for less than the detection time',
      act: simulation => {
        simulation.network.freeze('server-0')
        simulation.runFor(300)
        simulation.network.thaw('server-0')
      },
      gapBelow: 420,
    },
    {
      name: 'keeps the primary when a watcher was frozen',
      act: simulation => {
        simulation.network.freeze('host-1')
        simulation.runFor(2_000)
        simulation.network.thaw('host-1')
      },
      gapBelow: 100,
    },
    {
      name: 'keeps the primary when every watcher was frozen',
      act: simulation => {
        for (const host of ['host-0', 'host-1', 'host-2']) simulation.network.freeze(host)
        simulation.runFor(1_500)
        for (const host of ['host-0', 'host-1', 'host-2']) simulation.network.thaw(host)
      },
      gapBelow: 1_600,
    },
    {
      name: 'keeps the primary when another zone is isolated',
      act: simulation => {
        simulation.network.partition('casa-est')
        simulation.runFor(5_000)
        simulation.network.heal('casa-est')
      },
      gapBelow: 200,
    },
    {
      name: 'keeps the primary while the store is down',
      act: simulation => {
        simulation.store.state = 'down'
      },
      gapBelow: 100,
    },
    {
      name: 'keeps the primary when a replica is killed',
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
   * A replica is killed and restarted, and shortly afterwards another server fails. Guards against
   * callers that wait for seconds although two servers are running: a restarted replica does not
   * replicate until it receives `follow`, so that must be sent as soon as its process answers again
   * and not only after a long time without progress.
   */
  test('makes a restarted replica follow again at once', () => {
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

  test('does not suspect the primary when the watcher itself stalled and timers run before sockets', () => {
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

  test('keeps the primary when the host list loses the lines of all but one replica', () => {
    const simulation = new FailoverSimulation()
    simulation.runFor(WARM_UP_MILLISECONDS)
    simulation.listOnly(1)
    simulation.runFor(5_000)
    expect(simulation.leader()?.id as string).toEqual('server-0')
    expect(simulation.steps().includes('termTaken')).toEqual(false)
  })

  test('keeps the primary when only one watcher cannot reach it', () => {
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

  /*
   * Guards against a change of primary after every link between zones paused for a moment: the other
   * watcher's suspicion arrives some milliseconds before the answer of the healthy primary.
   */
  for (const pause of [560, 600, 650, 700]) {
    test(`keeps the primary when the links between zones pause for ${pause} ms`, () => {
      for (const phase of [0, 20, 40, 60, 80]) {
        const simulation = new FailoverSimulation()
        simulation.runFor(WARM_UP_MILLISECONDS + phase)
        simulation.network.pauseLinks()
        simulation.runFor(pause)
        simulation.network.resumeLinks('tanger-nord', 60)
        simulation.runFor(4_000)
        expect(simulation.steps().includes('suspected')).toEqual(true)
        expect(simulation.steps().includes('termTaken')).toEqual(false)
      }
    })
  }

  // Guards against a watcher that acts alone because the others' contradictions expired while it stalled.
  test('keeps the primary when the only watcher that is refused by it stalls', () => {
    const simulation = new FailoverSimulation()
    simulation.runFor(WARM_UP_MILLISECONDS)
    const primary = simulation.server(0).id
    simulation.intercept = (host, effect) => {
      const isRefused = host === 1 && effect.kind === 'askPosition' && effect.server === primary
      if (!isRefused) return true
      simulation.network.schedule(1, () => {
        const askedAt = simulation.clock.now()
        simulation.send(1, { kind: 'positionFailed', server: primary, failure: 'refused', askedAt })
      })
      return false
    }
    simulation.runFor(700)
    simulation.network.freeze('host-1')
    simulation.runFor(3_000)
    simulation.network.thaw('host-1')
    simulation.runFor(4_000)
    expect(simulation.steps().includes('suspected')).toEqual(true)
    expect(simulation.steps().includes('termTaken')).toEqual(false)
  })
})
