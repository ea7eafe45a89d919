import { describe, it } from 'node:test'
import { expect } from 'earl'
import { hostKey } from '@nutmegcourse/coordination'
import { eraOf } from '@nutmegcourse/protocol'
import { freePorts } from '@nutmegcourse/stand-ins'
import {
  A,
  CONFIGURATION,
  P,
  withHostFixture,
  type HostFixture,
  type FixtureHost,
} from './support/hostFixture.js'

const wait = (span: number): Promise<void> => new Promise(resolve => setTimeout(resolve, span))

const linesOf = (hosts: readonly FixtureHost[], event: string) =>
  hosts.flatMap(({ lines }) => lines.filter(line => line.event === event))

const untilRestoreKnown = (scene: HostFixture, hosts: readonly FixtureHost[]): Promise<void> =>
  scene.until(
    () => hosts.every(({ lines }) => lines.some(({ event }) => event === 'store_restored')),
    'every host knows that the store was restored',
  )

describe('hosts whose store was restored from an older copy', () => {
  // The copy is older than the hosts' records. The first hosts to learn of the restore considered the others gone and
  // planned the connections again, and then once more for each host that registered again.
  it('register again without considering each other gone', async () => {
    const options = { relayPorts: await freePorts(4), connectionLimit: 12 }
    await withHostFixture(
      4,
      async (scene, hosts) => {
        const before = scene.store.snapshot()
        const older = { ...before, records: new Map(), leases: new Map() }
        const areAllRegistered = (): boolean => scene.store.recordKeys(hostKey('')).length === 4
        await scene.until(areAllRegistered, 'all hosts are registered')
        await wait(1200)
        const planned = linesOf(hosts, 'owners_planned').length
        scene.store.restore(older)
        await untilRestoreKnown(scene, hosts)
        await scene.until(areAllRegistered, 'all hosts are registered again', 4000)
        expect(linesOf(hosts, 'owners_planned').length).toEqual(planned)
      },
      options,
    )
  })

  it('keep the newest configuration that they had in force', async () => {
    await withHostFixture(2, async (scene, hosts) => {
      const copy = scene.store.snapshot()
      scene.configure({ version: 2, routes: CONFIGURATION.routes.slice(0, 1) })
      const [remainingRoute] = CONFIGURATION.routes
      const isInForce = ({ host }: FixtureHost): boolean => host.find('own') === null
      await scene.until(() => hosts.every(isInForce), 'the route is gone')
      scene.store.restore(copy)
      await untilRestoreKnown(scene, hosts)
      await wait(200)
      expect(hosts.every(isInForce)).toEqual(true)
      expect(hosts.every(({ host }) => host.find(remainingRoute?.database ?? '') !== null)).toEqual(
        true,
      )
    })
  })

  // The store loses a claim while its holder changes the primary. Another host that claimed the change at once would
  // send orders concurrently.
  it('make no new claim while the holder of a lost claim may still act', async () => {
    await withHostFixture(3, async (scene, hosts) => {
      const copy = scene.store.snapshot()
      scene.promotionFault = () => 'noAnswer'
      scene.crash(P)
      const claims = () => linesOf(hosts, 'change_claimed')
      await scene.until(() => claims().length === 1, 'a host claims the change')
      scene.store.restore(copy)
      await untilRestoreKnown(scene, hosts)
      await wait(3000)
      expect(claims().length).toEqual(1)
      scene.promotionFault = () => 'none'
      await scene.until(() => scene.group.promotions > 0, 'another server leads', 9000)
      const tokens = claims().map(({ fields }) => Number(fields.token))
      expect(new Set(tokens).size).toEqual(tokens.length)
      expect(eraOf(Math.max(...tokens))).toEqual(1)
      expect(scene.group.primary.id === P).toEqual(false)
    })
  })

  // A replica has announced that it is leaving, after the copy was made. It received work again until it repeated the
  // announcement.
  it('send no work to a server that had announced that it is leaving', async () => {
    await withHostFixture(1, async (scene, [host]) => {
      const copy = scene.store.snapshot()
      scene.listServer(A, { isLeaving: true })
      const knowsLeaving = (): boolean =>
        host?.lines.some(({ fields }) => fields.server === A && fields.isLeaving === true) ?? false
      await scene.until(knowsLeaving, 'the host knows that it leaves')
      scene.store.restore(copy)
      await untilRestoreKnown(scene, scene.hosts)
      const reverted = host?.lines.filter(
        ({ event, fields }) => event === 'server_changed' && fields.isLeaving === false,
      )
      expect(reverted?.length).toEqual(0)
    })
  })
})

describe('a stopped host', () => {
  // Between two renewals of its record, the registration waited for a restore of the store on a timer that the stop did
  // not end, so that the process stayed alive for minutes.
  it('leaves no timer that keeps its process alive', async () => {
    const timers = (): number =>
      process.getActiveResourcesInfo().filter(each => each === 'Timeout').length
    const before = timers()
    await withHostFixture(2, scene => scene.ready())
    const limit = performance.now() + 3000
    while (timers() > before && performance.now() < limit) await wait(50)
    expect(timers() <= before).toEqual(true)
  })
})
