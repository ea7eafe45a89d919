/** What callers receive when connections break, answers are held, or callers disconnect. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { Refusal } from '@nutmegcourse/shared'
import type { ProxyEffect, ProxyMessage } from '@nutmegcourse/state'
import { ProxyFixture, WRITE_CLASS, withProxy } from './support/proxyFixture.js'
import { RawCaller, waitUntil, query } from './support/rawCaller.js'

const messageKinds = (fixture: ProxyFixture): readonly ProxyMessage['kind'][] =>
  fixture.core.messages.map(message => message.kind)

/** Makes the core return effects that its own rules would not produce at this point. */
function injectEffects(fixture: ProxyFixture, ...effects: readonly ProxyEffect[]): void {
  fixture.core.inject(effects)
  fixture.shell.tick()
}

describe('a held answer', () => {
  // The primary has answered a write that no replica holds yet. If the answer was sent now and the
  // primary failed, an acknowledged write would be lost.
  it('is not sent before the core acknowledges the request', () =>
    withProxy(1, async fixture => {
      fixture.coreOptions.acknowledgesImmediately = false
      const caller = await RawCaller.connect(fixture.port, WRITE_CLASS)
      caller.send(query('INSERT a'))
      await waitUntil(() => messageKinds(fixture).includes('requestRan'))
      await new Promise(resolve => setTimeout(resolve, 30))
      expect(caller.types).toEqual('')
      const request = fixture.lastRequest()
      if (request === undefined) throw new Error('no request')
      injectEffects(fixture, { kind: 'acknowledge', request })
      await caller.untilReady()
      expect(caller.types).toEqual('CZ')
      caller.disconnect()
    }))

  it('is replaced by a refusal with its reason, SQLSTATE and retry delay', () =>
    withProxy(1, async fixture => {
      fixture.coreOptions.acknowledgesImmediately = false
      const caller = await RawCaller.connect(fixture.port, WRITE_CLASS)
      caller.send(query('INSERT a'))
      await waitUntil(() => messageKinds(fixture).includes('requestRan'))
      const refusal: Refusal = { reason: 'confirmation_timeout', retryAfterMilliseconds: 7 }
      const request = fixture.lastRequest()
      if (request === undefined) throw new Error('no request')
      injectEffects(fixture, { kind: 'refuse', request, refusal })
      await caller.untilReady()
      expect(caller.types).toEqual('EZ')
      for (const part of ['C40003\0', 'Mconfirmation_timeout: ', 'Hretry-after-milliseconds=7\0']) {
        expect(caller.text.includes(part)).toEqual(true)
      }
      caller.disconnect()
    }))

  it("reports the primary's log position after the write to the core", () =>
    withProxy(1, async fixture => {
      const caller = await RawCaller.connect(fixture.port, WRITE_CLASS)
      caller.send(query('INSERT a'))
      await caller.untilReady()
      const ran = fixture.core.messages.find(message => message.kind === 'requestRan')
      expect(ran?.position as unknown).toEqual({ term: 1, offset: 11 })
      caller.disconnect()
    }))

  it('reports no position if the server is no longer primary after the write', () =>
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

describe('the loss of a backend connection', () => {
  const cases = [
    { what: 'in the middle of a row', sql: 'break_now', partlyAnswered: true, outcome: 'closed' },
    { what: 'before its answer', sql: 'break_silently', partlyAnswered: false, outcome: 'EZ' },
  ]
  for (const { what, sql, partlyAnswered, outcome } of cases) {
    // A backend server fails while a statement runs. A partial answer must not be completed by other
    // bytes: the caller gets an error, or its connection is closed if a row is incomplete.
    it(`affects only this caller, with an error or a closed connection: ${what}`, () =>
      withProxy(1, async fixture => {
        const caller = await RawCaller.connect(fixture.port)
        caller.send(query(sql))
        await caller.until(() => caller.closed || caller.types.includes('Z'))
        expect(caller.closed ? 'closed' : caller.types).toEqual(outcome)
        const broken = fixture.core.messages.find(message => message.kind === 'requestBroken')
        expect(broken?.partlyAnswered).toEqual(partlyAnswered)
        const kinds = messageKinds(fixture)
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
  // A client fails between BEGIN and COMMIT and leaves its transaction open on a pooled connection. If
  // the connection was reused, the next caller's statement would run inside that transaction.
  it('is rolled back by closing its connection when its caller disconnects', () =>
    withProxy(1, async fixture => {
      const caller = await RawCaller.connect(fixture.port, WRITE_CLASS)
      caller.send(query('BEGIN'))
      await caller.untilReady()
      caller.disconnect()
      await waitUntil(() => messageKinds(fixture).includes('connectionClosed'))
      const next = await RawCaller.connect(fixture.port, WRITE_CLASS)
      next.send(query('SELECT 1'))
      await next.untilReady()
      expect(next.frames.at(-1)?.bytes.toString('latin1', 5)).toEqual('I')
      next.disconnect()
    }))

  // The backend server fails between two statements of a transaction, and the client sends the next one.
  // If that ran on another connection, part of the transaction would be committed.
  it('is answered as failed after its connection is lost, until it is rolled back', () =>
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

  it('gets an error for its COMMIT after its connection is lost', () =>
    withProxy(1, async fixture => {
      const caller = await RawCaller.connect(fixture.port, WRITE_CLASS)
      caller.send(query('BEGIN'), query('INSERT a'))
      await caller.untilReady(2)
      fixture.backend.dropSessions()
      await waitUntil(() => messageKinds(fixture).includes('connectionClosed'))
      caller.frames.length = 0
      caller.send(query('COMMIT'))
      await caller.untilReady()
      expect(caller.types).toEqual('EZ')
      expect(caller.text.includes('C40001\0')).toEqual(true)
      caller.disconnect()
    }))

  it('holds only the answer to its COMMIT', () =>
    withProxy(1, async fixture => {
      fixture.coreOptions.acknowledgesImmediately = false
      const caller = await RawCaller.connect(fixture.port, WRITE_CLASS)
      caller.send(query('BEGIN'), query('INSERT a'))
      await caller.untilReady(2)
      caller.send(query('COMMIT'))
      await waitUntil(
        () => messageKinds(fixture).filter(kind => kind === 'requestRan').length === 3,
      )
      await new Promise(resolve => setTimeout(resolve, 30))
      expect(caller.types).toEqual('CZCZ')
      caller.disconnect()
    }))
})
