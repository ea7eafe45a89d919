/** Where messages between processes end, and to which request an answer belongs. */
import { createServer, type Socket } from 'node:net'
import { describe, it } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'earl'
import { JsonRpcConnection, listen, openJsonRpc, type TransportError } from '../src/index.js'

const LIMIT_MILLISECONDS = 1000
const SHORT_LIMIT_MILLISECONDS = 60

interface Received {
  readonly id: number
  readonly params: unknown
}

const answerTo = (id: number, result: unknown): string =>
  `${JSON.stringify({ jsonrpc: '2.0', id, result })}\n`

/** Runs requests against a peer that answers with raw bytes; `answer` gets each request and its number. */
async function withRawPeer<Value>(
  answer: (socket: Socket, request: Received, number: number) => void,
  use: (connection: JsonRpcConnection) => Promise<Value>,
): Promise<Value> {
  let requests = 0
  const server = createServer(socket => {
    socket.on('error', () => undefined)
    let rest = ''
    socket.on('data', chunk => {
      const lines = (rest + chunk.toString()).split('\n')
      rest = lines.pop() ?? ''
      for (const line of lines) {
        answer(socket, JSON.parse(line) as Received, requests)
        requests += 1
      }
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as { port: number }
  const connection = (await openJsonRpc('127.0.0.1', port, {}, 1000))._unsafeUnwrap()
  try {
    return await use(connection)
  } finally {
    connection.close()
    server.close()
  }
}

const ask = async (
  connection: JsonRpcConnection,
  params: unknown,
  limit = LIMIT_MILLISECONDS,
): Promise<unknown> =>
  (await connection.request<unknown>('ask', params, limit)).unwrapOr('no answer')

// Guards against an answer that is given to another request than its own.
describe('an answer between processes', () => {
  const cases: readonly (readonly [string, (socket: Socket, id: number) => void])[] = [
    ['is sent twice', (socket, id) => socket.write(answerTo(id, 'a') + answerTo(id, 'a'))],
    [
      'follows one to an unknown id',
      (socket, id) => socket.write(answerTo(99, 'b') + answerTo(id, 'a')),
    ],
    [
      'has its id as a text',
      (socket, id) =>
        socket.write(
          answerTo(id, 'a').replace(`"id":${String(id)}`, `"id":"${String(id)}"`) +
            answerTo(id, 'a'),
        ),
    ],
    [
      'follows one without an id',
      (socket, id) =>
        socket.write('{"jsonrpc":"2.0","id":null,"result":"b"}\n' + answerTo(id, 'a')),
    ],
  ]
  for (const [what, answer] of cases) {
    it(`is given to its request only: ${what}`, async () => {
      const answers = await withRawPeer(
        (socket, { id, params }, number) => {
          if (number === 0) answer(socket, id)
          else socket.write(answerTo(id, params))
        },
        async connection => [await ask(connection, 'first'), await ask(connection, 'second')],
      )
      expect(answers).toEqual(['a', 'second'])
    })
  }

  it('is given to no other request if its own was given up', async () => {
    const answers = await withRawPeer(
      (socket, { id, params }, number) => {
        setTimeout(() => socket.write(answerTo(id, params)), number === 0 ? 100 : 200)
      },
      async connection => [
        await ask(connection, 'first', SHORT_LIMIT_MILLISECONDS),
        await ask(connection, 'second'),
      ],
    )
    expect(answers).toEqual(['no answer', 'second'])
  })

  it('keeps its text, however it is cut into chunks', async () => {
    const text = 'é ü \u{1f418} \u2028\u2029 \r\n \u0085 "\\'
    const answered = await withRawPeer(
      (socket, { id }) => {
        void (async () => {
          for (const byte of Buffer.from(answerTo(id, text))) {
            socket.write(Buffer.from([byte]))
            await delay(0)
          }
        })()
      },
      connection => ask(connection, 'first'),
    )
    expect(answered).toEqual(text)
  })

  const broken: readonly (readonly [string, string])[] = [
    ['no JSON', '{"jsonrpc"\n'],
    ['null', 'null\n'],
    ['a number', '7\n'],
    ['an empty line', '\n'],
    ['not of the protocol', '{"id":1,"result":7}\n'],
    ['too long and not complete', 'x'.repeat(5 * 1024 * 1024)],
  ]
  for (const [what, bytes] of broken) {
    it(`closes the connection if it is ${what}`, async () => {
      const isClosed = await withRawPeer(
        socket => socket.write(bytes),
        async connection => [await ask(connection, 'first'), connection.closed],
      )
      expect(isClosed).toEqual(['no answer', true])
    })
  }

  it('is none if the connection ends within it', async () => {
    const answered = await withRawPeer(
      (socket, { id }) => socket.end(answerTo(id, 'a').slice(0, -3)),
      connection => ask(connection, 'first'),
    )
    expect(answered).toEqual('no answer')
  })
})

// Guards against one message that is too long for the connection and costs all others on it their answers.
describe('a message between processes that is too long', () => {
  const LONG = 'x'.repeat(4 * 1024 * 1024)

  async function withPeer<Value>(
    use: (connection: JsonRpcConnection) => Promise<Value>,
  ): Promise<Value> {
    const { server, port } = await listen('127.0.0.1', 0, socket => {
      new JsonRpcConnection(socket, {
        lengthOf: async params => {
          await delay(SHORT_LIMIT_MILLISECONDS)
          return (params as string).length
        },
        long: () => LONG,
      })
    })
    const connection = (await openJsonRpc('127.0.0.1', port, {}, 1000))._unsafeUnwrap()
    try {
      return await use(connection)
    } finally {
      connection.close()
      server.close()
    }
  }

  const cases: readonly (readonly [string, string, unknown, TransportError['kind']])[] = [
    ['a request', 'lengthOf', LONG, 'tooLong'],
    ['an answer', 'long', '', 'remote'],
    [
      'a request that is longer once it is escaped',
      'lengthOf',
      '\u0001'.repeat(1_000_000),
      'tooLong',
    ],
  ]
  for (const [what, method, params, kind] of cases) {
    it(`fails alone: ${what}`, async () => {
      const outcomes = await withPeer(async connection => {
        const other = connection.request<number>('lengthOf', 'abc', LIMIT_MILLISECONDS)
        const long = await connection.request<number>(method, params, LIMIT_MILLISECONDS)
        const last = await connection.request<number>('lengthOf', 'ab', LIMIT_MILLISECONDS)
        return [(await other).unwrapOr(null), long.isErr() && long.error.kind, last.unwrapOr(null)]
      })
      expect(outcomes).toEqual([3, kind, 2])
    })
  }
})
