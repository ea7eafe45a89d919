import { describe, test } from 'node:test'
import { expect } from 'earl'
import {
  attemptId,
  availabilityZoneId,
  entryHostId,
  regionId,
  term,
  type BackendServerId,
} from '@nutmegcourse/shared'
import type { GroupRecord } from '@nutmegcourse/protocol'
import type { FailoverEffect, FailoverMessage, Watcher } from '@nutmegcourse/coordination'

import { FailoverSimulation } from './failoverSimulation.js'
import { WARM_UP_MILLISECONDS, isAnnounced } from './failoverScenario.js'

const OTHER_HOST = entryHostId('host-9')
const TERM = 50
const MOMENT_WITHIN_MILLISECONDS = 5_000
/** How long the watcher runs after its stall. */
const AFTERWARDS_MILLISECONDS = 1_000
/** Time within which a watcher that receives no message must act after its stall. */
const ACTS_WITHIN_MILLISECONDS = 2_500

interface StallCase {
  readonly name: string
  /** Brings the watcher to the moment at which it stalls. */
  readonly prepare: (simulation: FailoverSimulation) => void
  readonly stallMilliseconds: number
  /** What happens during the stall; the watcher reads of it after its timers. */
  readonly meanwhile: (simulation: FailoverSimulation) => void
  /** What the watcher must not do after it. */
  readonly wrong: string
}

/** One watcher, so that its decisions are its own. */
function makeSimulation(): FailoverSimulation {
  const simulation = new FailoverSimulation({ seed: 1, watcherZones: ['tanger-sud'] })
  simulation.runFor(WARM_UP_MILLISECONDS)
  return simulation
}

function recordOf(simulation: FailoverSimulation, phase: GroupRecord['phase']): GroupRecord {
  const { id } = simulation.server(1)
  const startsAfter = simulation.server(0).report().position
  const known = simulation.store.stored.record
  if (known === null) throw new Error('no record is stored')
  const start = { term: term(TERM), primary: id, startsAfter }
  const isFencing = phase.kind === 'fencing'
  return {
    ...known,
    term: term(TERM),
    primary: phase.kind === 'stable' ? id : known.primary,
    phase,
    coordinator: OTHER_HOST,
    attempt: attemptId('other-1'),
    termStarts: isFencing ? known.termStarts : [...known.termStarts, start],
  }
}

/** Another host makes server 1 the primary. */
function replacePrimary(simulation: FailoverSimulation): void {
  for (const server of simulation.servers) server.fence(TERM)
  simulation.server(1).promote(TERM)
  for (const index of [0, 2]) simulation.server(index).follow(TERM, simulation.server(1).id)
}

function tell(simulation: FailoverSimulation, phase: GroupRecord['phase']): void {
  const record = recordOf(simulation, phase)
  simulation.send(0, { kind: 'record', record, revision: simulation.store.stored.revision + 1 })
}

/** Another host makes server 1 the primary and tells the watcher. */
function completeChange(simulation: FailoverSimulation): void {
  replacePrimary(simulation)
  tell(simulation, { kind: 'stable' })
}

/** Runs until something has happened. */
function runUntil(simulation: FailoverSimulation, hasHappened: () => boolean): void {
  const end = simulation.now + MOMENT_WITHIN_MILLISECONDS
  while (!hasHappened() && simulation.now < end) simulation.runFor(0.1)
  expect(hasHappened()).toEqual(true)
}

/** Runs until the watcher has handled a message that fits. */
function runUntilMessage(
  simulation: FailoverSimulation,
  isMoment: (message: FailoverMessage) => boolean,
): void {
  const moments: FailoverMessage[] = []
  simulation.observeMessage = (_host, message) => {
    if (isMoment(message)) moments.push(message)
  }
  runUntil(simulation, () => moments.length > 0)
  simulation.observeMessage = () => undefined
}

/** Runs until the watcher has sent an effect that fits. */
function runUntilEffect(
  simulation: FailoverSimulation,
  isMoment: (effect: FailoverEffect) => boolean,
): void {
  const moments: FailoverEffect[] = []
  simulation.intercept = (_host, effect) => {
    if (isMoment(effect)) moments.push(effect)
    return true
  }
  runUntil(simulation, () => moments.length > 0)
  simulation.intercept = () => true
}

const reports =
  (server: BackendServerId, role: string, fencedTerm: number) =>
  (message: FailoverMessage): boolean =>
    message.kind === 'positionAnswered' &&
    message.server === server &&
    message.report.role === role &&
    message.report.fencedTerm === fencedTerm

const otherWatcher = (name: string, zone: string): Watcher => ({
  entryHost: entryHostId(name),
  zone: availabilityZoneId(zone),
  region: regionId('near'),
})

const OTHER_WATCHERS = [
  otherWatcher('host-8', 'tanger-nord'),
  otherWatcher('host-9', 'casa-est'),
] as const

function addWatchers(simulation: FailoverSimulation): void {
  const watchers = [simulation.node(0).watcher, ...OTHER_WATCHERS]
  simulation.send(0, { kind: 'watchers', watchers })
}

function sayOpinion(
  simulation: FailoverSimulation,
  from: Watcher,
  suspected: boolean,
  sequence: number,
): void {
  const { entryHost: watcher, zone, region } = from
  const { database } = recordOf(simulation, { kind: 'stable' })
  const about = simulation.server(0).id
  const opinion = { database, watcher, zone, region, about, term: term(1), suspected, sequence }
  simulation.send(0, { kind: 'opinion', opinion })
}

/** The watchers say each second that the primary is well. */
function contradict(
  simulation: FailoverSimulation,
  from: readonly Watcher[],
  until: number,
  sequence = 1,
): void {
  for (const watcher of from) sayOpinion(simulation, watcher, false, sequence)
  if (simulation.now >= until) return
  simulation.network.schedule(1_000, () => {
    contradict(simulation, from, until, sequence + 1)
  })
}

/** The primary refuses the connections of this watcher alone. */
function refuseWatcher(simulation: FailoverSimulation): void {
  const server = simulation.server(0).id
  simulation.intercept = (host, effect) => {
    if (effect.kind !== 'askPosition' || effect.server !== server) return true
    const askedAt = simulation.clock.now()
    simulation.network.schedule(1, () => {
      simulation.send(host, { kind: 'positionFailed', server, failure: 'refused', askedAt })
    })
    return false
  }
}

const cases: readonly StallCase[] = [
  {
    name: 'a change that another host ended meanwhile',
    prepare: simulation => {
      tell(simulation, { kind: 'fencing', target: null })
      simulation.runFor(450)
    },
    stallMilliseconds: 700,
    meanwhile: completeChange,
    wrong: 'termTaken',
  },
  {
    name: 'a leader whose record was announced meanwhile',
    prepare: simulation => {
      replacePrimary(simulation)
      tell(simulation, { kind: 'promoting', chosen: simulation.server(1).id })
      runUntilMessage(simulation, reports(simulation.server(1).id, 'primary', TERM))
    },
    stallMilliseconds: 700,
    meanwhile: simulation => {
      tell(simulation, { kind: 'stable' })
    },
    wrong: 'promoted',
  },
  {
    name: 'a fence whose term was announced meanwhile',
    prepare: simulation => {
      simulation.server(2).fence(5)
      simulation.runFor(2_700)
    },
    stallMilliseconds: 700,
    meanwhile: completeChange,
    wrong: 'termTaken',
  },
  {
    name: 'a primary whose successor was announced meanwhile',
    prepare: simulation => {
      replacePrimary(simulation)
      runUntilMessage(simulation, reports(simulation.server(0).id, 'replica', TERM))
    },
    stallMilliseconds: 700,
    meanwhile: simulation => {
      tell(simulation, { kind: 'stable' })
    },
    wrong: 'termTaken',
  },
  {
    name: 'a database whose record arrived meanwhile',
    prepare: simulation => {
      for (const server of simulation.servers) server.fence(5)
      simulation.store.state = 'down'
      simulation.restart(0)
      simulation.runFor(2_700)
    },
    stallMilliseconds: 700,
    meanwhile: completeChange,
    wrong: 'termTaken',
  },
  {
    name: 'a primary that the others called well meanwhile',
    prepare: simulation => {
      addWatchers(simulation)
      contradict(simulation, OTHER_WATCHERS, simulation.now + 10_000)
      refuseWatcher(simulation)
      simulation.runFor(1_500)
    },
    stallMilliseconds: 3_000,
    meanwhile: () => undefined,
    wrong: 'termTaken',
  },
  {
    name: 'a target that caught up meanwhile',
    prepare: simulation => {
      simulation.setLeaving(0)
      runUntilEffect(simulation, effect => isAnnounced(effect, 'moving'))
      simulation.lag[1] = 3_000
      simulation.runFor(300)
    },
    stallMilliseconds: 1_000,
    meanwhile: simulation => {
      simulation.lag[1] = 0
    },
    wrong: 'moveAbandoned',
  },
  {
    name: 'a promotion that took effect meanwhile',
    prepare: simulation => {
      simulation.kill('server-0')
      runUntilEffect(simulation, effect => effect.kind === 'promote')
    },
    stallMilliseconds: 1_100,
    meanwhile: () => undefined,
    wrong: 'abandoned',
  },
]

/** Cases that a clock which stands still during a stall could get wrong. */
const agedCases: readonly StallCase[] = [
  {
    name: 'a suspicion that another host held before',
    prepare: simulation => {
      addWatchers(simulation)
      sayOpinion(simulation, OTHER_WATCHERS[0], true, 1)
      contradict(simulation, [OTHER_WATCHERS[1]], simulation.now + 10_000)
    },
    stallMilliseconds: 4_000,
    meanwhile: refuseWatcher,
    wrong: 'termTaken',
  },
  {
    name: 'a replica that had caught up before',
    prepare: () => undefined,
    stallMilliseconds: 4_000,
    meanwhile: simulation => {
      simulation.lag = [0, 60_000, 60_000]
      simulation.setLeaving(0)
      simulation.network.schedule(2_000, () => {
        simulation.server(0).write(-1)
      })
    },
    wrong: 'moveStarted',
  },
]

/** Stalls the watcher, runs its timers and lets it read; returns its steps since the stall began. */
function stall(
  simulation: FailoverSimulation,
  span: number,
  meanwhile: () => void,
): () => string[] {
  const before = simulation.events.length
  simulation.network.freeze(simulation.hostName(0))
  meanwhile()
  simulation.runFor(span)
  simulation.thawTimersFirst(0)
  return () => simulation.events.slice(before).map(event => event.step)
}

/*
 * A watcher's process stalls, and its timers run before it reads what arrived meanwhile. Guards against
 * a change of primary that cuts callers' writes although nothing has failed, because the watcher judges
 * others by the time for which it did not run itself.
 */
describe('a watcher that stalled reads before it judges', () => {
  for (const { name, prepare, stallMilliseconds, meanwhile, wrong } of [...cases, ...agedCases]) {
    test(name, () => {
      const simulation = makeSimulation()
      prepare(simulation)
      const steps = stall(simulation, stallMilliseconds, () => {
        meanwhile(simulation)
      })
      simulation.runFor(AFTERWARDS_MILLISECONDS)
      expect(steps().filter(step => step === wrong)).toEqual([])
    })
  }
})

/*
 * The same stalls, but nothing happened meanwhile. Guards against a fleet without a primary because the
 * only watcher left waits for news that nobody sends.
 */
describe('a watcher that stalled acts when it has read nothing new', () => {
  const unresolved = cases.filter(({ wrong }) => wrong === 'termTaken')
  for (const { name, prepare, stallMilliseconds } of unresolved) {
    test(`unlike after ${name}`, () => {
      const simulation = makeSimulation()
      prepare(simulation)
      const own = simulation.node(0).watcher
      const steps = stall(simulation, stallMilliseconds, () => {
        simulation.send(0, { kind: 'watchers', watchers: [own] })
      })
      simulation.runFor(ACTS_WITHIN_MILLISECONDS)
      expect(steps()).toInclude('termTaken')
    })
  }

  /* Guards against steps in the log that bear a time before the stall. */
  test('and dates its steps by the clock', () => {
    const simulation = makeSimulation()
    tell(simulation, { kind: 'fencing', target: null })
    stall(simulation, 5_000, () => undefined)
    const resumedAt = simulation.now
    simulation.runFor(ACTS_WITHIN_MILLISECONDS)
    const taken = simulation.events.find(event => event.step === 'termTaken')
    expect(taken?.at ?? 0).toBeGreaterThan(resumedAt)
    expect(taken?.at ?? 0).toBeLessThan(simulation.now)
  })

  /* The process gets no more than 20 ms between two stalls of 250 ms: it is slow, but it must act. */
  test('even when it stalls again and again', () => {
    const simulation = makeSimulation()
    tell(simulation, { kind: 'fencing', target: null })
    for (let round = 0; round < 40; round += 1) {
      stall(simulation, 250, () => undefined)
      simulation.runFor(20)
    }
    expect(simulation.steps()).toInclude('termTaken')
  })
})

/*
 * One stall follows another, or many short ones add up. Guards against a watcher that counts as awake
 * because its timers ran once in between, and acts before it has read.
 */
describe('a watcher that stalled more than once reads before it judges', () => {
  const spans = [
    { name: 'after two stalls in a row', stalls: [700, 700] },
    { name: 'after a long stall and a short one', stalls: [700, 150] },
    { name: 'after many stalls that are too short to be noticed', stalls: [190, 190, 190, 190] },
  ]
  for (const { name, stalls } of spans) {
    test(name, () => {
      const simulation = makeSimulation()
      tell(simulation, { kind: 'fencing', target: null })
      simulation.runFor(300)
      const before = simulation.events.length
      simulation.network.freeze(simulation.hostName(0))
      completeChange(simulation)
      for (const span of stalls) {
        simulation.runFor(span)
        simulation.runTimers(0)
      }
      simulation.network.thaw(simulation.hostName(0))
      simulation.runFor(AFTERWARDS_MILLISECONDS)
      const steps = simulation.events.slice(before).map(event => event.step)
      expect(steps.filter(step => step === 'termTaken')).toEqual([])
    })
  }
})
