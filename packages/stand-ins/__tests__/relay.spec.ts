import { afterEach, beforeEach, describe, it } from 'node:test'
import { connect, type Server, type Socket } from 'node:net'
import { expect } from 'earl'
import { listen, openJsonRpc, type JsonRpcConnection } from '@nutmegcourse/transport'
import { Relay, relaySettingsSchema } from '../src/index.js'

const ANSWER_TIMEOUT_MILLISECONDS = 5000
const SILENCE_MILLISECONDS = 100

describe('relay', () => {
  let relay: Relay
  let admin: JsonRpcConnection
  let target: Server
  let linkPort = 0
  const sockets: Socket[] = []

  beforeEach(async () => {
    relay = new Relay(
      relaySettingsSchema.parse({ regions: { a: 'r', b: 's' }, regionDelayMilliseconds: 20 }),
    )
    admin = (
      await openJsonRpc('127.0.0.1', await relay.start(), {}, ANSWER_TIMEOUT_MILLISECONDS)
    )._unsafeUnwrap()
    const echo = await listen('127.0.0.1', 0, socket => {
      sockets.push(socket)
      socket.pipe(socket)
    })
    target = echo.server
    await call('relay.target', { target: 'echo', port: echo.port })
    const link = { sourceZone: 'a', targetZone: 'b', target: 'echo' }
    linkPort = ((await call('relay.link', link)) as { port: number }).port
  })
  afterEach(() => {
    admin.close()
    relay.stop()
    target.close()
    for (const socket of sockets) socket.destroy()
  })

  const call = async (method: string, params: unknown): Promise<unknown> =>
    (await admin.request(method, params, ANSWER_TIMEOUT_MILLISECONDS))._unsafeUnwrap()
  const open = (): Socket => {
    const socket = connect({ host: '127.0.0.1', port: linkPort })
    sockets.push(socket)
    return socket
  }
  const nextText = (socket: Socket): Promise<string> =>
    new Promise(resolve =>
      socket.once('data', chunk => {
        resolve(chunk.toString())
      }),
    )
  const silence = (): Promise<string> =>
    new Promise(resolve => setTimeout(resolve, SILENCE_MILLISECONDS, 'quiet'))

  it('delays both ways and counts bytes by region', async () => {
    const socket = open()
    const start = performance.now()
    socket.write('hello')
    expect(await nextText(socket)).toEqual('hello')
    expect(performance.now() - start).toBeGreaterThanOrEqual(39)
    expect(await call('relay.bytes', {})).toEqual({ 'r>s': 5, 's>r': 5 })
  })

  it('keeps connections open and silent during a cut and delivers afterwards', async () => {
    const existing = open()
    existing.write('1')
    expect(await nextText(existing)).toEqual('1')
    await call('relay.cut', { from: ['a'], to: ['b'], cut: true })
    const opened = open()
    for (const socket of [existing, opened]) {
      socket.write('2')
      expect(await Promise.race([nextText(socket), silence()])).toEqual('quiet')
      expect(socket.closed).toEqual(false)
    }
    const late = [existing, opened].map(nextText)
    await call('relay.cut', { from: ['b'], to: ['a'], cut: false })
    expect(await Promise.all(late)).toEqual(['2', '2'])
  })

  it('delivers the last bytes of a connection that ends', async () => {
    const socket = open()
    socket.end('bye')
    expect(await nextText(socket)).toEqual('bye')
  })
})
