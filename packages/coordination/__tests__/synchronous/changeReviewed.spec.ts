import { describe, it } from 'node:test'
import { expect } from 'earl'
import { term, type BackendServerId } from '@nutmegcourse/shared'
import { PrimaryChoice } from '../../src/index.js'
import { A, B, C, DROPPED, FakeServers, P, planOf } from './fakeServers.js'
import { member } from './groupMember.js'

describe('A change of primary, as reviewed', () => {
  // Guards against a dead primary that stops counting as missing once it is dropped from the list: the writes that it
  // and an unreachable replica hold are then lost.
  it('chooses none when the dropped primary and a replica are unreachable', async () => {
    const plan = planOf([member(P, DROPPED), member(A), member(B)])
    const group = new FakeServers(plan, { p: null, a: 90, b: null })
    const result = await new PrimaryChoice(plan, group).choose()
    expect(result.isOk() ? result.value.server : result.error.kind).toEqual('unknownReplica')
  })

  // Guards against the loss of the end of a stopped primary's log that only a replica without an entry in the store
  // acknowledged.
  it('counts the log of the stopped primary when a dropped replica gives no answer', async () => {
    const plan = planOf([member(P), member(A), member(B), member(C, DROPPED)])
    const group = new FakeServers(plan, { p: 100, a: 90, b: 95, c: null })
    const result = await new PrimaryChoice(plan, group).choose()
    expect(result.isOk() ? result.value.server : result.error.kind).toEqual(P)
  })

  // Guards against the replica with the shortest log, which is promoted when every server of the group has restarted: the
  // logs of the others, among them that of the newest term, were not looked at.
  it('chooses the furthest log when all servers have restarted', async () => {
    const restarted = { hasRestarted: true }
    const plan = planOf([member(P, restarted), member(A, restarted), member(B, restarted)])
    const group = new FakeServers(plan, { p: 100, a: 90, b: 40 })
    group.at(B).pausedFor = term(0)
    group.at(A).pausedFor = term(2)
    const result = await new PrimaryChoice(plan, group).choose()
    expect(result.isOk() ? result.value.server : result.error.kind).toEqual(P)
  })

  // Guards against the same for a server that restarted and has records of a term of which the others know nothing.
  it('counts the log of a restarted server that has records of a newer term', async () => {
    const gone = member(P, { mayHoldWrites: false })
    const plan = planOf([gone, member(A), member(B, { hasRestarted: true })])
    const group = new FakeServers(plan, { p: null, a: 100, b: 100 })
    group.at(B).term = term(2)
    const result = await new PrimaryChoice(plan, group).choose()
    expect(result.isOk() ? result.value.server : result.error.kind).toEqual(B)
  })

  // Guards against a group without a primary that waits for a dead one, since a server that has just joined has no log.
  it('does not take a server that has just joined for one that lost its log', async () => {
    const plan = planOf([member(P), member(A), member(C, { hasJoined: true })])
    const group = new FakeServers(plan, { p: null, a: 100, c: 0 })
    const result = await new PrimaryChoice(plan, group).choose()
    expect(result.isOk() ? result.value.server : result.error.kind).toEqual(A)
  })

  // Guards against a full primary that is taken for one without its log: it is stopped, and its last position is
  // ignored from then on.
  it('does not take an unanswered second report for a lost log', async () => {
    const plan = planOf([member(P), member(A), member(B)])
    const group = new FakeServers(plan, { p: 100, a: 101, b: 100 })
    let asked = 0
    // The first report is from before the write that the replica has; the second one is not answered.
    group.onReport = server => {
      if (server !== P) return true
      asked += 1
      if (asked > 1) group.at(P).offset = 101
      return asked !== 2
    }
    const withoutLog = new Set<BackendServerId>()
    await new PrimaryChoice(plan, group, withoutLog).choose()
    expect([...withoutLog]).toEqual([])
  })

  // Guards against a late order to step down that stops the server promoted meanwhile: with the term after next it is
  // newer than the term that this server leads.
  it('orders to step down for the next term while an earlier order may take effect', async () => {
    const plan = planOf([member(P, { isLeaving: true }), member(A), member(B)], true)
    const group = new FakeServers(plan, { p: 100, a: 100, b: 100 })
    await new PrimaryChoice(plan, group).choose()
    expect(group.stepDowns).toEqual([{ server: P, term: term(2) }])
  })
})
