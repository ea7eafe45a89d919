/** Runs a scenario in a simulated fleet and checks that writes resume and none is lost. */
import { expect } from 'earl'
import type { FailoverEffect } from '@nutmegcourse/coordination'
import { FailoverSimulation, type SimulationOptions } from './failoverSimulation.js'

export const WARM_UP_MILLISECONDS = 1_000
export const RECOVERY_MILLISECONDS = 8_000

export interface Scenario {
  readonly name: string
  readonly options?: SimulationOptions
  /** Causes the failure and any later events. */
  readonly act: (simulation: FailoverSimulation) => void
  /** Upper limit of the time without an acknowledged write, in virtual milliseconds. */
  readonly gapBelow: number
  /** The server that leads in the end, where only one may. */
  readonly leader?: string
}

export function runScenario(scenario: Scenario): FailoverSimulation {
  const simulation = new FailoverSimulation(scenario.options)
  simulation.runFor(WARM_UP_MILLISECONDS)
  expect(simulation.writers.acknowledged.length).toBeGreaterThan(100)
  const failedAt = simulation.now
  scenario.act(simulation)
  simulation.runFor(RECOVERY_MILLISECONDS)
  expect(simulation.lostOrDuplicatedWrites()).toEqual([])
  if (!simulation.hasConverged()) printTrace(simulation, failedAt)
  expect(simulation.hasConverged()).toEqual(true)
  if (simulation.gapSince(failedAt) >= scenario.gapBelow) printTrace(simulation, failedAt)
  expect(simulation.gapSince(failedAt)).toBeLessThan(scenario.gapBelow)
  if (scenario.leader !== undefined)
    expect(simulation.leader()?.id as string).toEqual(scenario.leader)
  return simulation
}

/** Prints events and final states; called only when the scenario is about to fail. */
function printTrace(simulation: FailoverSimulation, since: number): void {
  const lines = simulation.events.map(event => {
    const at = (event.at - since).toFixed(1)
    return `${at} ${event.step} ${event.term} ${event.detail}`
  })
  console.log(lines.join('\n'))
  for (const server of simulation.servers) {
    console.log(server.id, server.role, server.lastTerm, server.fencedTerm, server.source)
  }
  for (const node of simulation.nodes) console.log(node.watcher.entryHost, node.routed?.record)
}

export const isAnnounced = (effect: FailoverEffect, phase: string): boolean =>
  effect.kind === 'announce' && effect.record.phase.kind === phase

export const isSwapped = (effect: FailoverEffect, phase: string): boolean =>
  effect.kind === 'swapRecord' && effect.record.phase.kind === phase
