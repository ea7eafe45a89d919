import { createServer, type AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { SystemClock, addMilliseconds } from '@nutmegcourse/shared'
import type { Route } from '@nutmegcourse/protocol'
import { JsonRpcConnection } from '@nutmegcourse/transport'
import type { HostContext } from '../src/hostContext.js'
import { RelayPeer } from '../src/relayPeer.js'
import { RELAY_METHODS } from '../src/relayMessages.js'
import { ReceivedRoutes, type RouteMessage, type SentRoutes } from '../src/relayRoutes.js'

const ROUTE: Route = {
  name: 'r',
  database: 'd',
  service: 'db-1',
  guarantee: { kind: 'latest' },
  statementTimeoutMilliseconds: 800,
  latencyTargetMilliseconds: 100,
  priority: 0,
  isPublic: false,
}
const ANSWER = {
  kind: 'answered',
  answer: { kind: 'acknowledged' },
  position: null,
  own: null,
  transaction: null,
}

/** A host that declines statements whose route it does not know, and the statements that contained a route. */
async function startPeerHost() {
  const withRoute: string[] = []
  const server = createServer(socket => {
    const routes = new ReceivedRoutes()
    const answer = (params: unknown) => {
      const { route, text } = params as { route: RouteMessage; text: string }
      if (route.route !== undefined) withRoute.push(text)
      return routes.read(route) === null ? { kind: 'declined' } : ANSWER
    }
    new JsonRpcConnection(socket, { [RELAY_METHODS.single]: answer })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  return { server, port, withRoute }
}

describe('the first statement of a route that is too long for the connection to a peer host', () => {
  const cases = [
    { when: 'after it', isConcurrent: false, withRoute: ['a'] },
    { when: 'together with it', isConcurrent: true, withRoute: ['a', 'c'] },
  ]
  for (const { when, isConcurrent, withRoute } of cases) {
    // Guards against a peer host that declines all statements of a route, which was counted as sent with one that was not.
    it(`leaves the route to be sent with the statements ${when}`, async () => {
      const context = {
        clock: new SystemClock(),
        log: { write: () => undefined },
      } as unknown as HostContext
      const host = await startPeerHost()
      const peer = new RelayPeer(context, 'host-2', { host: '127.0.0.1', port: host.port })
      const deadline = addMilliseconds(context.clock.now(), 2000)
      const kinds: string[] = []
      const call = async (text: string): Promise<void> => {
        const { kind } = await peer.call(
          RELAY_METHODS.single,
          (routes: SentRoutes) => ({ route: routes.write(ROUTE), text }),
          deadline,
        )
        kinds.push(kind)
      }
      const calls: Promise<void>[] = []
      for (const text of ['b'.repeat(5_000_000), 'a', 'c']) {
        const called = call(text)
        calls.push(called)
        if (!isConcurrent) await called
      }
      await Promise.all(calls)
      peer.close()
      host.server.close()
      expect(kinds).toEqual(['notSent', 'answered', 'answered'])
      expect(host.withRoute).toEqual(withRoute)
    })
  }
})
