import { describe, test } from 'node:test'
import { expect } from 'earl'
import type { FailoverEffect } from '@nutmegcourse/coordination'
import { isAnnounced, isSwapped, runScenario } from './failoverScenario.js'

describe('FailoverCore', () => {
  /*
   * The primary fails and the coordinator of its replacement stops between two steps. Guards against
   * callers that wait for ever, and against two primaries that accept writes because the coordinator
   * resumes later and continues its outdated change.
   */
  const steps: readonly {
    readonly name: string
    readonly is: (effect: FailoverEffect) => boolean
  }[] = [
    { name: 'announcing the term', is: effect => isAnnounced(effect, 'fencing') },
    { name: 'the swap that takes the term', is: effect => isSwapped(effect, 'fencing') },
    { name: 'the first fence', is: effect => effect.kind === 'fence' },
    { name: 'announcing the choice', is: effect => isAnnounced(effect, 'promoting') },
    { name: 'the promotion', is: effect => effect.kind === 'promote' },
    { name: 'announcing the new primary', is: effect => isAnnounced(effect, 'stable') },
    { name: 'the first follow', is: effect => effect.kind === 'follow' },
  ]
  const endings = [
    { ending: 'killed before', carriesOut: false, stop: 'kill' },
    { ending: 'killed after', carriesOut: true, stop: 'kill' },
    { ending: 'frozen before', carriesOut: false, stop: 'freeze' },
    { ending: 'frozen after', carriesOut: true, stop: 'freeze' },
  ] as const
  for (const step of steps) {
    for (const { ending, carriesOut, stop } of endings) {
      test(`completes the change when its coordinator is ${ending} ${step.name}`, () => {
        runScenario({
          name: step.name,
          act: simulation => {
            const stopped: string[] = []
            simulation.intercept = (host, effect) => {
              const name = simulation.hostName(host)
              if (stopped.includes(name)) return stop === 'freeze'
              if (stopped.length > 0 || !step.is(effect)) return true
              stopped.push(name)
              if (stop === 'kill') simulation.kill(name)
              else simulation.network.freeze(name)
              return carriesOut
            }
            simulation.kill('server-0')
            simulation.runFor(3_000)
            expect(stopped.length).toEqual(1)
            for (const name of stopped) if (stop === 'freeze') simulation.network.thaw(name)
          },
          gapBelow: 1_500,
        })
      })
    }
  }
})
