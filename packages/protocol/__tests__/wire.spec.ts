/** The codec of the PostgreSQL wire protocol: frames split at any place, and the fields that the proxy reads. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import {
  CallerFrames,
  ServerFrames,
  TransactionStatus,
  cancelRequest,
  commandComplete,
  queryMessage,
  readCommandTag,
  readServerError,
  readStartupOptions,
  readStartupPacket,
  readStatementComment,
  readyForQuery,
  refusalResponse,
  startupMessage,
  type FrameMistake,
} from '../src/index.js'

const SEED = 3
const LIMIT = 4096

/** Splits bytes at the given offsets, which are reduced to the length of the bytes. */
function splitAt(bytes: Buffer, places: readonly number[]): Buffer[] {
  const cuts = [...new Set(places.map(place => place % (bytes.length + 1)))].sort((a, b) => a - b)
  return [0, ...cuts].map((start, index) => Buffer.from(bytes.subarray(start, cuts[index])))
}

const serverFrame = fc
  .record({ type: fc.constantFrom('D', 'T', 'N', 'C', 'Z', 'E', 'S', '1'), body: fc.uint8Array() })
  .map(({ type, body }) => {
    const head = Buffer.alloc(5)
    head.write(type, 0, 'latin1')
    head.writeInt32BE(4 + body.length, 1)
    return Buffer.concat([head, body])
  })

describe('frames', () => {
  it('CallerFrames delivers whole frames wherever the bytes are split', () => {
    const texts = fc.array(fc.string({ maxLength: 200 }), { maxLength: 8 })
    fc.assert(
      fc.property(texts, fc.array(fc.nat()), (queries, places) => {
        const frames = queries.map(queryMessage)
        const reader = new CallerFrames(LIMIT)
        reader.expectTypedFrames()
        const seen: Buffer[] = []
        const sink = { wantsMore: true, frame: (bytes: Buffer) => seen.push(bytes), mistake: fail }
        for (const chunk of splitAt(Buffer.concat(frames), places)) reader.push(chunk, sink)
        expect(seen.map(String)).toEqual(frames.map(String))
        expect(reader.bufferedBytes).toEqual(0)
      }),
      { seed: SEED },
    )
  })

  it('CallerFrames buffers frames while the sink accepts none', () => {
    const reader = new CallerFrames(LIMIT)
    reader.expectTypedFrames()
    const seen: Buffer[] = []
    const sink = { wantsMore: true, frame: (bytes: Buffer) => seen.push(bytes), mistake: fail }
    const sinkForOneFrame = {
      ...sink,
      get wantsMore() {
        return seen.length < 1
      },
    }
    reader.push(Buffer.concat([queryMessage('a'), queryMessage('b')]), sinkForOneFrame)
    expect(seen.length).toEqual(1)
    reader.drain(sink)
    expect(seen.map(String)).toEqual([queryMessage('a'), queryMessage('b')].map(String))
  })

  it('ServerFrames forwards frames in order and without loss, and delivers inspected ones whole', () => {
    fc.assert(
      fc.property(fc.array(serverFrame), fc.array(fc.nat()), (frames, places) => {
        const reader = new ServerFrames()
        const seen: Buffer[] = []
        const keep = (bytes: Buffer, start: number, end: number): void => {
          seen.push(Buffer.from(bytes.subarray(start, end)))
        }
        const whole: Buffer[] = []
        const sink = {
          inspectFrame: (_type: number, bytes: Buffer, start: number, end: number): void => {
            keep(bytes, start, end)
            whole.push(Buffer.from(bytes.subarray(start, end)))
          },
          forwardPiece: (_type: number, bytes: Buffer, start: number, end: number): void => {
            keep(bytes, start, end)
          },
        }
        for (const chunk of splitAt(Buffer.concat(frames), places)) {
          expect(reader.push(chunk, sink)).toEqual(true)
          // The reader may not keep a reference: the socket reuses the chunk after the call.
          chunk.fill(0)
        }
        expect(Buffer.concat(seen).equals(Buffer.concat(frames))).toEqual(true)
        const inspected = frames.filter(frame =>
          'CZES1'.includes(String.fromCharCode(frame[0] ?? 0)),
        )
        expect(whole.map(frame => frame.toString('hex'))).toEqual(
          inspected.map(frame => frame.toString('hex')),
        )
      }),
      { seed: SEED },
    )
  })
})

const fail = (mistake: FrameMistake): never => {
  throw new Error(mistake.kind)
}

describe('statement comments', () => {
  const cases = [
    { text: "SELECT 1 /*class='score_entry'*/", class: 'score_entry', key: null },
    { text: "/*class='a',idempotency_key='k%2F1'*/ SELECT 1", class: 'a', key: 'k/1' },
    { text: "SELECT 1 /* traceparent='00-1',class='a' */ ;\n", class: 'a', key: null },
    { text: "SELECT 1 /*class='it\\'s'*/", class: "it's", key: null },
    { text: 'SELECT 1', class: null, key: null },
    { text: '', class: null, key: null },
    { text: '*/', class: null, key: null },
    { text: '/*/', class: null, key: null },
    { text: "SELECT '/*class=''a''*/'", class: null, key: null },
    { text: "SELECT 1 /*class='a'*/ FROM t", class: null, key: null },
    { text: 'SELECT 1 /* the class of it */', class: null, key: null },
    { text: "/*class='a'*/ SELECT 1 /* prose */", class: 'a', key: null },
  ]
  for (const { text, class: name, key } of cases) {
    it(JSON.stringify(text), () => {
      const bytes = Buffer.from(text)
      const found = readStatementComment(bytes, 0, bytes.length)
      expect(found).toEqual({ class: name, idempotencyKey: key })
    })
  }
})

describe('startup', () => {
  const options = [
    {
      text: '-c nutmegcourse.class=a -c nutmegcourse.session=s1',
      expected: 'nutmegcourse.class=a nutmegcourse.session=s1',
    },
    {
      text: '--search_path=quay -cstatement_timeout=5s',
      expected: 'search_path=quay statement_timeout=5s',
    },
    { text: '-c a=one\\ two', expected: 'a=one two' },
    { text: '-c', expected: '' },
    { text: '-c =x nonsense', expected: '' },
  ]
  for (const { text, expected } of options) {
    it(`reads the options '${text}'`, () => {
      const found = [...readStartupOptions(text)].map(([name, value]) => `${name}=${value}`)
      expect(found.join(' ')).toEqual(expected)
    })
  }

  it('reads packets back as they were written', () => {
    const packet = readStartupPacket(startupMessage({ user: 'u', database: 'd' }))
    expect(packet.kind === 'startup' && [...packet.parameters]).toEqual([
      ['user', 'u'],
      ['database', 'd'],
    ])
    expect(readStartupPacket(cancelRequest(7, 9))).toEqual({
      kind: 'cancel',
      processId: 7,
      secret: 9,
    })
  })

  it('reads or refuses packets of arbitrary bytes without an exception', () => {
    fc.assert(
      fc.property(fc.uint8Array({ minLength: 4, maxLength: 64 }), bytes => {
        readStartupPacket(Buffer.from(bytes))
      }),
      { seed: SEED },
    )
  })
})

describe('messages of the proxy', () => {
  it('writes a refusal with its reason, SQLSTATE and time after which to retry', () => {
    const bytes = refusalResponse({ reason: 'queue_full', retryAfterMilliseconds: 1.2 })
    expect(readServerError(bytes, 0, bytes.length)).toEqual({
      severity: 'ERROR',
      sqlState: '53300',
      message: 'queue_full: too many requests wait for a connection',
    })
    expect(bytes.toString('latin1').includes('Hretry-after-milliseconds=2\0')).toEqual(true)
  })

  it('writes no zero byte inside a text', () => {
    const bytes = refusalResponse({ reason: 'unknown_class', detail: 'a\0Cforged' })
    expect(readServerError(bytes, 0, bytes.length).sqlState).toEqual('42704')
  })

  it('writes the tags and status letters of the protocol', () => {
    const tag = commandComplete('INSERT 0 1')
    expect(readCommandTag(tag, 0, tag.length)).toEqual('INSERT 0 1')
    expect(readyForQuery(TransactionStatus.failed).toString('latin1')).toEqual('Z\0\0\0\x05E')
  })
})
