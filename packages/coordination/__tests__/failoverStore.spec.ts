import { describe, test } from 'node:test'
import { expect } from 'earl'
import { AFTERMATH_MILLISECONDS, SETTLE_MILLISECONDS, play, type Story } from './failoverStory.js'
import { FailoverWorld } from './failoverWorld.js'

describe('FailoverCore does not wait for the store', () => {
  /*
   * The store is down or slow while a primary fails, and callers wait as long as the store does;
   * or the store comes back with the old record, and hosts route to the replaced primary.
   */
  const stories: readonly Story[] = [
    {
      name: 'down for good before the primary fails',
      act: world => {
        world.store.state = 'down'
        world.runFor(1_000)
        world.kill('server-0')
      },
      gapBelow: 250,
    },
    {
      name: 'down before the failure and up again after it',
      act: world => {
        world.store.state = 'down'
        world.kill('server-0')
        world.runFor(3_000)
        world.store.state = 'up'
      },
      gapBelow: 250,
    },
    {
      name: 'down from the middle of the change',
      act: world => {
        world.kill('server-0')
        world.runFor(65)
        world.store.state = 'down'
        world.runFor(2_000)
        world.store.state = 'up'
      },
      gapBelow: 250,
    },
    {
      name: 'slow by half a second',
      act: world => {
        world.store.delay = 500
        world.kill('server-0')
      },
      gapBelow: 250,
    },
    {
      name: 'takes changes and loses its answers',
      act: world => {
        world.store.state = 'answersLost'
        world.kill('server-0')
        world.runFor(3_000)
        world.store.state = 'up'
      },
      gapBelow: 250,
    },
  ]
  for (const story of stories) {
    test(story.name, () => {
      const world = play(story)
      if (world.store.state === 'down') return
      expect(world.store.stored.record?.primary).toEqual(world.leader()?.id ?? null)
      expect(world.store.stored.record?.phase.kind).toEqual('stable')
    })
  }

  test('its coordinator is gone when it comes back: another brings the record', () => {
    const world = new FailoverWorld()
    world.runFor(SETTLE_MILLISECONDS)
    world.store.state = 'down'
    world.kill('server-0')
    world.runFor(1_000)
    const coordinator = world.node(1).routed?.record.coordinator ?? ''
    world.kill(coordinator)
    world.store.state = 'up'
    world.runFor(AFTERMATH_MILLISECONDS)
    expect(coordinator === '').toEqual(false)
    expect(world.store.stored.record?.primary).toEqual(world.leader()?.id ?? null)
  })

  test('every host is replaced while the store is down: the leader itself is found', () => {
    const world = new FailoverWorld()
    world.runFor(SETTLE_MILLISECONDS)
    world.store.state = 'down'
    world.kill('server-0')
    world.runFor(1_000)
    const leader = world.leader()
    for (const host of [0, 1, 2]) world.restart(host)
    world.runFor(5_000)
    expect(world.leader()).toEqual(leader)
    expect(world.node(1).core.known?.record.primary).toEqual(leader?.id ?? null)
    world.store.state = 'up'
    world.runFor(10_000)
    expect(world.store.stored.record?.primary).toEqual(leader?.id ?? null)
    expect(world.broken()).toEqual([])
    expect(world.converged()).toEqual(true)
  })

  test('a new database gets its first primary and record', () => {
    const world = new FailoverWorld()
    world.store.stored = { record: null, revision: 0 }
    world.server(0).role = 'replica'
    world.runFor(3_000)
    expect(world.converged()).toEqual(true)
    expect(world.store.stored.record?.primary).toEqual(world.leader()?.id ?? null)
  })
})
