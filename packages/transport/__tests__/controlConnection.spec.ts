import { after, describe, it } from 'node:test'
import type { Server, Socket } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'earl'
import { ControlConnection, listen } from '../src/index.js'
import { errorFrame, startPositionServer } from './positionServer.js'

function stall(milliseconds: number): void {
  const end = performance.now() + milliseconds
  while (performance.now() < end);
}

describe('ControlConnection', () => {
  // A watcher that stalled has the answer in its socket, unread, when its timers run. Taken for
  // a server that does not answer, a healthy connection is closed, and a fence or another position
  // query has to wait for a new one.
  it('reads an answer that arrived in time before it gives up', async () => {
    const timeout = 50
    const { server, port } = await startPositionServer((_, answer) => {
      answer()
      stall(2 * timeout)
    })
    const options = { address: '127.0.0.1', port, database: 'any', user: 'any' }
    const connection = (await ControlConnection.open(options, 1000))._unsafeUnwrap()
    const answer = await connection.position(timeout)
    connection.close()
    server.close()
    expect(answer.map(report => report.role as string).unwrapOr('no answer')).toEqual('primary')
  })
})

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
      accept: socket => socket.once('data', () => socket.end(errorFrame('FATAL', '53300'))),
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

describe('ControlConnection.position', () => {
  const TIME_LIMIT_MILLISECONDS = 50
  const LATE_MILLISECONDS = 150
  const servers: Server[] = []
  after(() => {
    for (const server of servers) server.close()
  })

  async function connect(
    onStatement: Parameters<typeof startPositionServer>[0],
  ): Promise<ControlConnection> {
    const { server, port } = await startPositionServer(onStatement)
    servers.push(server)
    const options = { address: '127.0.0.1', port, database: 'any', user: 'any' }
    return (await ControlConnection.open(options, 1000))._unsafeUnwrap()
  }

  const stallThisProcess = (span: number): void => {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, span)
  }

  // Guards against a healthy server that is taken for silent after a stall of the asking process.
  it('counts an answer that arrived while this process stalled', async () => {
    const connection = await connect((_, answer) => {
      answer()
      stallThisProcess(LATE_MILLISECONDS)
    })
    const report = await connection.position(TIME_LIMIT_MILLISECONDS)
    expect(report._unsafeUnwrap().position.offset as number).toEqual(7)
    connection.close()
  })

  // Guards against a suspicion that outlives a short pause of a link by the time that a new connection takes.
  it('passes on an answer that missed its time limit, and sends no further statement', async () => {
    const connection = await connect((_, answer) => {
      setTimeout(answer, LATE_MILLISECONDS)
    })
    const offsets: number[] = []
    const report = await connection.position(TIME_LIMIT_MILLISECONDS, late => {
      offsets.push(late.position.offset)
    })
    expect(report._unsafeUnwrapErr().kind).toEqual('answerTimeout')
    expect(connection.closed).toEqual(true)
    await delay(2 * LATE_MILLISECONDS)
    expect(offsets).toEqual([7])
  })

  // Guards against a fence that waits for its own time limit behind a position that is not answered.
  it('fails a statement queued behind one that missed its time limit at once', async () => {
    const connection = await connect(() => undefined)
    const position = connection.position(TIME_LIMIT_MILLISECONDS, () => undefined)
    const queued = connection.position(100 * TIME_LIMIT_MILLISECONDS)
    expect((await position)._unsafeUnwrapErr().kind).toEqual('answerTimeout')
    expect((await queued)._unsafeUnwrapErr().kind).toEqual('connectionLost')
  })
})
