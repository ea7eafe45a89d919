import { describe, it } from 'node:test'
import { expect } from 'earl'
import { Fleet, type FleetAction, type ProxyName, type TimedAction } from './fleet.js'
import { MUTATIONS, RARE_MUTATIONS } from './mutations.js'

/** Delays differ by seed; a scenario must hold for all, and its mutation be detected with at least one. */
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8]
const ALL_MUTATIONS = { ...MUTATIONS, ...RARE_MUTATIONS }

const then = (action: FleetAction, delay = 5): TimedAction => ({ action, delay })
const request = (proxy: ProxyName, session: string, workClass: string, delay = 5): TimedAction =>
  then({ kind: 'request', proxy, session, class: workClass }, delay)

interface Scenario {
  readonly mutation: keyof typeof ALL_MUTATIONS
  readonly title: string
  readonly violation: RegExp
  readonly actions: readonly TimedAction[]
}

const SCENARIOS: readonly Scenario[] = [
  /**
   * A primary is partitioned together with one proxy and runs a write that no replica gets. Another
   * server is promoted. The write is lost although it was acknowledged, because the acknowledgement did not wait for
   * a majority.
   */
  {
    mutation: 'acknowledgeBeforeMajority',
    title: 'no acknowledged write is lost with a primary that was partitioned',
    violation: /^lost: assign-1/,
    actions: [
      then({ kind: 'partition', cutOff: ['a', 'p1'] }),
      request('p1', 'roaming-1', 'assign'),
      then({ kind: 'failOver', steps: 4 }, 30),
      then({ kind: 'heal' }, 200),
    ],
  },
  /**
   * A primary runs a write that no replica has yet, is partitioned and replaced. At the offset of
   * that write the new primary's log holds a record of its own. Comparing offsets alone takes the replicas'
   * records for the old primary's, and acknowledges a write that is about to be discarded.
   */
  {
    mutation: 'skipTermCheck',
    title: 'no write is acknowledged by offsets of another term',
    violation: /^lost: assign/,
    actions: [
      then({ kind: 'lag', server: 'b' }),
      then({ kind: 'lag', server: 'c' }),
      request('p1', 'roaming-1', 'assign', 50),
      then({ kind: 'partition', cutOff: ['a'] }, 8),
      then({ kind: 'failOver', steps: 4 }, 0),
      then({ kind: 'heal' }, 300),
    ],
  },
  /**
   * Many writes run on a primary whose replicas both lag; it is partitioned, and `b` is promoted
   * for the second term. Then `b` is partitioned, and the first primary is promoted for the third. `c`
   * copies the first term's records from it and reports its position half way. Then the first primary
   * crashes, `c` stops copying, and `b`, whose log ends in the second term, outranks `c` in the fourth. Writes that
   * were confirmed by `c`'s copy of an old term are lost.
   */
  {
    mutation: 'ignoreLaterFences',
    title: 'no write is acknowledged by a copy made for a later term',
    violation: /^lost: assign/,
    actions: [
      then({ kind: 'lag', server: 'b' }),
      then({ kind: 'lag', server: 'c' }),
      ...Array.from({ length: 60 }, () => request('p1', 'roaming-1', 'assign', 0)),
      then({ kind: 'partition', cutOff: ['a', 'p1'] }, 60),
      then({ kind: 'failOver', steps: 4 }, 0),
      then({ kind: 'partition', cutOff: ['b'] }, 250),
      then({ kind: 'catchUp', server: 'c' }, 0),
      then({ kind: 'failOver', steps: 4 }, 0),
      then({ kind: 'kill', server: 'a' }, 100),
      then({ kind: 'heal' }, 0),
      then({ kind: 'kill', server: 'a' }, 0),
      then({ kind: 'lag', server: 'c' }, 0),
      then({ kind: 'failOver', steps: 4 }, 1),
      then({ kind: 'restart', server: 'a' }, 300),
    ],
  },
  /**
   * One proxy is partitioned together with the old primary while the others promote a new one. A session
   * writes through the other proxy, then reads through the partitioned one, where the old
   * primary answers as primary, and does not see the write.
   */
  {
    mutation: 'primaryReportAsBound',
    title: 'a primary that was replaced without learning of it serves no stale read',
    violation: /^stale: lookup/,
    actions: [
      then({ kind: 'partition', cutOff: ['a', 'p2'] }),
      then({ kind: 'failOver', steps: 4 }),
      request('p1', 'roaming-1', 'assign', 200),
      request('p2', 'roaming-1', 'lookup', 100),
    ],
  },
  /**
   * A session is open at two proxies at once. The replica near the second one lags. A read through the second
   * misses the write that was made through the first, because the second proxy knew only the session's writes made
   * through itself.
   */
  {
    mutation: 'rememberRoamingSessions',
    title: 'a session open at two proxies at once sees its own writes at both',
    violation: /^stale: browse/,
    actions: [
      request('p2', 'roaming-1', 'browse', 300),
      then({ kind: 'lag', server: 'c' }),
      request('p1', 'roaming-1', 'assign'),
      request('p2', 'roaming-1', 'browse', 40),
      request('p2', 'roaming-1', 'browse'),
    ],
  },
  /** The answer to a write is lost on its way. If the write is retried, it is applied twice. */
  {
    mutation: 'retryNonIdempotentWrites',
    title: 'a write whose answer was lost is not applied twice',
    violation: /^doubled: assign/,
    actions: [
      then({ kind: 'loseAnswers', proxy: 'p1', count: 1 }, 100),
      request('p1', 'roaming-1', 'assign'),
    ],
  },
  /** The answer to a write is lost on its way. If the core takes this for a refusal, it runs the write again. */
  {
    mutation: 'treatLostAnswerAsRefusal',
    title: 'a write whose answer was lost is not treated as one that did not run',
    violation: /^doubled: assign/,
    actions: [
      then({ kind: 'loseAnswers', proxy: 'p1', count: 1 }, 100),
      request('p1', 'roaming-1', 'assign'),
    ],
  },
]

describe('failure scenarios', () => {
  for (const { mutation, title, violation, actions } of SCENARIOS) {
    it(title, () => {
      for (const seed of SEEDS) expect(new Fleet(seed).run(actions)).toEqual([])
    })

    it(`${title}; the mutation ${mutation} breaks this`, () => {
      const detects = (seed: number): boolean =>
        new Fleet(seed, ALL_MUTATIONS[mutation]).run(actions).some(each => violation.test(each))
      expect(SEEDS.some(detects)).toEqual(true)
    })
  }
})
