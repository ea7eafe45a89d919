import { describe, it } from 'node:test'
import { expect } from 'earl'
import { freePorts } from '@nutmegcourse/stand-ins'
import {
  A,
  B,
  CONFIGURATION,
  P,
  withHostFixture,
  type HostFixture,
  type FixtureHost,
} from './support/hostFixture.js'

const wait = (span: number): Promise<void> => new Promise(resolve => setTimeout(resolve, span))

const HOSTS = 24
const ZONES = ['zone-1', 'zone-2']

/** The time within which a configuration must be in force. */
const BOUND_MILLISECONDS = 4000

/** Longer than hosts take to learn of each other and through which host they follow the store. */
const SETTLE_MILLISECONDS = 3000

async function withZones(
  run: (scene: HostFixture, hosts: readonly FixtureHost[]) => Promise<void>,
) {
  const zones = Array.from({ length: HOSTS }, (_, index) => ZONES[index % ZONES.length] ?? '')
  const options = { relayPorts: await freePorts(HOSTS), zones }
  await withHostFixture(
    HOSTS,
    async (scene, hosts) => {
      await wait(SETTLE_MILLISECONDS)
      await run(scene, hosts)
    },
    options,
  )
}

const watchesOf = ({ store }: HostFixture): number => store.callCounts.get('watch') ?? 0

/** Configures a version; returns the milliseconds until it is in force at all of these hosts. */
async function millisecondsUntilInForce(
  scene: HostFixture,
  hosts: readonly FixtureHost[],
  version: number,
): Promise<number> {
  const startedAt = performance.now()
  scene.store.configure({ ...CONFIGURATION, version, idleTransactionMilliseconds: version })
  await scene.until(
    () => hosts.every(({ host }) => host.idleTransactionMilliseconds === version),
    `version ${version} is in force`,
  )
  return performance.now() - startedAt
}

describe('hosts that follow the store through one host of their zone', () => {
  // Guards against calls in proportion to hosts times changes: each change ended the watch of every host.
  it('make calls in proportion to zones, not hosts', async () => {
    await withZones(async (scene, hosts) => {
      const before = watchesOf(scene)
      const changes = 20
      for (let change = 0; change < changes; change += 1) {
        scene.listServer([P, A, B][change % 3] ?? P, { isLeaving: false, bornAt: 1 })
        await wait(50)
      }
      const span = await millisecondsUntilInForce(scene, hosts, 7)
      expect(span < BOUND_MILLISECONDS).toEqual(true)
      const made = watchesOf(scene) - before
      // Fewer than one call per host.
      expect(made < HOSTS).toEqual(true)
    })
  })

  interface Failure {
    readonly name: string
    readonly fail: (host: FixtureHost) => void
  }

  // Guards against hosts that wait for changes at a host that will never respond.
  const FAILURES: readonly Failure[] = [
    {
      name: 'one host after the other stops',
      fail: ({ host }) => {
        host.close()
      },
    },
    {
      name: 'one host after the other loses the store',
      fail: ({ store }) => {
        store.behaviour = 'refusing'
      },
    },
    {
      name: 'one host after the other gets no response from the store',
      fail: ({ store }) => {
        store.behaviour = 'silent'
      },
    },
  ]
  for (const { name, fail } of FAILURES) {
    it(`receive changes within the bound when ${name}`, async () => {
      await withZones(async (scene, hosts) => {
        let version = 10
        for (let index = 0; index < 6; index += 1) {
          const failed = hosts[index]
          if (failed !== undefined) fail(failed)
          version += 1
          const span = await millisecondsUntilInForce(scene, hosts.slice(index + 1), version)
          expect(span < BOUND_MILLISECONDS).toEqual(true)
        }
      })
    })
  }
})
