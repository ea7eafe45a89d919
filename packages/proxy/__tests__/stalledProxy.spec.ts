/** The proxy binary after a stall, when its sockets hold several unread events. */
import { describe, it } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'earl'
import { backendServerId } from '@nutmegcourse/shared'
import { WRITE_CLASS } from './support/proxyFixture.js'
import { withProxyProcess, type ProxyProcessFixture } from './support/proxyProcessFixture.js'

const DRAIN_TIMEOUT_MILLISECONDS = 5000
/** Time for bytes to reach the kernel of this machine. */
const ARRIVAL_MILLISECONDS = 50
/** Time for a write to run, if the proxy sends it. */
const RUN_MILLISECONDS = 200

interface Case {
  readonly name: string
  /** What arrives behind the caller's write while the proxy is stalled. */
  readonly arrives: (proxy: ProxyProcessFixture) => void
  /** Whether the write must wait until the database is stable again. */
  readonly waits: boolean
}

describe('a write that waits unread while the proxy is stalled', () => {
  /**
   * The proxy reads the caller's write first and sends it before it reads that the server has closed
   * the connection, or that the primary is being moved. Guards against a write of unknown outcome
   * though the proxy had, unread, all that it needs to know.
   */
  const cases: readonly Case[] = [
    {
      name: 'is not sent on a connection that the server closed in the meantime',
      arrives: proxy => {
        proxy.backend.dropSessions()
      },
      waits: false,
    },
    {
      name: 'is held when the primary is announced to be moving in the meantime',
      arrives: proxy => {
        proxy.publish({ kind: 'moving', target: backendServerId('harbour-2') })
      },
      waits: true,
    },
  ]
  for (const { name, arrives, waits } of cases) {
    it(name, () =>
      withProxyProcess(DRAIN_TIMEOUT_MILLISECONDS, async proxy => {
        const client = await proxy.connect(WRITE_CLASS)
        await client.query('INSERT $1', ['first'])
        proxy.freeze()
        const second = client.query('INSERT $1', ['second'])
        const outcome = second.then(
          () => 'acknowledged',
          (error: unknown) => String(error),
        )
        await delay(ARRIVAL_MILLISECONDS)
        arrives(proxy)
        await delay(ARRIVAL_MILLISECONDS)
        proxy.thaw()
        await delay(RUN_MILLISECONDS)
        if (waits) expect(proxy.backend.inserted).toEqual(['first'])
        proxy.publish({ kind: 'stable' })
        expect(await outcome).toEqual('acknowledged')
        expect(proxy.backend.inserted).toEqual(['first', 'second'])
      }),
    )
  }
})
