/** Plays a story in a virtual fleet and checks that it ends well. */
import { expect } from 'earl'
import type { FailoverEffect } from '@nutmegcourse/coordination'
import { FailoverWorld, type WorldOptions } from './failoverWorld.js'

export const SETTLE_MILLISECONDS = 1_000
export const AFTERMATH_MILLISECONDS = 8_000

export interface Story {
  readonly name: string
  readonly options?: WorldOptions
  /** The failure, and what follows it. */
  readonly act: (world: FailoverWorld) => void
  /** Virtual milliseconds without an acknowledged write that the story may cost. */
  readonly gapBelow: number
  /** The server that leads in the end, where only one may. */
  readonly leader?: string
}

export function play(story: Story): FailoverWorld {
  const world = new FailoverWorld(story.options)
  world.runFor(SETTLE_MILLISECONDS)
  expect(world.writers.acknowledged.length).toBeGreaterThan(100)
  const failedAt = world.now
  story.act(world)
  world.runFor(AFTERMATH_MILLISECONDS)
  expect(world.broken()).toEqual([])
  if (!world.converged()) explain(world, failedAt)
  expect(world.converged()).toEqual(true)
  if (world.gapSince(failedAt) >= story.gapBelow) explain(world, failedAt)
  expect(world.gapSince(failedAt)).toBeLessThan(story.gapBelow)
  if (story.leader !== undefined) expect(world.leader()?.id as string).toEqual(story.leader)
  return world
}

/** Shown only by a failing test. */
function explain(world: FailoverWorld, since: number): void {
  const lines = world.events.map(event => {
    const at = (event.at - since).toFixed(1)
    return `${at} ${event.step} ${event.term} ${event.detail}`
  })
  console.log(lines.join('\n'))
  for (const server of world.servers) {
    console.log(server.id, server.role, server.lastTerm, server.fencedTerm, server.source)
  }
  for (const node of world.nodes) console.log(node.watcher.entryHost, node.routed?.record)
}

export const isAnnounced = (effect: FailoverEffect, phase: string): boolean =>
  effect.kind === 'announce' && effect.record.phase.kind === phase

export const isSwapped = (effect: FailoverEffect, phase: string): boolean =>
  effect.kind === 'swapRecord' && effect.record.phase.kind === phase
