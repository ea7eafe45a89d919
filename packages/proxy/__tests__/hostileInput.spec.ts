/** Malformed, oversized and truncated input causes an error for that caller only. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { startupMessage } from '@nutmegcourse/protocol'
import { DATABASE, withProxy } from './support/proxyFixture.js'
import { RawCaller, bind, frameOf, parse, query, sync } from './support/rawCaller.js'

const SEED = 77
const RUNS = 60

const int32 = (value: number): Buffer => {
  const bytes = Buffer.alloc(4)
  bytes.writeInt32BE(value, 0)
  return bytes
}

describe('invalid input', () => {
  const invalidMessages = [
    {
      what: 'a frame shorter than its length field',
      bytes: Buffer.from('Q\0\0\0\x03'),
      code: '08P01',
    },
    {
      what: 'a frame of negative length',
      bytes: Buffer.from('Q\xff\xff\xff\xff', 'latin1'),
      code: '08P01',
    },
    {
      what: 'a frame beyond the limit',
      bytes: Buffer.concat([Buffer.from('Q'), int32(2 ** 30)]),
      code: '54000',
    },
    { what: 'an unknown message', bytes: frameOf('!', 'x'), code: '08P01' },
    { what: 'a query without a terminating zero', bytes: frameOf('Q', 'SELECT 1'), code: '08P01' },
    {
      what: 'a Parse message without a terminating zero',
      bytes: frameOf('P', 'name'),
      code: '08P01',
    },
    {
      what: 'a query between extended messages',
      bytes: Buffer.concat([parse('', 'x'), query('y')]),
      code: '08P01',
    },
    { what: 'a function call', bytes: frameOf('F', '\0\0\0\0'), code: '0A000' },
    { what: 'an unexpected password message', bytes: frameOf('p', 'secret\0'), code: '08P01' },
    {
      what: 'a batch of extended messages beyond the limit',
      bytes: Buffer.concat(Array.from({ length: 3 }, () => parse('', 'x'.repeat(500_000)))),
      code: '54000',
    },
  ]
  for (const { what, bytes, code } of invalidMessages) {
    it(`closes that caller's connection with ${code}: ${what}`, () =>
      withProxy(1, async fixture => {
        const other = await fixture.connect()
        const caller = await RawCaller.connect(fixture.port)
        caller.send(bytes)
        await caller.until(() => caller.closed)
        expect(caller.types).toEqual('E')
        expect(caller.text.includes(`C${code}\0`)).toEqual(true)
        expect((await other.query('SELECT 1')).rows.length).toEqual(1)
      }))
  }

  const invalidStartups = [
    {
      what: 'an old protocol version',
      bytes: Buffer.concat([int32(8), int32(2 << 16)]),
      code: '0A000',
    },
    {
      what: 'a malformed startup packet',
      bytes: Buffer.concat([int32(12), int32(3 << 16), int32(-1)]),
      code: '08P01',
    },
    { what: 'a startup packet beyond the limit', bytes: int32(1 << 20), code: '54000' },
    { what: 'a missing user', bytes: startupMessage({ database: DATABASE }), code: '08P01' },
    {
      what: 'a replication connection',
      bytes: startupMessage({ user: 'u', replication: 'true' }),
      code: '0A000',
    },
  ]
  for (const { what, bytes, code } of invalidStartups) {
    it(`is refused at startup with ${code}: ${what}`, () =>
      withProxy(1, async fixture => {
        const caller = new RawCaller(fixture.port)
        caller.send(bytes)
        await caller.until(() => caller.closed)
        expect(caller.text.includes(`C${code}\0`)).toEqual(true)
      }))
  }

  it('never affects another caller, even if generated at random and truncated anywhere', () =>
    withProxy(3, async fixture => {
      const other = await fixture.connect()
      const frames = fc.oneof(
        fc.uint8Array({ maxLength: 60 }).map(bytes => Buffer.from(bytes)),
        fc
          .record({ type: fc.constantFrom(...Array.from('QPBDECHSXdcfFp')), body: fc.string() })
          .map(({ type, body }) => frameOf(type, body)),
        fc.constantFrom(
          query('SELECT 1'),
          query('FAIL'),
          query('BEGIN'),
          parse('s', 'x'),
          bind('s'),
          sync(),
        ),
      )
      let round = 0
      await fc.assert(
        fc.asyncProperty(fc.array(frames, { maxLength: 12 }), fc.nat(400), async (batch, kept) => {
          const caller = await RawCaller.connect(fixture.port)
          caller.send(Buffer.concat(batch).subarray(0, kept))
          await new Promise(resolve => setTimeout(resolve, 2))
          caller.disconnect()
          round += 1
          const { rows } = await other.query('SELECT $1', [`own ${round}`])
          expect(rows as unknown).toEqual([{ value: `own ${round}` }])
        }),
        { numRuns: RUNS, seed: SEED },
      )
    }))
})
