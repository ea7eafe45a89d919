/** What callers see when connections break, answers are held, or callers leave. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { Refusal } from '@nutmegcourse/shared'
import type { ProxyEffect, ProxyMessage } from '@nutmegcourse/state'
import { ProxyFixture, WRITE_CLASS, withProxy } from './support/proxyFixture.js'
import { RawCaller, waitUntil, query } from './support/rawCaller.js'

const kindsOf = (fixture: ProxyFixture): readonly ProxyMessage['kind'][] =>
  fixture.core.messages.map(message => message.kind)

/** Lets the core say something that its rules would not make it say here. */
function inject(fixture: ProxyFixture, ...effects: readonly ProxyEffect[]): void {
  fixture.core.inject(effects)
  fixture.shell.tick()
}

describe('a held answer', () => {
  // A judge records a score. The primary answers, but no replica holds the score yet. If the answer left
  // now and the primary died, the score would be lost although the judge was told that it is recorded.
  it('stays with the proxy until the core acknowledges', () =>
    withProxy(1, async fixture => {
      fixture.coreOptions.acknowledgesAtOnce = false
      const caller = await RawCaller.connect(fixture.port, WRITE_CLASS)
      caller.send(query('INSERT a'))
      await waitUntil(() => kindsOf(fixture).includes('requestRan'))
      await new Promise(resolve => setTimeout(resolve, 30))
      expect(caller.types).toEqual('')
      const request = fixture.lastRequest()
      if (request === undefined) throw new Error('no request')
      inject(fixture, { kind: 'acknowledge', request })
      await caller.untilReady()
      expect(caller.types).toEqual('CZ')
      caller.disconnect()
    }))

  it('is replaced by the refusal, with reason, SQLSTATE and when to come back', () =>
    withProxy(1, async fixture => {
      fixture.coreOptions.acknowledgesAtOnce = false
      const caller = await RawCaller.connect(fixture.port, WRITE_CLASS)
      caller.send(query('INSERT a'))
      await waitUntil(() => kindsOf(fixture).includes('requestRan'))
      const refusal: Refusal = { reason: 'confirmation_timeout', retryAfterMilliseconds: 7 }
      const request = fixture.lastRequest()
      if (request === undefined) throw new Error('no request')
      inject(fixture, { kind: 'refuse', request, refusal })
      await caller.untilReady()
      expect(caller.types).toEqual('EZ')
      for (const part of ['C40003\0', 'Mconfirmation_timeout: ', 'Hretry-after-milliseconds=7\0']) {
        expect(caller.text.includes(part)).toEqual(true)
      }
      caller.disconnect()
    }))

  it('carries the position that the primary had behind the write', () =>
    withProxy(1, async fixture => {
      const caller = await RawCaller.connect(fixture.port, WRITE_CLASS)
      caller.send(query('INSERT a'))
      await caller.untilReady()
      const ran = fixture.core.messages.find(message => message.kind === 'requestRan')
      expect(ran?.position as unknown).toEqual({ term: 1, offset: 11 })
      caller.disconnect()
    }))

  it('has no position when the server stopped leading meanwhile', () =>
    withProxy(1, async fixture => {
      fixture.backend.role = 'replica'
      const caller = await RawCaller.connect(fixture.port, WRITE_CLASS)
      caller.send(query('INSERT a'))
      await caller.untilReady()
      const ran = fixture.core.messages.find(message => message.kind === 'requestRan')
      expect(ran?.position).toEqual(null)
      caller.disconnect()
    }))
})

describe('a backend server that breaks', () => {
  const cases = [
    { what: 'in the middle of a row', sql: 'break_now', partlyAnswered: true, ends: 'closed' },
    { what: 'before its answer', sql: 'break_silently', partlyAnswered: false, ends: 'EZ' },
  ]
  for (const { what, sql, partlyAnswered, ends } of cases) {
    // A foreman's statement runs when its backend server dies. What arrived of the answer must not be
    // completed by anything else: the caller gets an error, or no more bytes where a row is cut.
    it(`${what}: an error or the end for this caller, and the next is served`, () =>
      withProxy(1, async fixture => {
        const caller = await RawCaller.connect(fixture.port)
        caller.send(query(sql))
        await caller.until(() => caller.closed || caller.types.includes('Z'))
        expect(caller.closed ? 'closed' : caller.types).toEqual(ends)
        const broken = fixture.core.messages.find(message => message.kind === 'requestBroken')
        expect(broken?.partlyAnswered).toEqual(partlyAnswered)
        const kinds = kindsOf(fixture)
        expect(kinds.indexOf('connectionClosed') < kinds.indexOf('requestBroken')).toEqual(true)
        const next = await RawCaller.connect(fixture.port)
        next.send(query('SELECT 1'))
        await next.untilReady()
        expect(next.types).toEqual('TDCZ')
        for (const each of [caller, next]) each.disconnect()
      }))
  }
})

describe('a transaction', () => {
  // A foreman's client dies between BEGIN and COMMIT. Its half transaction is open on a pooled connection.
  // If that went back to the pool, the next foreman's statement would land inside it.
  it('is rolled back with its connection when its caller leaves', () =>
    withProxy(1, async fixture => {
      const caller = await RawCaller.connect(fixture.port, WRITE_CLASS)
      caller.send(query('BEGIN'))
      await caller.untilReady()
      caller.disconnect()
      await waitUntil(() => kindsOf(fixture).includes('connectionClosed'))
      const next = await RawCaller.connect(fixture.port, WRITE_CLASS)
      next.send(query('SELECT 1'))
      await next.untilReady()
      expect(next.frames.at(-1)?.bytes.toString('latin1', 5)).toEqual('I')
      next.disconnect()
    }))

  // The backend server dies between two statements of a transaction. Its client does not know, and sends
  // the next statement. If that ran elsewhere by itself, half of the transaction would last.
  it('that was lost answers as a failed one until it is rolled back', () =>
    withProxy(1, async fixture => {
      const caller = await RawCaller.connect(fixture.port, WRITE_CLASS)
      const steps: readonly (readonly [string, string, string])[] = [
        ['BEGIN', 'T', 'CZ'],
        ['break_silently', 'E', 'EZ'],
        ['INSERT half', 'E', 'EZ'],
        ['/* done */ ROLLBACK', 'I', 'CZ'],
        ['SELECT 1', 'I', 'TDCZ'],
      ]
      for (const [sql, status, types] of steps) {
        caller.frames.length = 0
        caller.send(query(sql))
        await caller.untilReady()
        expect([sql, caller.types]).toEqual([sql, types])
        expect([sql, caller.frames.at(-1)?.bytes.toString('latin1', 5)]).toEqual([sql, status])
      }
      expect(fixture.backend.inserted).toEqual([])
      caller.disconnect()
    }))

  it('that was lost never answers its COMMIT as a success', () =>
    withProxy(1, async fixture => {
      const caller = await RawCaller.connect(fixture.port, WRITE_CLASS)
      caller.send(query('BEGIN'), query('INSERT a'))
      await caller.untilReady(2)
      fixture.backend.dropSessions()
      await waitUntil(() => kindsOf(fixture).includes('connectionClosed'))
      caller.frames.length = 0
      caller.send(query('COMMIT'))
      await caller.untilReady()
      expect(caller.types).toEqual('EZ')
      expect(caller.text.includes('C40001\0')).toEqual(true)
      caller.disconnect()
    }))

  it('holds the answer of its end, and of nothing before', () =>
    withProxy(1, async fixture => {
      fixture.coreOptions.acknowledgesAtOnce = false
      const caller = await RawCaller.connect(fixture.port, WRITE_CLASS)
      caller.send(query('BEGIN'), query('INSERT a'))
      await caller.untilReady(2)
      caller.send(query('COMMIT'))
      await waitUntil(() => kindsOf(fixture).filter(kind => kind === 'requestRan').length === 3)
      await new Promise(resolve => setTimeout(resolve, 30))
      expect(caller.types).toEqual('CZCZ')
      caller.disconnect()
    }))
})
