/** Answers are complete and in order, however messages are split, batched or interleaved. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { WRITE_CLASS, withProxy } from './support/proxyFixture.js'
import {
  RawCaller,
  bind,
  execute,
  flush,
  frameOf,
  parse,
  query,
  sync,
} from './support/rawCaller.js'

const describeStatement = (name: string): Buffer => frameOf('D', `S${name}\0`)
const closeStatement = (name: string): Buffer => frameOf('C', `S${name}\0`)

describe('pipelined messages', () => {
  const batches = [
    {
      what: 'three queries',
      send: [query('a'), query('b'), query('c')],
      ready: 3,
      types: 'TDCZTDCZTDCZ',
    },
    {
      what: 'one extended batch',
      send: [parse('s', 'SELECT x'), bind('s'), execute(), bind('s'), execute(), sync()],
      ready: 1,
      types: '12DC2DCZ',
    },
    {
      what: 'a batch with an error in the middle',
      send: [parse('', 'FAIL'), bind(''), execute(), bind(''), execute(), sync(), query('a')],
      ready: 2,
      types: '12EZTDCZ',
    },
    {
      what: 'a statement that is prepared, described and closed',
      send: [parse('s', 'x'), describeStatement('s'), closeStatement('s'), sync()],
      ready: 1,
      types: '1tn3Z',
    },
    { what: 'a lone Sync', send: [sync(), query('a')], ready: 2, types: 'ZTDCZ' },
    {
      what: 'a statement that was not prepared',
      send: [bind('s'), execute(), sync()],
      ready: 1,
      types: 'EZ',
    },
  ]
  for (const { what, send, ready, types } of batches) {
    for (const className of ['lookup', WRITE_CLASS]) {
      it(`are answered correctly twice on one pooled connection: ${what}, class ${className}`, () =>
        withProxy(1, async fixture => {
          const caller = await RawCaller.connect(fixture.port, className)
          caller.send(...send)
          await caller.untilReady(ready)
          expect(caller.types).toEqual(types)
          // The second time the statements are already prepared on the connection.
          caller.frames.length = 0
          caller.send(...send)
          await caller.untilReady(ready)
          expect(caller.types).toEqual(types)
          caller.disconnect()
        }))
    }
  }

  it('are answered at each Flush, before the caller sends more', () =>
    withProxy(1, async fixture => {
      const caller = await RawCaller.connect(fixture.port, WRITE_CLASS)
      caller.send(parse('s', 'SELECT x'), describeStatement('s'), flush())
      await caller.until(() => caller.types === '1tn')
      caller.send(bind('s'), execute(), flush())
      await caller.until(() => caller.types === '1tn2DC')
      caller.send(sync())
      await caller.untilReady()
      expect(caller.types).toEqual('1tn2DCZ')
      caller.disconnect()
    }))

  it('find the unnamed statement that an earlier request prepared', () =>
    withProxy(2, async fixture => {
      const caller = await RawCaller.connect(fixture.port)
      caller.send(parse('', 'SELECT x'), sync())
      await caller.untilReady()
      caller.send(bind(''), execute(), sync())
      await caller.untilReady(2)
      expect(caller.types).toEqual('1Z2DCZ')
      caller.disconnect()
    }))

  it('are answered if they arrive byte by byte', () =>
    withProxy(1, async fixture => {
      const caller = await RawCaller.connect(fixture.port)
      for (const byte of Buffer.concat([parse('s', 'SELECT x'), bind('s'), execute(), sync()])) {
        caller.send(Buffer.from([byte]))
        await new Promise(resolve => setImmediate(resolve))
      }
      await caller.untilReady()
      expect(caller.types).toEqual('12DCZ')
      caller.disconnect()
    }))
})
