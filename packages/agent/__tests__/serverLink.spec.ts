import { describe, it } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'earl'
import { listen } from '@nutmegcourse/transport'
import type { ListedBackendServer } from '@nutmegcourse/protocol'
import { backendServerId, term } from '@nutmegcourse/shared'
import { ServerLink } from '../src/serverLink.js'

const TIME_LIMIT_MILLISECONDS = 500

function frame(type: string, body: Buffer): Buffer {
  const head = Buffer.alloc(5)
  head.write(type)
  head.writeInt32BE(body.length + 4, 1)
  return Buffer.concat([head, body])
}

const READY = frame('Z', Buffer.from('I'))
const LOGIN_ACCEPTED = Buffer.concat([frame('R', Buffer.alloc(4)), READY])
const STALE_TERM = frame('E', Buffer.from('SERROR\0CNM001\0Mstale term\0\0'))

describe('the link to a server that refuses a fence', () => {
  // Guards against a healthy server that is suspected, since its refusal ends the connection.
  it('does not report a lost connection, and opens another one', async () => {
    let connections = 0
    const { server, port } = await listen('127.0.0.1', 0, socket => {
      connections += 1
      socket.on('error', () => undefined)
      socket.once('data', () => {
        socket.write(LOGIN_ACCEPTED)
        socket.on('data', () => socket.write(Buffer.concat([STALE_TERM, READY])))
      })
    })
    const listed = { id: backendServerId('s'), address: '127.0.0.1', port, database: 'd' }
    let losses = 0
    const link = new ServerLink(listed as ListedBackendServer, 'user', () => {
      losses += 1
    })
    const fence = () =>
      link.fence(term(1), TIME_LIMIT_MILLISECONDS).match(
        () => 'fenced',
        failure => failure,
      )
    const outcomes = [await fence()]
    await delay(200)
    outcomes.push(await fence())
    link.close()
    server.close()
    expect({ outcomes, losses, connections }).toEqual({
      outcomes: ['staleTerm', 'staleTerm'],
      losses: 0,
      connections: 2,
    })
  })
})
