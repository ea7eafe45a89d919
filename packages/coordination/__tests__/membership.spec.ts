import { describe, it } from 'node:test'
import { expect } from 'earl'
import { entryHostId, incarnation } from '@nutmegcourse/shared'
import { DEFAULT_NEIGHBOUR_OPTIONS, type MembershipOptions } from '../src/index.js'
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

function startSimulation(options: Partial<MembershipOptions> = {}): FleetSimulation {
  const world = new FleetSimulation(options)
  for (const host of HOSTS) world.list(host)
  for (const host of HOSTS) world.start(host)
  world.run(3000)
  return world
}

interface Scenario {
  readonly name: string
  readonly arrange: (world: FleetSimulation) => void
  readonly withinMilliseconds: number
  /** Who is alive, as each listed viewer sees it in the end. */
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
    // A host joins before the lagging list names it to the others: it dials them, and they take it in.
    name: 'a new host that the list does not name yet',
    arrange: world => {
      world.start(NEW_HOST, 5)
    },
    withinMilliseconds: 2500,
    views: [{ at: [...ALL, NEW_HOST.id], alive: [...ALL, NEW_HOST.id].sort() }],
  },
  {
    // Its connections break at once and nobody who is asked reaches it: no need to wait for silence.
    name: 'a killed host',
    arrange: world => {
      world.kill(FIRST)
    },
    withinMilliseconds: 2500,
    views: [{ at: without(FIRST), alive: without(FIRST) }],
  },
  {
    // A frozen host keeps its connections open and says nothing.
    name: 'a frozen host',
    arrange: world => {
      world.freeze(FIRST, true)
    },
    withinMilliseconds: 6000,
    views: [{ at: without(FIRST), alive: without(FIRST) }],
  },
  {
    // The host wakes, hears that it was called failed, and takes a newer incarnation. It must not
    // call everyone else failed because it heard nobody while it was frozen.
    name: 'a frozen host that is thawed',
    arrange: world => {
      world.freeze(FIRST, true)
      world.run(20_000)
      world.freeze(FIRST, false)
    },
    withinMilliseconds: 8000,
    views: [{ at: ALL, alive: ALL }],
  },
  {
    // The host is replaced by one with a clock that runs behind, so that its incarnation is lower
    // than its former life's: it hears of that life and outbids it.
    name: 'a replaced host whose clock runs behind',
    arrange: world => {
      world.kill(FIRST)
      world.run(5000)
      world.start(HOSTS[0] ?? NEW_HOST, 0)
    },
    withinMilliseconds: 5000,
    views: [{ at: ALL, alive: ALL }],
  },
  {
    // A new host has the address of one that died; who dials the old one reaches somebody else.
    name: 'a host replaced under another name at the same address',
    arrange: world => {
      world.kill(FIRST)
      const replacement = { ...NEW_HOST, address: HOSTS[0]?.address ?? '' }
      world.list(replacement)
      world.start(replacement, 7)
    },
    withinMilliseconds: 5000,
    views: [{ at: without(FIRST), alive: [...without(FIRST), NEW_HOST.id].sort() }],
  },
  {
    name: 'a host that stops by plan',
    arrange: world => {
      world.leave(FIRST)
    },
    withinMilliseconds: 500,
    views: [{ at: without(FIRST), alive: without(FIRST) }],
  },
  {
    // A zone is cut off. Each side goes on with whom it reaches.
    name: 'a zone cut off',
    arrange: world => {
      world.cut(crossing('casa-est'))
    },
    withinMilliseconds: 8000,
    views: [
      { at: idsIn('casa-est'), alive: idsIn('casa-est') },
      { at: [FIRST, SECOND], alive: [...idsIn('tanger-nord'), ...idsIn('tanger-sud')].sort() },
    ],
  },
  {
    // The same, healed after a while: both sides dial again whom they hold to be gone.
    name: 'a zone cut off and joined again',
    arrange: world => {
      world.cut(crossing('casa-est'))
      world.run(60_000)
      world.heal()
    },
    withinMilliseconds: 10_000,
    views: [{ at: ALL, alive: ALL }],
  },
  {
    // Word of a former life, held up somewhere, arrives long after the host came back.
    name: 'late word of a former life',
    arrange: world => {
      const former = world.membership(FIRST).self
      world.kill(FIRST)
      world.run(3000)
      world.start(HOSTS[0] ?? NEW_HOST, 50)
      world.run(3000)
      world.deliver(SECOND, { ...former, status: 'failed' })
      world.deliver(THIRD, { ...former, status: 'left' })
    },
    withinMilliseconds: 3000,
    views: [{ at: ALL, alive: ALL }],
  },
]

describe('membership', () => {
  for (const scenario of SCENARIOS) {
    it(`settles on who lives after ${scenario.name}`, () => {
      const world = startSimulation()
      scenario.arrange(world)
      world.run(scenario.withinMilliseconds)
      for (const { at, alive } of scenario.views) {
        for (const viewer of at) expect(world.aliveAt(entryHostId(viewer))).toEqual([...alive])
      }
    })
  }

  // Two hosts, or two zones, do not reach each other, but a third reaches both. Users would see
  // watchers move to and fro, as each side calls the other failed and is contradicted.
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
    it(`calls nobody failed over ${name}`, () => {
      const world = startSimulation()
      world.cut(isCut)
      world.run(30_000)
      expect(world.failureDeclarations).toEqual([])
    })

    it(`calls hosts failed over ${name} when no helper is asked`, () => {
      const world = startSimulation({ helpers: 0 })
      world.cut(isCut)
      world.run(30_000)
      expect(world.failureDeclarations.length > 0).toEqual(true)
    })
  }

  it('calls nobody failed over a pause shorter than its patience', () => {
    const world = startSimulation()
    world.freeze(FIRST, true)
    world.run(2500)
    world.freeze(FIRST, false)
    world.run(10_000)
    expect(world.failureDeclarations).toEqual([])
  })

  // A host is frozen for long and thawed. By its own clock nobody spoke for all that time, and with
  // a fleet this small its helpers look just as silent to it.
  for (const { pauseHeartbeats, calls } of [
    { pauseHeartbeats: 2, calls: 0 },
    { pauseHeartbeats: Number.POSITIVE_INFINITY, calls: ALL.length - 1 },
  ]) {
    it(`a thawed host calls ${calls} others failed with a pause bound of ${pauseHeartbeats}`, () => {
      const world = startSimulation({
        stallHeartbeats: pauseHeartbeats,
        indirectProbeMilliseconds: 0,
      })
      world.freeze(FIRST, true)
      world.run(10_000)
      world.freeze(FIRST, false)
      world.run(1000)
      expect(world.failureDeclarations.filter(({ by }) => by === FIRST).length).toEqual(calls)
    })
  }

  it('stays without a thawed host when its refutation is not heard', () => {
    const world = startSimulation()
    world.dropRefutations()
    world.freeze(FIRST, true)
    world.run(20_000)
    world.freeze(FIRST, false)
    world.run(20_000)
    expect(world.aliveAt(SECOND)).toEqual([...without(FIRST)])
  })

  it('gives no work to a host that the list calls leaving', () => {
    const world = startSimulation()
    world.list(HOSTS[0] ?? NEW_HOST, 'leaving')
    const workers = world.membership(SECOND).workers(world.clock.now())
    expect(workers.map(host => host.entryHost).includes(FIRST)).toEqual(false)
    expect(world.membership(SECOND).isAlive(FIRST)).toEqual(true)
  })

  // A host begins and has heard nobody. Alone in its own eyes it would watch every database and open
  // a connection to every backend server of the fleet.
  it('takes listed hosts for workers until it has settled, and then only those it heard of', () => {
    const world = new FleetSimulation()
    for (const host of HOSTS) world.list(host)
    world.start(HOSTS[0] ?? NEW_HOST)
    const workers = (): number => world.membership(FIRST).workers(world.clock.now()).length
    expect(workers()).toEqual(ALL.length)
    world.run(6000)
    expect(workers()).toEqual(1)
  })

  it('takes no word of a former life, whatever brings it', () => {
    const world = startSimulation()
    const core = world.membership(SECOND)
    const former = world.membership(FIRST).self
    const later = { ...former, incarnation: incarnation(9) }
    core.handle({ kind: 'news', member: later }, world.clock.now())
    core.handle({ kind: 'news', member: { ...former, status: 'left' } }, world.clock.now())
    expect(core.isAlive(FIRST)).toEqual(true)
  })

  it('counts a cut-off host among those that may hold connections until it is unlisted', () => {
    const world = startSimulation()
    world.kill(FIRST)
    world.run(5000)
    expect(world.membership(SECOND).connectionHolders()).toEqual(ALL.length)
    world.unlist(FIRST)
    expect(world.membership(SECOND).connectionHolders()).toEqual(ALL.length - 1)
  })

  it('forgets a host that is gone and unlisted for long', () => {
    const world = startSimulation({ forgetMilliseconds: 10_000 })
    world.kill(FIRST)
    world.unlist(FIRST)
    world.run(15_000)
    const known = world
      .membership(SECOND)
      .members()
      .map(member => member.entryHost)
    expect(known.includes(FIRST)).toEqual(false)
  })

  it('settles in a fleet where each host has only a few links', () => {
    const neighbours = { ...DEFAULT_NEIGHBOUR_OPTIONS, fullMeshHosts: 4 }
    const world = new FleetSimulation({ neighbours })
    const many = Array.from({ length: 60 }, (_, index) => ({
      id: entryHostId(`many-${index}`),
      address: `10.1.0.${index}`,
      ...(ZONES[index % ZONES.length] ?? { zone: '', region: '' }),
    }))
    for (const host of many) world.list(host)
    for (const host of many) world.start(host)
    world.run(15_000)
    const ids = many.map(host => host.id)
    for (const id of ids) expect(world.aliveAt(id)).toEqual([...ids].sort())
    const [gone] = ids
    if (gone === undefined) throw new Error('no hosts')
    world.kill(gone)
    world.run(5000)
    for (const id of ids.slice(1)) expect(world.aliveAt(id)).toEqual(ids.slice(1).sort())
    expect(world.membership(ids[1] ?? gone).self.incarnation).toEqual(incarnation(1))
  })
})
