/** Back pressure: callers that do not read use bounded memory and do not delay other callers. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { withProxy } from './support/proxyFixture.js'
import { RawCaller, query } from './support/rawCaller.js'

const MEGABYTE = 1024 * 1024
const ROWS = 20_000
const ROW_BYTES = 4000

describe('back pressure', () => {
  // A client requests 80 MB and stops reading. If the proxy buffered the whole answer, a few such
  // clients would exhaust the memory of the entry host and disconnect all its callers.
  it('delays only the backend connection of a caller that does not read, which gets every row in the end', () =>
    withProxy(2, async fixture => {
      const slow = await RawCaller.connect(fixture.port)
      const other = await fixture.connect()
      slow.pause()
      slow.send(query(`SELECT rows(${ROWS}, ${ROW_BYTES})`))
      await other.query('SELECT pg_sleep(300)')
      expect(fixture.shell.bufferedBytes < 4 * MEGABYTE).toEqual(true)
      expect((await other.query('SELECT 1')).rows.length).toEqual(1)
      slow.resume()
      await slow.untilReady()
      const rows = slow.frames.filter(frame => frame.type === 'D')
      expect(rows.length).toEqual(ROWS)
      expect(rows.every(row => row.bytes.length === ROW_BYTES + 11)).toEqual(true)
      slow.disconnect()
    }))

  it('keeps the answers to 2000 pipelined queries complete and in order', () =>
    withProxy(1, async fixture => {
      const caller = await RawCaller.connect(fixture.port)
      const queries = Array.from({ length: 2000 }, (_, index) => query(`SELECT ${index}`))
      caller.send(...queries)
      await caller.untilReady(queries.length)
      const answers = caller.frames.filter(frame => frame.type === 'D').map(frame => frame.bytes)
      expect(answers.every((bytes, index) => bytes.includes(`SELECT ${index}`))).toEqual(true)
      caller.disconnect()
    }))
})
