import { describe, test } from 'node:test'
import { expect } from 'earl'
import {
  RECOVERY_MILLISECONDS,
  WARM_UP_MILLISECONDS,
  runScenario,
  type Scenario,
} from './failoverScenario.js'
import { FailoverSimulation } from './failoverSimulation.js'

describe('FailoverCore replaces a failed primary', () => {
  /*
   * A caller's write is acknowledged, then the primary fails, and the next primary lacks the write
   * or holds it twice. Or callers wait for seconds because nobody promotes a new primary.
   * Cause: the choice of the new primary, or a step of the change that waits for what is gone.
   */
  const scenarios: readonly Scenario[] = [
    {
      name: 'killed',
      act: simulation => {
        simulation.kill('server-0')
      },
      gapBelow: 250,
    },
    {
      name: 'frozen',
      act: simulation => {
        simulation.network.freeze('server-0')
      },
      gapBelow: 600,
    },
    {
      name: 'frozen, and thawed while it is being replaced',
      act: simulation => {
        simulation.network.freeze('server-0')
        simulation.runFor(430)
        simulation.network.thaw('server-0')
      },
      gapBelow: 600,
    },
    {
      name: 'frozen, and thawed after it was replaced',
      act: simulation => {
        simulation.network.freeze('server-0')
        simulation.runFor(3_000)
        simulation.network.thaw('server-0')
      },
      gapBelow: 600,
    },
    {
      name: 'cut off with its zone',
      act: simulation => {
        simulation.network.isolate('tanger-nord')
      },
      gapBelow: 600,
    },
    {
      name: 'cut off with its zone, which comes back with writes that no other holds',
      act: simulation => {
        simulation.network.isolate('tanger-nord')
        simulation.runFor(3_000)
        simulation.network.heal('tanger-nord')
      },
      gapBelow: 600,
    },
    {
      name: 'lost with the watcher of its zone',
      act: simulation => {
        simulation.kill('server-0')
        simulation.kill('host-0')
      },
      gapBelow: 300,
    },
    {
      name: 'lost with two of three watchers',
      act: simulation => {
        simulation.kill('server-0')
        simulation.kill('host-0')
        simulation.kill('host-1')
      },
      gapBelow: 2_500,
      leader: 'server-1',
    },
    {
      name: 'killed while one replica is far behind, which then catches up',
      options: { lag: [0, 2_000, 0] },
      act: simulation => {
        simulation.kill('server-0')
        simulation.lag[1] = 0
      },
      gapBelow: 400,
      leader: 'server-2',
    },
    {
      name: 'killed and restarted later with records that no other holds',
      act: simulation => {
        simulation.server(0).write(-1)
        simulation.kill('server-0')
        simulation.runFor(3_000)
        simulation.network.revive('server-0')
      },
      gapBelow: 250,
    },
    {
      name: 'restarted as a replica',
      act: simulation => {
        simulation.server(0).role = 'replica'
      },
      gapBelow: 600,
    },
    {
      name: 'fenced by a coordinator of which no more is heard',
      act: simulation => {
        simulation.server(0).fence(5)
      },
      gapBelow: 700,
    },
  ]
  for (const scenario of scenarios) {
    test(scenario.name, () => {
      const simulation = runScenario(scenario)
      expect(simulation.steps().includes('promoted')).toEqual(true)
    })
  }

  test('a replica was fenced by a coordinator of which no more is heard: it follows again', () => {
    const simulation = new FailoverSimulation()
    simulation.runFor(WARM_UP_MILLISECONDS)
    simulation.server(1).fence(5)
    simulation.runFor(RECOVERY_MILLISECONDS)
    expect(simulation.lostOrDuplicatedWrites()).toEqual([])
    expect(simulation.hasConverged()).toEqual(true)
    expect(simulation.server(1).fencedTerm).toEqual(simulation.leader()?.lastTerm ?? 0)
    expect(simulation.gapSince(WARM_UP_MILLISECONDS)).toBeLessThan(300)
  })

  test('frozen, and the chosen server freezes before its promotion', () => {
    const simulation = new FailoverSimulation({ watcherZones: ['tanger-sud'] })
    simulation.runFor(WARM_UP_MILLISECONDS)
    simulation.intercept = (_, effect) => {
      if (effect.kind === 'promote') simulation.network.freeze(effect.server)
      return true
    }
    simulation.network.freeze('server-0')
    simulation.runFor(1_000)
    simulation.intercept = () => true
    simulation.network.thaw('server-0')
    simulation.runFor(RECOVERY_MILLISECONDS)
    expect(simulation.lostOrDuplicatedWrites()).toEqual([])
    expect(simulation.hasConverged()).toEqual(true)
    expect(simulation.gapSince(WARM_UP_MILLISECONDS)).toBeLessThan(4_000)
  })

  test('killed, and five watchers try at the same moment', () => {
    const zones = ['tanger-nord', 'tanger-sud', 'casa-est', 'tanger-nord', 'casa-est']
    for (const seed of [1, 2, 3, 4, 5]) {
      const failover = { rankDelayMilliseconds: 0 }
      const simulation = new FailoverSimulation({ seed, failover, watcherZones: zones })
      simulation.runFor(WARM_UP_MILLISECONDS)
      const failedAt = simulation.now
      simulation.network.freeze('server-0')
      simulation.runFor(RECOVERY_MILLISECONDS)
      expect(simulation.lostOrDuplicatedWrites()).toEqual([])
      expect(simulation.hasConverged()).toEqual(true)
      expect(simulation.gapSince(failedAt)).toBeLessThan(1_500)
    }
  })

  test('killed, and its coordinator is no longer a watcher when it goes on', () => {
    const simulation = new FailoverSimulation()
    simulation.runFor(WARM_UP_MILLISECONDS)
    const failedAt = simulation.now
    let isReplaced = false
    simulation.intercept = (host, effect) => {
      if (isReplaced || effect.kind !== 'fence') return true
      isReplaced = true
      const others = [0, 1, 2].filter(other => other !== host)
      simulation.network.schedule(5, () => {
        simulation.setWatchers(others, host)
      })
      return true
    }
    simulation.kill('server-0')
    simulation.runFor(RECOVERY_MILLISECONDS)
    expect(isReplaced).toEqual(true)
    expect(simulation.steps().includes('abandoned')).toEqual(true)
    expect(simulation.lostOrDuplicatedWrites()).toEqual([])
    expect(simulation.gapSince(failedAt)).toBeLessThan(1_500)
    expect(simulation.node(1).core.known?.record.primary).toEqual(simulation.leader()?.id ?? null)
  })

  test('killed while both replicas are far behind: no acknowledged write is lost', () => {
    const simulation = new FailoverSimulation({ lag: [0, 300, 300] })
    simulation.runFor(2_000)
    const failedAt = simulation.now
    simulation.kill('server-0')
    simulation.runFor(RECOVERY_MILLISECONDS)
    expect(simulation.lostOrDuplicatedWrites()).toEqual([])
    expect(simulation.hasConverged()).toEqual(true)
    expect(simulation.writers.acknowledged.some(entry => entry.at > failedAt + 1_000)).toEqual(true)
  })

  test('killed again and again', () => {
    const simulation = new FailoverSimulation()
    simulation.runFor(WARM_UP_MILLISECONDS)
    for (let round = 0; round < 4; round += 1) {
      const victim = simulation.leader()?.id ?? ''
      simulation.kill(victim)
      simulation.runFor(1_500)
      simulation.network.revive(victim)
      simulation.runFor(1_500)
    }
    expect(simulation.lostOrDuplicatedWrites()).toEqual([])
    expect(simulation.hasConverged()).toEqual(true)
  })
})
