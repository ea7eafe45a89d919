import { after, describe, it } from 'node:test'
import type { Server, Socket } from 'node:net'
import { expect } from 'earl'
import { ControlConnection, listen } from '../src/index.js'

/** An ErrorResponse as the server sends it when it refuses a connection at startup. */
function errorFrame(sqlState: string): Buffer {
  const fields = Buffer.from(`SFATAL\0C${sqlState}\0Mtoo many connections\0\0`)
  const head = Buffer.alloc(5)
  head.write('E')
  head.writeInt32BE(fields.length + 4, 1)
  return Buffer.concat([head, fields])
}

describe('ControlConnection.open', () => {
  const servers: Server[] = []
  after(() => {
    for (const server of servers) server.close()
  })

  // Failure detection must distinguish dead, slow and full servers within a round trip. Behind a
  // relay, a connection to a dead process is accepted and closed at once; if that was classified
  // as a time-out, every failover would take the whole detection bound.
  const cases: { name: string; accept: (socket: Socket) => void; kind: string }[] = [
    {
      name: 'a connection that is closed before the server sends anything',
      accept: socket => socket.destroy(),
      kind: 'connectRefused',
    },
    {
      name: 'a server that sends nothing',
      accept: socket => socket.unref(),
      kind: 'connectTimeout',
    },
    {
      name: 'a server that has reached its connection limit',
      accept: socket => socket.once('data', () => socket.end(errorFrame('53300'))),
      kind: 'remote',
    },
  ]
  for (const { name, accept, kind } of cases) {
    it(`fails with ${kind} for ${name}`, async () => {
      const { server, port } = await listen('127.0.0.1', 0, socket => {
        socket.on('error', () => undefined)
        accept(socket)
      })
      servers.push(server)
      const options = { address: '127.0.0.1', port, database: 'any', user: 'any' }
      const opened = await ControlConnection.open(options, 100)
      expect(opened._unsafeUnwrapErr().kind).toEqual(kind as 'remote')
    })
  }
})
