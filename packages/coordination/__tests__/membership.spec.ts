import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { Member } from '@nutmegcourse/protocol'
import {
  SeededRandom,
  availabilityZoneId,
  entryHostId,
  incarnation,
  milliseconds,
  regionId,
  type Milliseconds,
} from '@nutmegcourse/shared'
import {
  DEFAULT_NEIGHBOUR_OPTIONS,
  MembershipCore,
  type MembershipEffect,
  type MembershipMessage,
  type MembershipOptions,
} from '../src/index.js'
import { FleetSimulation, type SimulatedHost } from './fleetSimulation.js'

const ZONES = [
  { zone: 'tanger-nord', region: 'tanger' },
  { zone: 'tanger-sud', region: 'tanger' },
  { zone: 'casa-est', region: 'casa' },
]
const HOSTS: readonly SimulatedHost[] = [0, 1, 2, 3, 4, 5].map(index => ({
  id: entryHostId(`host-${index}`),
  address: `10.0.0.${index}`,
  ...(ZONES[index % ZONES.length] ?? { zone: '', region: '' }),
}))
const [FIRST, SECOND, THIRD] = HOSTS.map(host => host.id) as [
  SimulatedHost['id'],
  SimulatedHost['id'],
  SimulatedHost['id'],
]
const ALL = HOSTS.map(host => host.id)
const without = (gone: string): readonly string[] => ALL.filter(id => id !== gone)
const idsIn = (zone: string): readonly string[] =>
  HOSTS.filter(host => host.zone === zone).map(host => host.id)

const memberOf = ({ id, zone, region, address }: SimulatedHost): Member => ({
  entryHost: id,
  zone: availabilityZoneId(zone),
  region: regionId(region),
  address,
  port: 1,
  incarnation: incarnation(1),
  status: 'alive',
})

function startSimulation(options: Partial<MembershipOptions> = {}): FleetSimulation {
  const fleet = new FleetSimulation(options)
  for (const host of HOSTS) fleet.list(host)
  for (const host of HOSTS) fleet.start(host)
  fleet.run(3000)
  return fleet
}

/** After the start of a simulation. */
const PROBE_MOMENT_MILLISECONDS = 3_000

interface Scenario {
  readonly name: string
  readonly arrange: (fleet: FleetSimulation) => void
  readonly withinMilliseconds: number
  /** The hosts that each listed viewer considers alive at the end. */
  readonly views: readonly { readonly at: readonly string[]; readonly alive: readonly string[] }[]
}

const NEW_HOST: SimulatedHost = {
  id: entryHostId('host-new'),
  zone: 'casa-est',
  region: 'casa',
  address: '10.0.0.9',
}
const crossing =
  (zone: string) =>
  (left: SimulatedHost, right: SimulatedHost): boolean =>
    (left.zone === zone) !== (right.zone === zone)

const SCENARIOS: readonly Scenario[] = [
  {
    // A host joins before the host list, which lags, contains it: it connects to the others, and they accept it.
    name: 'a host joins before the list contains it',
    arrange: fleet => {
      fleet.start(NEW_HOST, 5)
    },
    withinMilliseconds: 2500,
    views: [{ at: [...ALL, NEW_HOST.id], alive: [...ALL, NEW_HOST.id].sort() }],
  },
  {
    // Its connections break at once and no helper reaches it, so it is detected before the silence timeout.
    name: 'a host is killed',
    arrange: fleet => {
      fleet.kill(FIRST)
    },
    withinMilliseconds: 2500,
    views: [{ at: without(FIRST), alive: without(FIRST) }],
  },
  {
    // A stalled host keeps its connections open and sends nothing.
    name: 'a host stalls',
    arrange: fleet => {
      fleet.setStalled(FIRST, true)
    },
    withinMilliseconds: 6000,
    views: [{ at: without(FIRST), alive: without(FIRST) }],
  },
  {
    // The host resumes, learns that it was declared failed, and takes a newer incarnation. It must not
    // declare the other hosts failed because it received nothing while it was stalled.
    name: 'a stalled host resumes',
    arrange: fleet => {
      fleet.setStalled(FIRST, true)
      fleet.run(20_000)
      fleet.setStalled(FIRST, false)
    },
    withinMilliseconds: 8000,
    views: [{ at: ALL, alive: ALL }],
  },
  {
    // The replacement's clock runs behind, so its incarnation is lower than that of its predecessor:
    // it receives the predecessor's state and takes a higher incarnation.
    name: 'a host is replaced by one whose clock runs behind',
    arrange: fleet => {
      fleet.kill(FIRST)
      fleet.run(5000)
      fleet.start(HOSTS[0] ?? NEW_HOST, 0)
    },
    withinMilliseconds: 5000,
    views: [{ at: ALL, alive: ALL }],
  },
  {
    // A new host has the address of one that died, so connections to the old host reach the new one.
    name: 'a host is replaced under another name at the same address',
    arrange: fleet => {
      fleet.kill(FIRST)
      const replacement = { ...NEW_HOST, address: HOSTS[0]?.address ?? '' }
      fleet.list(replacement)
      fleet.start(replacement, 7)
    },
    withinMilliseconds: 5000,
    views: [{ at: without(FIRST), alive: [...without(FIRST), NEW_HOST.id].sort() }],
  },
  {
    name: 'a host shuts down as planned',
    arrange: fleet => {
      fleet.shutDown(FIRST)
    },
    withinMilliseconds: 500,
    views: [{ at: without(FIRST), alive: without(FIRST) }],
  },
  {
    // A zone is cut off. Each side keeps the hosts that it reaches.
    name: 'a zone is cut off',
    arrange: fleet => {
      fleet.cut(crossing('casa-est'))
    },
    withinMilliseconds: 8000,
    views: [
      { at: idsIn('casa-est'), alive: idsIn('casa-est') },
      { at: [FIRST, SECOND], alive: [...idsIn('tanger-nord'), ...idsIn('tanger-sud')].sort() },
    ],
  },
  {
    // The same, with the connection restored later: both sides retry the hosts that they declared failed.
    name: 'a zone is cut off and reconnected',
    arrange: fleet => {
      fleet.cut(crossing('casa-est'))
      fleet.run(60_000)
      fleet.heal()
    },
    withinMilliseconds: 10_000,
    views: [{ at: ALL, alive: ALL }],
  },
  {
    // Delayed reports on an earlier incarnation arrive long after the host has returned.
    name: 'delayed reports on an earlier incarnation arrive',
    arrange: fleet => {
      const former = fleet.membership(FIRST).self
      fleet.kill(FIRST)
      fleet.run(3000)
      fleet.start(HOSTS[0] ?? NEW_HOST, 50)
      fleet.run(3000)
      fleet.deliver(SECOND, { ...former, status: 'failed' })
      fleet.deliver(THIRD, { ...former, status: 'left' })
    },
    withinMilliseconds: 3000,
    views: [{ at: ALL, alive: ALL }],
  },
]

describe('membership', () => {
  for (const scenario of SCENARIOS) {
    it(`agrees on the live members when ${scenario.name}`, () => {
      const fleet = startSimulation()
      scenario.arrange(fleet)
      fleet.run(scenario.withinMilliseconds)
      for (const { at, alive } of scenario.views) {
        for (const viewer of at) expect(fleet.aliveAt(entryHostId(viewer))).toEqual([...alive])
      }
    })
  }

  // Two hosts, or two zones, do not reach each other, but a third reaches both. If each side declared
  // the other failed and was refuted, watchers would be reassigned back and forth.
  const partialCuts = [
    {
      name: 'one broken path between two hosts',
      isCut: (left: SimulatedHost, right: SimulatedHost) =>
        [left.id, right.id].includes(FIRST) && [left.id, right.id].includes(SECOND),
    },
    {
      name: 'two zones that reach each other only through a third',
      isCut: (left: SimulatedHost, right: SimulatedHost) =>
        [left.zone, right.zone].sort().join() === 'tanger-nord,tanger-sud',
    },
  ]
  for (const { name, isCut } of partialCuts) {
    it(`declares no host failed because of ${name}`, () => {
      const fleet = startSimulation()
      fleet.cut(isCut)
      fleet.run(30_000)
      expect(fleet.failureDeclarations).toEqual([])
    })

    it(`declares hosts failed because of ${name} when no helper is asked`, () => {
      const fleet = startSimulation({ helpers: 0 })
      fleet.cut(isCut)
      fleet.run(30_000)
      expect(fleet.failureDeclarations.length > 0).toEqual(true)
    })
  }

  it('declares no host failed because of a stall shorter than the silence timeout', () => {
    const fleet = startSimulation()
    fleet.setStalled(FIRST, true)
    fleet.run(2500)
    fleet.setStalled(FIRST, false)
    fleet.run(10_000)
    expect(fleet.failureDeclarations).toEqual([])
  })

  // A host loses its link to another, asks helpers and stalls for less than the stall limit. Guards
  // against a live host that is declared failed because timers run before the helpers' answers are read.
  for (const { name, reached, alive } of [
    { name: 'keeps a host that a helper reached', reached: true, alive: true },
    { name: 'declares a host failed that no helper reached', reached: false, alive: false },
  ]) {
    it(`${name} when it reads the answer after a stall`, () => {
      const core = startSimulation().membership(FIRST)
      const at = (span: number): Milliseconds => milliseconds(PROBE_MOMENT_MILLISECONDS + span)
      core.handle({ kind: 'tick' }, at(0))
      core.handle({ kind: 'linkLost', peer: SECOND }, at(0))
      core.handle({ kind: 'tick' }, at(1_600))
      for (let helper = 0; helper < 3; helper += 1) {
        core.handle({ kind: 'probeAnswered', subject: SECOND, reached }, at(1_601))
      }
      for (const span of [2_100, 2_600, 3_100]) core.handle({ kind: 'tick' }, at(span))
      expect(core.isAlive(SECOND)).toEqual(alive)
    })
  }

  it('declares a host failed after a stall when no helper answers', () => {
    const core = startSimulation().membership(FIRST)
    const at = (span: number): Milliseconds => milliseconds(PROBE_MOMENT_MILLISECONDS + span)
    core.handle({ kind: 'tick' }, at(0))
    core.handle({ kind: 'linkLost', peer: SECOND }, at(0))
    for (const span of [1_600, 2_100, 2_600, 3_100]) core.handle({ kind: 'tick' }, at(span))
    expect(core.isAlive(SECOND)).toEqual(false)
  })

  // A host stalls for a long time and resumes. By its own clock it received nothing for all that time,
  // and in a fleet this small its helpers appear just as silent.
  for (const { stallHeartbeats, declared } of [
    { stallHeartbeats: 2, declared: 0 },
    { stallHeartbeats: Number.POSITIVE_INFINITY, declared: ALL.length - 1 },
  ]) {
    it(`a resumed host declares ${declared} others failed with a stall limit of ${stallHeartbeats} heartbeats`, () => {
      const fleet = startSimulation({
        stallHeartbeats,
        indirectProbeMilliseconds: 0,
      })
      fleet.setStalled(FIRST, true)
      fleet.run(10_000)
      fleet.setStalled(FIRST, false)
      fleet.run(1000)
      expect(fleet.failureDeclarations.filter(({ by }) => by === FIRST).length).toEqual(declared)
    })
  }

  /*
   * Guards against a healthy host that is declared failed because the prober stalled while its helper's
   * answer lay unread. The second case shows that a probe without an answer still ends.
   */
  for (const { name, answered, declared } of [
    { name: 'no host failed when the helper answers', answered: true, declared: 0 },
    { name: 'one host failed when the helper does not answer', answered: false, declared: 1 },
  ]) {
    it(`declares ${name} a probe during which the prober stalled`, () => {
      const [self, peer, helper] = HOSTS.slice(0, 3).map(memberOf)
      if (self === undefined || peer === undefined || helper === undefined) throw new Error('hosts')
      const core = new MembershipCore(self, new SeededRandom(1), milliseconds(0))
      const effects: MembershipEffect[] = []
      const handle = (message: MembershipMessage, now: number): void => {
        effects.push(...core.handle(message, milliseconds(now)))
      }
      for (const member of [peer, helper]) handle({ kind: 'news', member }, 0)
      handle({ kind: 'heard', peer: helper.entryHost }, 900)
      handle({ kind: 'tick' }, 1000)
      handle({ kind: 'linkLost', peer: peer.entryHost }, 1000)
      handle({ kind: 'tick' }, 2700)
      const subject = peer.entryHost
      if (answered) handle({ kind: 'probeAnswered', subject, reached: true }, 2701)
      handle({ kind: 'tick' }, 3700)
      const failures = effects.filter(
        effect => effect.kind === 'changed' && effect.change === 'failed',
      )
      expect(failures.length).toEqual(declared)
    })
  }

  it('keeps a resumed host failed when its refutation is not gossiped', () => {
    const fleet = startSimulation()
    fleet.dropRefutations()
    fleet.setStalled(FIRST, true)
    fleet.run(20_000)
    fleet.setStalled(FIRST, false)
    fleet.run(20_000)
    expect(fleet.aliveAt(SECOND)).toEqual([...without(FIRST)])
  })

  it('assigns no work to a host that the list marks as leaving', () => {
    const fleet = startSimulation()
    fleet.list(HOSTS[0] ?? NEW_HOST, 'leaving')
    const workers = fleet.membership(SECOND).workers(fleet.clock.now())
    expect(workers.map(host => host.entryHost).includes(FIRST)).toEqual(false)
    expect(fleet.membership(SECOND).isAlive(FIRST)).toEqual(true)
  })

  // A host has just started and received nothing yet. If it considered itself the only host, it would
  // watch every database and open a connection to every backend server of the fleet.
  it('counts listed hosts as workers until it has settled, and then only known live hosts', () => {
    const fleet = new FleetSimulation()
    for (const host of HOSTS) fleet.list(host)
    fleet.start(HOSTS[0] ?? NEW_HOST)
    const workers = (): number => fleet.membership(FIRST).workers(fleet.clock.now()).length
    expect(workers()).toEqual(ALL.length)
    fleet.run(6000)
    expect(workers()).toEqual(1)
  })

  it('ignores reports on an earlier incarnation', () => {
    const fleet = startSimulation()
    const core = fleet.membership(SECOND)
    const former = fleet.membership(FIRST).self
    const later = { ...former, incarnation: incarnation(9) }
    core.handle({ kind: 'news', member: later }, fleet.clock.now())
    core.handle({ kind: 'news', member: { ...former, status: 'left' } }, fleet.clock.now())
    expect(core.isAlive(FIRST)).toEqual(true)
  })

  it('counts a cut-off host among those that may hold connections until it is unlisted', () => {
    const fleet = startSimulation()
    fleet.kill(FIRST)
    fleet.run(5000)
    expect(fleet.membership(SECOND).connectionHolders()).toEqual(ALL.length)
    fleet.unlist(FIRST)
    expect(fleet.membership(SECOND).connectionHolders()).toEqual(ALL.length - 1)
  })

  it('forgets a host that has been unavailable and unlisted for the configured time', () => {
    const fleet = startSimulation({ forgetMilliseconds: 10_000 })
    fleet.kill(FIRST)
    fleet.unlist(FIRST)
    fleet.run(15_000)
    const known = fleet
      .membership(SECOND)
      .members()
      .map(member => member.entryHost)
    expect(known.includes(FIRST)).toEqual(false)
  })

  it('agrees on the live members in a fleet where each host has only a few links', () => {
    const neighbours = { ...DEFAULT_NEIGHBOUR_OPTIONS, fullMeshHosts: 4 }
    const fleet = new FleetSimulation({ neighbours })
    const many = Array.from({ length: 60 }, (_, index) => ({
      id: entryHostId(`many-${index}`),
      address: `10.1.0.${index}`,
      ...(ZONES[index % ZONES.length] ?? { zone: '', region: '' }),
    }))
    for (const host of many) fleet.list(host)
    for (const host of many) fleet.start(host)
    fleet.run(15_000)
    const ids = many.map(host => host.id)
    for (const id of ids) expect(fleet.aliveAt(id)).toEqual([...ids].sort())
    const [gone] = ids
    if (gone === undefined) throw new Error('no hosts')
    fleet.kill(gone)
    fleet.run(5000)
    for (const id of ids.slice(1)) expect(fleet.aliveAt(id)).toEqual(ids.slice(1).sort())
    expect(fleet.membership(ids[1] ?? gone).self.incarnation).toEqual(incarnation(1))
  })
})
