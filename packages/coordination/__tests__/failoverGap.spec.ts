import { describe, test } from 'node:test'
import { expect } from 'earl'
import type { FailoverEffect } from '@nutmegcourse/coordination'

import { FailoverSimulation } from './failoverSimulation.js'
import { ATLAS_QUAI, SHUTTERBAITHAK, type ZoneLayout } from './virtualNetwork.js'

interface Failure {
  readonly name: string
  readonly act: (simulation: FailoverSimulation) => void
  readonly gapBelow: number
}

const SHOWN_STEPS = ['suspected', 'agreed', 'fenced', 'promoted'] as const

/** The write gap of the host that waits longest, and when each step first happened, in virtual ms. */
function describeGap(simulation: FailoverSimulation, since: number): string {
  const steps = SHOWN_STEPS.map(step => {
    const at = simulation.events.find(event => event.step === step)?.at
    return `${step} ${at === undefined ? '-' : (at - since).toFixed(1)}`
  })
  return `${steps.join(', ')}, gap ${simulation.longestHostGapSince(since).toFixed(1)}`
}

function measure(
  layout: ZoneLayout,
  primary: number,
  failure: Failure,
  waitsForStore: boolean,
): FailoverSimulation {
  const simulation = new FailoverSimulation({ layout, primary })
  if (waitsForStore) waitForStore(simulation)
  simulation.runFor(1_040)
  failure.act(simulation)
  simulation.runFor(4_000)
  return simulation
}

/** Delays each step until the store has recorded the one before it, for comparison. */
function waitForStore(simulation: FailoverSimulation): void {
  const phases = new Map<string, string>()
  const held: { readonly phase: string; readonly run: () => void }[] = []
  const stored = new Set<string>()
  simulation.intercept = (host, effect) => {
    if (effect.kind === 'swapRecord') {
      phases.set(`${host}-${effect.call}`, `${effect.record.term}-${effect.record.phase.kind}`)
    }
    const phase = phaseBefore(effect)
    if (phase === null || stored.has(phase)) return true
    held.push({
      phase,
      run: () => {
        simulation.executeEffect(host, effect)
      },
    })
    return false
  }
  simulation.observeMessage = (host, message) => {
    if (message.kind !== 'storeAnswered' || message.outcome.kind !== 'swapped') return
    const phase = phases.get(`${host}-${message.call}`) ?? ''
    stored.add(phase)
    for (const each of held) if (each.phase === phase) each.run()
  }
}

/** The term and phase that the store must hold before the effect is executed; null for none. */
function phaseBefore(effect: FailoverEffect): string | null {
  if (effect.kind === 'fence') return `${effect.term}-fencing`
  if (effect.kind === 'promote') return `${effect.term}-promoting`
  if (effect.kind !== 'announce' || effect.record.phase.kind !== 'stable') return null
  return `${effect.record.term}-stable`
}

describe('FailoverCore in virtual time', () => {
  const failures: readonly Failure[] = [
    {
      name: 'killed',
      act: simulation => {
        simulation.kill(simulation.leader()?.id ?? '')
      },
      gapBelow: 300,
    },
    {
      name: 'frozen',
      act: simulation => {
        simulation.network.freeze(simulation.leader()?.id ?? '')
      },
      gapBelow: 650,
    },
    {
      name: 'drained',
      act: simulation => {
        simulation.setLeaving(
          simulation.servers.findIndex(server => server === simulation.leader()),
        )
      },
      gapBelow: 200,
    },
  ]
  const layouts = [
    { name: 'Atlas Quai', layout: ATLAS_QUAI },
    { name: 'Shutterbaithak', layout: SHUTTERBAITHAK },
  ]
  for (const { name, layout } of layouts) {
    for (const primary of [0, 2]) {
      for (const failure of failures) {
        const zone = layout.zones[primary] ?? ''
        test(`limits the write gap in ${name} when the primary in ${zone} is ${failure.name}`, context => {
          const simulation = measure(layout, primary, failure, false)
          const storeFirst = measure(layout, primary, failure, true)
          context.diagnostic(describeGap(simulation, 1_040))
          context.diagnostic(`store first: ${describeGap(storeFirst, 1_040)}`)
          expect(simulation.lostOrDuplicatedWrites()).toEqual([])
          expect(storeFirst.lostOrDuplicatedWrites()).toEqual([])
          expect(simulation.longestHostGapSince(1_040)).toBeLessThan(failure.gapBelow)
          expect(simulation.longestHostGapSince(1_040)).toBeLessThan(
            storeFirst.longestHostGapSince(1_040),
          )
        })
      }
    }
  }
})
