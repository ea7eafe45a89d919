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
   * Guards against a new primary that lacks an acknowledged write or holds it twice, which comes
   * from a wrong choice of the new primary, and against callers that wait for seconds because no
   * primary is promoted, which comes from a step that waits for something that has failed.
   */
  const scenarios: readonly Scenario[] = [
    {
      name: 'replaces a primary that was killed',
      act: simulation => {
        simulation.kill('server-0')
      },
      gapBelow: 250,
    },
    {
      name: 'replaces a primary that is frozen',
      act: simulation => {
        simulation.network.freeze('server-0')
      },
      gapBelow: 600,
    },
    {
      name: 'replaces a frozen primary that thaws during its replacement',
      act: simulation => {
        simulation.network.freeze('server-0')
        simulation.runFor(430)
        simulation.network.thaw('server-0')
      },
      gapBelow: 600,
    },
    {
      name: 'replaces a frozen primary that thaws after its replacement',
      act: simulation => {
        simulation.network.freeze('server-0')
        simulation.runFor(3_000)
        simulation.network.thaw('server-0')
      },
      gapBelow: 600,
    },
    {
      name: 'replaces a primary whose zone is isolated',
      act: simulation => {
        simulation.network.partition('tanger-nord')
      },
      gapBelow: 600,
    },
    {
      name: 'replaces a primary whose zone is isolated and rejoins with writes that no other server holds',
      act: simulation => {
        simulation.network.partition('tanger-nord')
        simulation.runFor(3_000)
        simulation.network.heal('tanger-nord')
      },
      gapBelow: 600,
    },
    {
      name: 'replaces a primary killed together with the watcher of its zone',
      act: simulation => {
        simulation.kill('server-0')
        simulation.kill('host-0')
      },
      gapBelow: 300,
    },
    {
      name: 'replaces a primary killed together with two of three watchers',
      act: simulation => {
        simulation.kill('server-0')
        simulation.kill('host-0')
        simulation.kill('host-1')
      },
      gapBelow: 2_500,
      leader: 'server-1',
    },
    {
      name: 'promotes the up-to-date replica when the other is far behind and then catches up',
      options: { lag: [0, 2_000, 0] },
      act: simulation => {
        simulation.kill('server-0')
        simulation.lag[1] = 0
      },
      gapBelow: 400,
      leader: 'server-2',
    },
    {
      name: 'replaces a killed primary that restarts later with records that no other server holds',
      act: simulation => {
        simulation.server(0).write(-1)
        simulation.kill('server-0')
        simulation.runFor(3_000)
        simulation.network.revive('server-0')
      },
      gapBelow: 250,
    },
    {
      name: 'replaces a primary that restarted as a replica',
      act: simulation => {
        simulation.server(0).role = 'replica'
      },
      gapBelow: 600,
    },
    {
      name: 'replaces a primary that a lost coordinator fenced',
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

  test('makes a replica that a lost coordinator fenced follow again', () => {
    const simulation = new FailoverSimulation()
    simulation.runFor(WARM_UP_MILLISECONDS)
    simulation.server(1).fence(5)
    simulation.runFor(RECOVERY_MILLISECONDS)
    expect(simulation.lostOrDuplicatedWrites()).toEqual([])
    expect(simulation.hasConverged()).toEqual(true)
    expect(simulation.server(1).fencedTerm).toEqual(simulation.leader()?.lastTerm ?? 0)
    expect(simulation.gapSince(WARM_UP_MILLISECONDS)).toBeLessThan(300)
  })

  test('recovers when the primary is frozen and the chosen server freezes before its promotion', () => {
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

  test('replaces a frozen primary when five watchers start at the same time', () => {
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

  test('replaces a killed primary when its coordinator stops being a watcher during the change', () => {
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
    expect(simulation.node(1).core.knownRecord?.record.primary).toEqual(
      simulation.leader()?.id ?? null,
    )
  })

  test('loses no acknowledged write when the primary is killed while both replicas are far behind', () => {
    const simulation = new FailoverSimulation({ lag: [0, 300, 300] })
    simulation.runFor(2_000)
    const failedAt = simulation.now
    simulation.kill('server-0')
    simulation.runFor(RECOVERY_MILLISECONDS)
    expect(simulation.lostOrDuplicatedWrites()).toEqual([])
    expect(simulation.hasConverged()).toEqual(true)
    expect(simulation.writers.acknowledged.some(entry => entry.at > failedAt + 1_000)).toEqual(true)
  })

  test('loses no acknowledged write when one primary after another is killed', () => {
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
