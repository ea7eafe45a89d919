/** The proxy binary after a stall, when a connection holds bytes as well as its end unread. */
import { describe, it } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'earl'
import { WRITE_CLASS } from './support/proxyFixture.js'
import { withProxyProcess } from './support/proxyProcessFixture.js'

const DRAIN_TIMEOUT_MILLISECONDS = 5000
/** Time for bytes to reach the kernel of this machine. */
const ARRIVAL_MILLISECONDS = 50

describe('a write that waits unread while the proxy is stalled', () => {
  /** The end is read a turn after the bytes before it, and a write sent by then is lost. */
  it('is not sent on a connection that holds bytes and its end unread', () =>
    withProxyProcess(DRAIN_TIMEOUT_MILLISECONDS, async proxy => {
      const client = await proxy.connect(WRITE_CLASS)
      await client.query('INSERT $1', ['first'])
      proxy.freeze()
      const second = client.query('INSERT $1', ['second'])
      const outcome = second.then(() => 'acknowledged', String)
      await delay(ARRIVAL_MILLISECONDS)
      proxy.backend.reportParameter()
      await delay(ARRIVAL_MILLISECONDS)
      proxy.backend.dropSessions()
      await delay(ARRIVAL_MILLISECONDS)
      proxy.thaw()
      expect(await outcome).toEqual('acknowledged')
      expect(proxy.backend.inserted).toEqual(['first', 'second'])
    }))
})
