import { describe, it } from 'node:test'
import type { Socket } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'earl'
import type { ResultAsync } from 'neverthrow'
import type { PositionReport } from '@nutmegcourse/protocol'
import { term } from '@nutmegcourse/shared'
import { ControlConnection, type TransportError } from '../src/index.js'
import {
  positionAnswer,
  refusal,
  startPositionServer,
  type ReceivedStatement,
} from './positionServer.js'

const TIME_LIMIT_MILLISECONDS = 500
const STALE_TERM = 'NM001'

async function connect(
  onStatement: (count: number, statement: ReceivedStatement) => void,
): Promise<{ connection: ControlConnection; close: () => void }> {
  const { server, port } = await startPositionServer((count, _, statement) => {
    onStatement(count, statement)
  })
  const options = { address: '127.0.0.1', port, database: 'any', user: 'any' }
  const connection = (await ControlConnection.open(options, 1000))._unsafeUnwrap()
  const close = () => {
    connection.close()
    server.close()
  }
  return { connection, close }
}

/** The offset in the answer, or the kind of error. */
const outcomeOf = (answer: ResultAsync<PositionReport, TransportError>): Promise<string> =>
  answer.match(
    ({ position }) => String(position.offset),
    ({ kind }) => kind,
  )

describe('a control connection on which an answer comes again', () => {
  const answers = [
    { what: 'a position', first: positionAnswer('1', 1), outcome: '1' },
    { what: 'a refusal', first: refusal(STALE_TERM), outcome: 'remote' },
  ]
  for (const { what, first, outcome } of answers) {
    // Guards against an earlier log position that counts as the present one, by which reads miss later writes, and
    // against a promotion that counts as refused.
    it(`does not take ${what} for the answer to the next statement`, async () => {
      const { connection, close } = await connect((count, { number, socket }) => {
        if (count === 1) socket.write(first)
        else socket.write(Buffer.concat([first, positionAnswer(number, 2)]))
      })
      const fenced = await outcomeOf(connection.fence(term(1), TIME_LIMIT_MILLISECONDS))
      const promoted = await outcomeOf(connection.promote(term(1), TIME_LIMIT_MILLISECONDS))
      const { closed } = connection
      close()
      expect({ fenced, promoted, closed }).toEqual({
        fenced: outcome,
        promoted: 'connectionLost',
        closed: true,
      })
    })

    it(`does not take ${what} for the answer to a queued statement`, async () => {
      const { connection, close } = await connect((count, { number, socket }) => {
        if (count === 1) socket.write(Buffer.concat([first, first]))
        else socket.write(positionAnswer(number, 2))
      })
      const outcomes = await Promise.all([
        outcomeOf(connection.fence(term(1), TIME_LIMIT_MILLISECONDS)),
        outcomeOf(connection.promote(term(1), TIME_LIMIT_MILLISECONDS)),
      ])
      close()
      expect(outcomes).toEqual([outcome, 'connectionLost'])
    })
  }

  // Guards against connections that take a place at the server and are never used again.
  it('is ended', async () => {
    const sockets: Socket[] = []
    const { connection, close } = await connect((_, { number, socket }) => {
      sockets.push(socket)
      socket.write(positionAnswer(number))
      setTimeout(() => socket.write(positionAnswer(number)), 20)
    })
    expect(await outcomeOf(connection.position(TIME_LIMIT_MILLISECONDS))).toEqual('7')
    await delay(500)
    expect(sockets.map(({ closed }) => closed)).toEqual([true])
    expect(connection.closed).toEqual(true)
    close()
  })
})
