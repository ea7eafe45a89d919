import { createServer, type AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { freePorts } from '@nutmegcourse/stand-ins'
import { addMilliseconds, SystemClock } from '@nutmegcourse/shared'
import { JsonRpcConnection } from '@nutmegcourse/transport'
import type { HostContext } from '../src/hostContext.js'
import { RelayPeer } from '../src/relayPeer.js'
import { RELAY_METHODS } from '../src/relayMessages.js'

const wait = (span: number): Promise<void> => new Promise(resolve => setTimeout(resolve, span))

// Guards against reconnection attempts on behalf of callers: each second some callers' statements were sent to an
// unreachable host as a test, and waited for a connection that could not be opened. Reconnecting is done in the
// background instead.
describe('a peer host that can not be reached', () => {
  it('receives no statements until a background reconnection succeeds', async () => {
    const [port = 0] = await freePorts(1)
    const context = {
      clock: new SystemClock(),
      log: { write: () => undefined },
    } as unknown as HostContext
    const peer = new RelayPeer(context, 'host-2', { host: '127.0.0.1', port })
    const deadline = context.clock.now()
    expect(await peer.call(RELAY_METHODS.single, () => ({}), deadline)).toEqual({ kind: 'notSent' })
    expect(peer.isUp).toEqual(false)
    const server = createServer(socket => {
      new JsonRpcConnection(socket, {})
    })
    await new Promise<void>(resolve => server.listen(port, '127.0.0.1', resolve))
    const limit = performance.now() + 3000
    while (!peer.isUp && performance.now() < limit) {
      peer.tick(context.clock.now())
      await wait(25)
    }
    expect(peer.isUp).toEqual(true)
    peer.close()
    server.close()
  })
})

// Guards against a stopping host that loses power before it closes its connection. The connection stays open on this
// side, and the host's next incarnation at the same address never received a statement again.
describe('a peer host that announced that it is stopping', () => {
  it('is used again after its grace period, although its connection was never closed', async () => {
    const [port = 0] = await freePorts(1)
    const context = {
      clock: new SystemClock(),
      log: { write: () => undefined },
      settings: { graceMilliseconds: 300 },
    } as unknown as HostContext
    const accepted: JsonRpcConnection[] = []
    const server = createServer(socket => {
      accepted.push(
        new JsonRpcConnection(socket, { [RELAY_METHODS.single]: () => ({ kind: 'declined' }) }),
      )
    })
    await new Promise<void>(resolve => server.listen(port, '127.0.0.1', resolve))
    const peer = new RelayPeer(context, 'host-2', { host: '127.0.0.1', port })
    await peer.call(RELAY_METHODS.single, () => ({}), context.clock.now())
    accepted[0]?.notify(RELAY_METHODS.leaving, {})
    const until = async (isUp: boolean): Promise<number> => {
      const startedAt = performance.now()
      while (peer.isUp !== isUp && performance.now() < startedAt + 3000) {
        peer.tick(context.clock.now())
        await wait(25)
      }
      return performance.now() - startedAt
    }
    await until(false)
    expect([peer.isUp, peer.isLost]).toEqual([false, false])
    const span = await until(true)
    expect([peer.isUp, span > 250, accepted.length]).toEqual([true, true, 2])
    peer.close()
    server.close()
  })
})

// Guards against a statement with long session values that closed the connection between two hosts, and cost the
// statements of all other callers on it their answers.
describe('a statement that is too long for the connection to a peer host', () => {
  it('counts as not sent, and the others on the connection are answered', async () => {
    const context = {
      clock: new SystemClock(),
      log: { write: () => undefined },
    } as unknown as HostContext
    const answered = { kind: 'answered', answer: { kind: 'acknowledged' }, position: null }
    const answer = { ...answered, own: null, transaction: null }
    const server = createServer(socket => {
      new JsonRpcConnection(socket, { [RELAY_METHODS.single]: () => wait(100).then(() => answer) })
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const { port } = server.address() as AddressInfo
    const peer = new RelayPeer(context, 'host-2', { host: '127.0.0.1', port })
    const deadline = addMilliseconds(context.clock.now(), 2000)
    const call = (text: string) => peer.call(RELAY_METHODS.single, () => ({ text }), deadline)
    const outcomes = await Promise.all([call('a'), call('b'.repeat(5_000_000)), call('c')])
    peer.close()
    server.close()
    expect(outcomes.map(({ kind }) => kind)).toEqual(['answered', 'notSent', 'answered'])
  })
})
