/** Answers of a backend server that belong to no request, or to an earlier one. */
import { describe, it } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'earl'
import {
  CLOSE_COMPLETE,
  PARSE_COMPLETE,
  TransactionStatus,
  commandComplete,
  readyForQuery,
} from '@nutmegcourse/protocol'
import { dataRow, rowDescription } from './support/fakeBackend.js'
import { WRITE_CLASS, withProxy } from './support/proxyFixture.js'
import { RawCaller, flush, parse, query, waitUntil } from './support/rawCaller.js'

const READY = readyForQuery(TransactionStatus.idle)
const STRAY_ROWS = Buffer.concat([rowDescription(['value']), dataRow(['of another caller'])])
const STRAY_END = Buffer.concat([commandComplete('SELECT 1'), READY])
const PAUSE_MILLISECONDS = 30

// Guards against the rows, or the end, of an earlier answer that become the answer to the next caller's request.
describe('an answer that begins before the request', () => {
  const cases: readonly (readonly [string, Buffer, Buffer])[] = [
    ['its rows before, its end after', STRAY_ROWS, STRAY_END],
    [
      'half a row before',
      STRAY_ROWS.subarray(0, -3),
      Buffer.concat([STRAY_ROWS.subarray(-3), STRAY_END]),
    ],
    ['half a head before', STRAY_END.subarray(0, 3), STRAY_END.subarray(3)],
  ]
  for (const [what, before, after] of cases) {
    it(`is not taken for its answer: ${what}`, () =>
      withProxy(1, async fixture => {
        const first = await RawCaller.connect(fixture.port)
        first.send(query('SELECT 1'))
        await first.untilReady()
        const { sessions } = fixture.backend
        for (const session of sessions) session.send(before)
        await delay(PAUSE_MILLISECONDS)
        const next = await RawCaller.connect(fixture.port)
        next.send(query('SELECT own, pg_sleep(60)'))
        await delay(PAUSE_MILLISECONDS)
        for (const session of sessions) session.send(after)
        await next.untilReady()
        expect(next.text.includes('of another caller')).toEqual(false)
        expect([next.types.includes('E'), next.text.includes('own')]).toEqual([false, true])
        for (const each of [first, next]) each.disconnect()
      }))
  }
})

// Guards against messages that no request of the connection can have caused and that shift its later answers.
describe('a message that the running request cannot have caused', () => {
  const cases: readonly (readonly [string, Buffer])[] = [
    ['the end of an answer without the answer', READY],
    ['the success of a Parse that was not sent', PARSE_COMPLETE],
    ['the success of a Close that was not sent', CLOSE_COMPLETE],
  ]
  for (const [what, bytes] of cases) {
    it(`breaks the connection: ${what}`, () =>
      withProxy(1, async fixture => {
        const caller = await RawCaller.connect(fixture.port)
        caller.send(query('SELECT pg_sleep(100)'))
        await delay(PAUSE_MILLISECONDS)
        for (const session of fixture.backend.sessions) session.send(bytes)
        await caller.until(() => caller.closed || caller.types.includes('Z'))
        expect(caller.closed ? 'closed' : caller.types).toEqual('EZ')
        caller.disconnect()
      }))
  }

  it('breaks the connection: the end of an extended request whose Sync was not sent', () =>
    withProxy(1, async fixture => {
      const caller = await RawCaller.connect(fixture.port)
      caller.send(parse('', 'SELECT 1'), flush())
      await waitUntil(() => caller.types.includes('1'))
      for (const session of fixture.backend.sessions) session.send(READY)
      await caller.until(() => caller.closed || caller.types.length > 1)
      expect(caller.closed ? 'closed' : caller.types.slice(0, 2)).toEqual('1E')
      caller.disconnect()
    }))
})

// Guards against a whole answer to an earlier request that becomes the answer to the one that runs.
describe('a whole answer that arrives while the next request runs', () => {
  const STRAY = Buffer.concat([STRAY_ROWS, STRAY_END])
  const OTHER_READY = readyForQuery(TransactionStatus.open)
  const cases: readonly (readonly [string, readonly Buffer[]])[] = [
    ['at once', [STRAY]],
    ['in two parts', [STRAY_ROWS, STRAY_END]],
    ['and the next one too', [STRAY, STRAY]],
    ['without rows', [STRAY_END]],
    ['in a transaction', [Buffer.concat([STRAY_ROWS, commandComplete('SELECT 1'), OTHER_READY])]],
  ]
  for (const [what, chunks] of cases) {
    it(`does not complete its answer: ${what}`, () =>
      withProxy(1, async fixture => {
        const caller = await RawCaller.connect(fixture.port)
        caller.send(query('SELECT own, pg_sleep(100)'))
        await delay(PAUSE_MILLISECONDS)
        for (const chunk of chunks) {
          for (const session of fixture.backend.sessions) session.send(chunk)
          await delay(PAUSE_MILLISECONDS / 3)
        }
        await caller.until(() => caller.closed || caller.types.includes('Z'))
        const isAnswered = caller.types.includes('Z') && !caller.types.includes('E')
        expect(isAnswered && !caller.text.includes('own')).toEqual(false)
        const ran = fixture.core.messages.filter(({ kind }) => kind === 'requestRan')
        expect(ran).toEqual([])
        caller.disconnect()
      }))
  }

  it('is not passed on at all if it arrives at once', () =>
    withProxy(1, async fixture => {
      const caller = await RawCaller.connect(fixture.port)
      caller.send(query('SELECT own, pg_sleep(60)'))
      await delay(PAUSE_MILLISECONDS)
      for (const session of fixture.backend.sessions) session.send(STRAY)
      await caller.until(() => caller.closed || caller.types.includes('Z'))
      expect(caller.text.includes('of another caller')).toEqual(false)
      caller.disconnect()
    }))

  it('does not complete the answer to a request with a position query', () =>
    withProxy(1, async fixture => {
      const caller = await RawCaller.connect(fixture.port, WRITE_CLASS)
      caller.send(query('SELECT own, pg_sleep(60)'))
      await delay(PAUSE_MILLISECONDS)
      for (const session of fixture.backend.sessions) session.send(STRAY)
      await caller.until(() => caller.closed || caller.types.includes('Z'))
      const ran = fixture.core.messages.filter(({ kind }) => kind === 'requestRan')
      expect([ran.length, caller.text.includes('of another caller')]).toEqual([0, false])
      caller.disconnect()
    }))
})

// Guards against the position query's answer, which is left over when a write's answer comes twice and was given to
// the next caller.
describe('an answer that a server sends twice', () => {
  it('is not taken for the answer to the position query', () =>
    withProxy(1, async fixture => {
      const caller = await RawCaller.connect(fixture.port, WRITE_CLASS)
      fixture.backend.repeatsAnswers = true
      caller.send(query('INSERT a'))
      await caller.until(() => caller.closed || caller.types.includes('Z'))
      fixture.backend.repeatsAnswers = false
      await waitUntil(() => fixture.core.messages.some(({ kind }) => kind === 'requestBroken'))
      const ran = fixture.core.messages.filter(({ kind }) => kind === 'requestRan')
      expect(ran).toEqual([])
      caller.disconnect()
    }))
})
