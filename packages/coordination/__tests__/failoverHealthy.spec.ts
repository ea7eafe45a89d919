import { describe, test } from 'node:test'
import { expect } from 'earl'
import { SETTLE_MILLISECONDS, play, type Story } from './failoverStory.js'
import { FailoverWorld } from './failoverWorld.js'

describe('FailoverCore leaves a healthy primary alone', () => {
  /*
   * Writes stop for a moment although every backend server is well.
   * Cause: a watcher takes its own pause, its own lost link or another's word for a dead primary.
   */
  const stories: readonly Story[] = [
    {
      name: 'when it pauses for less than the bound',
      act: world => {
        world.network.freeze('server-0')
        world.runFor(300)
        world.network.thaw('server-0')
      },
      gapBelow: 420,
    },
    {
      name: 'when a watcher was frozen',
      act: world => {
        world.network.freeze('host-1')
        world.runFor(2_000)
        world.network.thaw('host-1')
      },
      gapBelow: 100,
    },
    {
      name: 'when every watcher was frozen',
      act: world => {
        for (const host of ['host-0', 'host-1', 'host-2']) world.network.freeze(host)
        world.runFor(1_500)
        for (const host of ['host-0', 'host-1', 'host-2']) world.network.thaw(host)
      },
      gapBelow: 1_600,
    },
    {
      name: 'when another zone is cut off',
      act: world => {
        world.network.isolate('casa-est')
        world.runFor(5_000)
        world.network.heal('casa-est')
      },
      gapBelow: 200,
    },
    {
      name: 'when the store is down',
      act: world => {
        world.store.state = 'down'
      },
      gapBelow: 100,
    },
    {
      name: 'when a replica is killed',
      act: world => {
        world.kill('server-1')
        world.runFor(2_000)
        world.network.revive('server-1')
      },
      gapBelow: 200,
    },
  ]
  for (const story of stories) {
    test(story.name, () => {
      const world = play({ ...story, leader: 'server-0' })
      expect(world.steps().includes('termTaken')).toEqual(false)
    })
  }

  /*
   * A replica is killed and restarted; a moment later another server fails. Callers wait for seconds,
   * although two servers run.
   * Cause: a restarted replica replicates from nobody until it is told, and only a long standstill
   * told the watchers. That its process was gone and answers again tells them at once.
   */
  test('and tells a restarted replica to follow again at once', () => {
    const world = new FailoverWorld()
    world.runFor(SETTLE_MILLISECONDS)
    world.kill('server-1')
    world.runFor(1_000)
    world.server(1).source = null
    world.network.revive('server-1')
    world.runFor(600)
    expect(world.server(1).source as string | null).toEqual('server-0')
    expect(world.steps().includes('termTaken')).toEqual(false)
  })

  test('when its process stood still and timers run before sockets', () => {
    const world = new FailoverWorld({ watcherZones: ['tanger-sud'] })
    world.runFor(SETTLE_MILLISECONDS)
    const { core } = world.node(0)
    const now = world.clock.advance(5_000)
    const effects = core.handle({ kind: 'tick' }, now)
    const suspicions = effects.filter(
      effect => effect.kind === 'tellWatchers' && effect.opinion.suspected,
    )
    expect(suspicions).toEqual([])
  })

  test('when the host list loses the lines of all but one replica', () => {
    const world = new FailoverWorld()
    world.runFor(SETTLE_MILLISECONDS)
    world.listOnly(1)
    world.runFor(5_000)
    expect(world.leader()?.id as string).toEqual('server-0')
    expect(world.steps().includes('termTaken')).toEqual(false)
  })

  test('when one watcher alone is cut off from it', () => {
    const world = new FailoverWorld({ watcherZones: ['tanger-nord', 'tanger-sud', 'tanger-sud'] })
    world.runFor(SETTLE_MILLISECONDS)
    world.intercept = (host, effect) =>
      !(host === 2 && effect.kind === 'askPosition' && effect.server === world.server(0).id)
    world.runFor(5_000)
    expect(world.steps().includes('suspected')).toEqual(true)
    expect(world.steps().includes('termTaken')).toEqual(false)
  })
})
