import { describe, it } from 'node:test'
import { expect } from 'earl'
import { hostKey } from '@nutmegcourse/coordination'
import { freePorts } from '@nutmegcourse/stand-ins'
import { withHostFixture, type HostFixture, type FixtureHost } from './support/hostFixture.js'

const wait = (span: number): Promise<void> => new Promise(resolve => setTimeout(resolve, span))

const callsOf = ({ store }: HostFixture, name: string): number => store.callCounts.get(name) ?? 0

const HOSTS = 24
/** Longer than hosts take to learn of each other. */
const SETTLE_MILLISECONDS = 4000

/** Runs a test with one registered host; `ports` are the relay ports of its incarnations, in order. */
async function withRegisteredHost(
  ports: readonly number[],
  run: (scene: HostFixture, first: FixtureHost, key: string) => Promise<void>,
): Promise<void> {
  const runWhenRegistered = async (
    scene: HostFixture,
    [first]: readonly FixtureHost[],
  ): Promise<void> => {
    if (first === undefined) return
    const key = hostKey(first.host.name)
    await scene.until(() => scene.store.record(key) !== null, 'it is registered')
    await run(scene, first, key)
  }
  await withHostFixture(1, runWhenRegistered, { relayPorts: ports })
}

describe('the start of hosts', () => {
  // Guards against a start in which each host makes several watches before it knows through which host to follow.
  it('costs few calls to the store when the whole fleet starts for the first time', async () => {
    const options = { relayPorts: await freePorts(HOSTS), isFirstStart: true }
    await withHostFixture(
      HOSTS,
      async scene => {
        await wait(SETTLE_MILLISECONDS)
        expect(callsOf(scene, 'list')).toEqual(HOSTS)
        expect(callsOf(scene, 'watch') < HOSTS / 2).toEqual(true)
      },
      options,
    )
  })

  // Guards against a return from a loss of power in which every host reads the whole list over one slow link, so that none
  // has it for seconds.
  it('reads the list once for a zone when all hosts start again at the same time', async () => {
    const ports = await freePorts(HOSTS)
    await withHostFixture(
      HOSTS,
      async (scene, hosts) => {
        await wait(SETTLE_MILLISECONDS)
        for (const { host } of hosts) host.close()
        const listsBefore = callsOf(scene, 'list')
        const started = hosts.map(({ host }) => scene.add(host.name))
        await scene.until(() => started.every(({ host }) => host.isReady), 'all hosts are ready')
        expect(callsOf(scene, 'list') - listsBefore < HOSTS / 2).toEqual(true)
      },
      { relayPorts: [...ports, ...ports] },
    )
  })

  // Guards against a simultaneous restart of all hosts in which each writes its record again although it is unchanged.
  it('only renews the lease of a host that starts again while its record is still stored', async () => {
    const [port = 0] = await freePorts(1)
    await withRegisteredHost([port, port], async (scene, first, key) => {
      const storedRecord = scene.store.record(key)
      const grantsBefore = callsOf(scene, 'grantLease')
      first.host.close()
      scene.add(first.host.name)
      await scene.until(() => callsOf(scene, 'renewLease') === 1, 'it takes its record over')
      expect(callsOf(scene, 'grantLease')).toEqual(grantsBefore)
      expect(scene.store.record(key)).toEqual(storedRecord)
    })
  })

  it('registers the host again when its stored record has another address', async () => {
    const ports = await freePorts(2)
    await withRegisteredHost(ports, async (scene, first, key) => {
      first.host.close()
      scene.add(first.host.name)
      const isNew = (): boolean =>
        scene.store.record(key)?.value.includes(String(ports[1])) === true
      await scene.until(isNew, 'its new address is known')
    })
  })

  it('registers the host again when the lease of its record has ended', async () => {
    const [port = 0] = await freePorts(1)
    await withRegisteredHost([port, port], async (scene, first, key) => {
      await first.host.stop()
      expect(scene.store.record(key)).toEqual(null)
      scene.add(first.host.name)
      await scene.until(() => scene.store.record(key) !== null, 'it is registered again')
    })
  })
})
