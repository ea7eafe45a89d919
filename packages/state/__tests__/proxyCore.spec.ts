import { describe, it } from 'node:test'
import { expect } from 'earl'
import { requestId, sessionId } from '@nutmegcourse/shared'
import { CoreFixture, groupRecord, pick, reasonsOf, serversOf } from './coreFixture.js'

describe('ProxyCore', () => {
  it('opens one connection to each server and asks for positions before any request', () => {
    const effects = new CoreFixture().snapshot()
    expect(serversOf(effects, 'open')).toEqual(['a', 'b', 'c'])
    expect(serversOf(effects, 'askPosition')).toEqual(['a', 'b', 'c'])
  })

  it('acknowledges a write once a replica holds it beside the primary', () => {
    const fixture = new CoreFixture().start()
    const arrival = fixture.arrive('assign')
    expect(serversOf(arrival, 'run')).toEqual(['a'])
    expect(pick(arrival, 'run')[0]?.holdAnswer).toEqual(true)

    const ran = fixture.ran('r1', [1, 2])
    expect(pick(ran, 'acknowledge')).toEqual([])
    expect(serversOf(ran, 'askPosition')).toEqual(['b'])
    const behind = fixture.answer('b', [1, 1])
    expect(pick(behind, 'acknowledge')).toEqual([])
    fixture.advance(5)
    const caughtUp = fixture.answer('b', [1, 2])
    expect(pick(caughtUp, 'acknowledge').map(each => each.request)).toEqual([requestId('r1')])
  })

  it('serves a session of one connection without a question once its position is held', () => {
    const fixture = new CoreFixture().start()
    const effects = fixture.arrive('browse')
    expect(serversOf(effects, 'run').length).toEqual(1)
    expect(serversOf(effects, 'askPosition')).toEqual([])
  })

  it('asks for a bound for a roaming session, and serves its read once the bound is known', () => {
    const fixture = new CoreFixture().start()
    const arrival = fixture.arrive('lookup', { roams: true, session: sessionId('roaming') })
    expect(serversOf(arrival, 'run')).toEqual([])
    expect(serversOf(arrival, 'askPosition')).toEqual(['a', 'b'])
    fixture.answer('a', [1, 5])
    expect(serversOf(fixture.answer('b', [1, 5]), 'run').length).toEqual(1)
  })

  const needs = [
    { workClass: 'browse', roams: false, asks: [] },
    { workClass: 'browse', roams: true, asks: ['a', 'b'] },
    { workClass: 'lookup', roams: false, asks: ['a', 'b'] },
    { workClass: 'lookup', roams: true, asks: ['a', 'b'] },
  ]
  for (const { workClass, roams, asks } of needs) {
    const bound = asks.length > 0 ? 'a bound asked after its arrival' : 'no bound'
    it(`needs ${bound} for ${workClass} of a ${roams ? 'roaming session' : 'session of one connection'}`, () => {
      const fixture = new CoreFixture().start()
      const effects = fixture.arrive(workClass, { roams })
      expect(serversOf(effects, 'askPosition')).toEqual(asks)
      expect(serversOf(effects, 'run').length).toEqual(asks.length > 0 ? 0 : 1)
    })
  }

  it('refuses a request of an unknown class at once', () => {
    const fixture = new CoreFixture().start()
    expect(reasonsOf(fixture.arrive('nothing'))).toEqual(['unknown_class'])
  })

  it('holds writes during a change of primary and sends them to the new one', () => {
    const fixture = new CoreFixture().start()
    fixture.snapshot(groupRecord({ term: 2 as never, phase: { kind: 'fencing', target: null } }))
    expect(serversOf(fixture.arrive('assign'), 'run')).toEqual([])
    fixture.advance(900)
    fixture.openAll()
    const effects = fixture.answer('b', [2, 2], { role: 'primary' })
    expect(serversOf(effects, 'run')).toEqual(['b'])
  })

  it('finishes what runs before it is stopped', () => {
    const fixture = new CoreFixture().start()
    fixture.arrive('browse')
    expect(pick(fixture.send({ kind: 'stop' }), 'stopped')).toEqual([])
    expect(reasonsOf(fixture.arrive('browse'))).toEqual(['stopping'])
    expect(pick(fixture.ran('r1'), 'stopped').length).toEqual(1)
  })

  it('wakes at most six times a second while idle', () => {
    const fixture = new CoreFixture().start()
    let wakes = 0
    const end = fixture.clock.now() + 10_000
    while (fixture.clock.now() < end) {
      const wake = fixture.core.nextWake(fixture.clock.now()) ?? end
      fixture.clock.advance(Math.max(wake - fixture.clock.now(), 0))
      wakes += 1
      fixture.send({ kind: 'tick' })
      for (const name of ['a', 'b', 'c'] as const) fixture.answer(name, [1, 1])
    }
    // Questions are sent every 250 ms to the two near servers, and every second to the far one.
    expect(wakes <= 60).toEqual(true)
  })
})
