import { after, before, describe, it } from 'node:test'
import type { Server } from 'node:net'
import { expect } from 'earl'
import { JsonRpcConnection, listen, openJsonRpc } from '../src/index.js'

const REQUEST_TIMEOUT_MILLISECONDS = 50

function blockEventLoop(): void {
  const end = performance.now() + 2 * REQUEST_TIMEOUT_MILLISECONDS
  while (performance.now() < end);
}

describe('JsonRpcConnection', () => {
  let server: Server
  let port = 0
  before(async () => {
    const listening = await listen('127.0.0.1', 0, socket => {
      new JsonRpcConnection(socket, {
        echo: params => params,
        fail: () => {
          throw new Error('no such value')
        },
        silent: () => new Promise(() => undefined),
        drop: () => {
          socket.destroy()
        },
        stall: () => {
          setImmediate(blockEventLoop)
          return null
        },
      })
    })
    server = listening.server
    port = listening.port
  })
  after(() => server.close())

  const cases = [
    { method: 'echo', outcome: 'answered' },
    { method: 'fail', outcome: 'remote' },
    { method: 'absent', outcome: 'remote' },
    { method: 'silent', outcome: 'answerTimeout' },
    { method: 'drop', outcome: 'connectionLost' },
    // Guards against a stall of this process being taken for a silent peer, whose answer lies unread.
    { method: 'stall', outcome: 'answered' },
  ] as const
  for (const { method, outcome } of cases) {
    it(`resolves a request to ${method} with the outcome ${outcome}`, async () => {
      const connection = (await openJsonRpc('127.0.0.1', port, {}, 1000))._unsafeUnwrap()
      const result = await connection.request(method, { value: 7 }, REQUEST_TIMEOUT_MILLISECONDS)
      connection.close()
      expect(
        result.match(
          () => 'answered',
          error => error.kind,
        ),
      ).toEqual(outcome)
    })
  }

  it('distinguishes a refused connection from a lost one', async () => {
    const closed = await listen('127.0.0.1', 0, () => undefined)
    closed.server.close()
    const result = await openJsonRpc('127.0.0.1', closed.port, {}, 1000)
    expect(result._unsafeUnwrapErr().kind).toEqual('connectRefused')
  })
})
