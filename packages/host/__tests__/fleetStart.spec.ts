import { describe, it } from 'node:test'
import { expect } from 'earl'
import { hostKey } from '@nutmegcourse/coordination'
import { freePorts } from '@nutmegcourse/stand-ins'
import { inScene, type Scene, type SceneHost } from './support/scene.js'

const wait = (span: number): Promise<void> => new Promise(resolve => setTimeout(resolve, span))

const callsOf = ({ store }: Scene, name: string): number => store.calls.get(name) ?? 0

const HOSTS = 24
/** Longer than hosts take to hear of each other. */
const SETTLE_MILLISECONDS = 4000

/** One host that is registered; `ports` are those of its lives, in order. */
async function withRegisteredHost(
  ports: readonly number[],
  run: (scene: Scene, first: SceneHost, key: string) => Promise<void>,
): Promise<void> {
  const start = async (scene: Scene, [first]: readonly SceneHost[]): Promise<void> => {
    if (first === undefined) return
    const key = hostKey(first.host.name)
    await scene.until(() => scene.store.record(key) !== null, 'it is registered')
    await run(scene, first, key)
  }
  await inScene(1, start, { relayPorts: ports })
}

describe('the calls to the store when hosts start', () => {
  // Guards against a start that costs each host some watches before it knows through whom it may follow.
  it('are few where the whole fleet starts for the first time', async () => {
    const options = { relayPorts: await freePorts(HOSTS), isFirstStart: true }
    await inScene(
      HOSTS,
      async scene => {
        await wait(SETTLE_MILLISECONDS)
        expect(callsOf(scene, 'list')).toEqual(HOSTS)
        expect(callsOf(scene, 'watch') < HOSTS / 2).toEqual(true)
      },
      options,
    )
  })

  // Guards against a return of all hosts at once in which each tells all others that it is back, though its record stands.
  it('are one and a renewal for a host that starts again while its record stands', async () => {
    const [port = 0] = await freePorts(1)
    await withRegisteredHost([port, port], async (scene, first, key) => {
      const standing = scene.store.record(key)
      const granted = callsOf(scene, 'grantLease')
      first.host.close()
      scene.add(first.host.name)
      await scene.until(() => callsOf(scene, 'renewLease') === 1, 'it takes its record over')
      expect(callsOf(scene, 'grantLease')).toEqual(granted)
      expect(scene.store.record(key)).toEqual(standing)
    })
  })

  it('are those of a new host where the record is of another address', async () => {
    const ports = await freePorts(2)
    await withRegisteredHost(ports, async (scene, first, key) => {
      first.host.close()
      scene.add(first.host.name)
      const isNew = (): boolean =>
        scene.store.record(key)?.value.includes(String(ports[1])) === true
      await scene.until(isNew, 'its new address is known')
    })
  })

  it('are those of a new host where the lease of its record has ended', async () => {
    const [port = 0] = await freePorts(1)
    await withRegisteredHost([port, port], async (scene, first, key) => {
      await first.host.stop()
      expect(scene.store.record(key)).toEqual(null)
      scene.add(first.host.name)
      await scene.until(() => scene.store.record(key) !== null, 'it is registered again')
    })
  })
})
