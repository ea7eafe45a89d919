import { describe, it } from 'node:test'
import { expect } from 'earl'
import { term, type BackendServerId } from '@nutmegcourse/shared'
import { PrimaryChangeRun } from '../../src/index.js'
import { A, B, C, FakeServers, P, clockOf, planOf } from './fakeServers.js'
import { member } from './groupMember.js'

describe('A claim to change the primary', () => {
  // Guards against a replica that restarts while the promotion is awaited and acknowledges for an unseen primary.
  it('repeats pauses beyond the next term while the promotion is awaited', async () => {
    const plan = planOf([member(P), member(A), member(B)], true)
    const group = new FakeServers(plan, { p: null, a: 100, b: 100 })
    let pausedAgain = false
    group.onPromoted = () => (group.at(B).pausedFor = term(0))
    group.onReport = (server, role) => {
      if (server === A && role === 'replica')
        pausedAgain ||= group.now > 0 && group.at(B).pausedFor > 0
      return true
    }
    let isOrdered = false
    const promoted = group.onPromoted
    group.onPromoted = () => {
      promoted()
      pausedAgain = false
      isOrdered = true
    }
    await new PrimaryChangeRun(group, clockOf(group)).run()
    expect({ isOrdered, pausedAgain }).toEqual({ isOrdered: true, pausedAgain: true })
  })

  // Guards against the loss of writes that a replica acknowledged which joined, unpaused, during a slow choice.
  const whileChosen: readonly (readonly [string, (group: FakeServers) => void])[] = [
    [
      'joins',
      group => {
        group.join(C, 'replica')
      },
    ],
    [
      'starts again',
      group => {
        group.restart(B)
      },
    ],
  ]
  for (const [name, change] of whileChosen) {
    it(`asks the group again when a server ${name} before the order to promote`, async () => {
      const plan = planOf([member(P), member(A), member(B)])
      const group = new FakeServers(plan, { p: null, a: 100, b: 100 })
      let isChanged = false
      group.onReport = server => {
        if (server === A && !isChanged && group.at(B).pausedFor !== 0) {
          isChanged = true
          change(group)
        }
        return true
      }
      const receiving: BackendServerId[][] = []
      group.onPromoted = () => receiving.push(group.receiving())
      await new PrimaryChangeRun(group, clockOf(group)).run()
      expect({ isChanged, receiving: receiving[0] }).toEqual({ isChanged: true, receiving: [A] })
    })
  }

  // Guards against the loss of writes that a recovered primary commits while the order to promote is unanswered.
  const untilAnswered: readonly (readonly [string, (group: FakeServers) => void])[] = [
    ['the primary', group => (group.at(P).isReachable = true)],
    [
      'the primary under another id',
      group => {
        group.join(C, 'primary')
      },
    ],
    [
      'a replica',
      group => {
        group.join(C, 'replica')
      },
    ],
  ]
  for (const [name, comeBack] of untilAnswered) {
    it(`lets ${name} acknowledge nothing that joins while the order to promote has no answer`, async () => {
      const plan = planOf([member(P), member(A), member(B)])
      const group = new FakeServers(plan, { p: null, a: 100, b: 100 })
      group.whileOrdered = async () => {
        comeBack(group)
        for (let wait = 0; wait < 10; wait += 1) await group.waitBeforeRetry()
        group.whileOrdered = null
      }
      const receiving: BackendServerId[][] = []
      group.onPromoted = () => receiving.push(group.receiving())
      await new PrimaryChangeRun(group, clockOf(group)).run()
      expect(receiving).toEqual([[A]])
    })
  }

  // Guards against replicas that stay paused because they were busy when the primary was kept: no write would be
  // acknowledged any more.
  it('does not end a change while a replica that gave no answer is paused beyond the term', async () => {
    const plan = planOf([member(P), member(A), member(B)], true)
    const group = new FakeServers(plan, { p: 100, a: 100, b: 100 })
    let busyReports = 0
    let isOrdered = false
    group.onPromoted = () => (isOrdered = true)
    group.onReport = server => !isOrdered || server === P || ++busyReports > 2
    const end = await new PrimaryChangeRun(group, clockOf(group)).run()
    const paused = [A, B].filter(server => group.at(server).pausedFor !== 0)
    expect({ end: end.kind, paused }).toEqual({ end: 'done', paused: [] })
  })
})
