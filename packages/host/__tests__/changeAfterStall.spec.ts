import { describe, it } from 'node:test'
import { expect } from 'earl'
import { StoreConnection } from '@nutmegcourse/stand-ins'
import { A, P, withHostFixture, type FixtureHost } from './support/hostFixture.js'

/** Longer than a host waits for an ordered promotion to take effect. */
const STALL_MILLISECONDS = 3200

/** Within this time a host that takes the new primary for an old one has replaced it. */
const SECOND_CHANGE_MILLISECONDS = 1000

const isDone = ({ lines }: FixtureHost): boolean =>
  lines.some(({ event }) => event === 'change_done')

describe('a change of primary by a host that stalls', () => {
  // The host's process stalled while the platform promoted a server. It gave up waiting, took the new primary for
  // an old one and replaced it, so that writes were interrupted a second time.
  it('does not replace the server that was promoted meanwhile', async () => {
    await withHostFixture(0, async scene => {
      const host = scene.add('host-1', 1000, new LongLeases(scene.store))
      await scene.ready()
      const caller = await scene.caller(host, 'latest')
      await caller.outcomeOf('write 1')
      let orders = 0
      scene.promotionFault = () => {
        orders += 1
        if (orders === 1) setTimeout(stall, 10)
        return 'none'
      }
      scene.crash(P)
      await scene.until(() => isDone(host), 'the change is done', 9000)
      await new Promise(resolve => setTimeout(resolve, SECOND_CHANGE_MILLISECONDS))
      expect(scene.group.promotions).toEqual(1)
      expect(scene.group.primary.id).toEqual(A)
      expect(await caller.outcomeOf('write 1')).toEqual('done')
    })
  })
})

/** Blocks this process, as the system does when it gives it no processor. */
function stall(): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STALL_MILLISECONDS)
}

/** A connection to the store whose leases outlast the stall also on a loaded machine. */
class LongLeases extends StoreConnection {
  override grantLease(_lifetime: number, limit: number): ReturnType<StoreConnection['grantLease']> {
    return super.grantLease(60_000, limit)
  }
}
