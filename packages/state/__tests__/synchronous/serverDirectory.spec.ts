import { describe, it } from 'node:test'
import { expect } from 'earl'
import {
  availabilityZoneId,
  backendServerId,
  logPosition,
  milliseconds,
} from '@nutmegcourse/shared'
import type { BackendServerEntry } from '@nutmegcourse/protocol'
import { FreshnessBounds, Leadership, ServerDirectory, type ServerChange } from '../../src/index.js'

const A = backendServerId('a')
const B = backendServerId('b')
const DRAIN = 7000

const entry = (given: Partial<BackendServerEntry> = {}): BackendServerEntry => ({
  server: A,
  service: 's',
  host: '10.0.0.1',
  port: 1,
  zone: availabilityZoneId('z'),
  slots: 3,
  isLeaving: false,
  role: 'replica',
  startedAtUnixMilliseconds: 1,
  ...given,
})

const at = milliseconds

describe('ServerDirectory', () => {
  const changes: readonly (readonly [
    string,
    Partial<BackendServerEntry>,
    ServerChange['kind'] | null,
  ])[] = [
    ['reports no change for the same entry', {}, null],
    ['reports a new role as a change', { role: 'primary' }, 'changed'],
    ['reports as a change that it is leaving', { isLeaving: true }, 'changed'],
    [
      'reports a restart under the same id as a new server',
      { startedAtUnixMilliseconds: 2 },
      'appeared',
    ],
    ['reports another address as a new server', { port: 2 }, 'appeared'],
    ['reports another service as a new server', { service: 't' }, 'appeared'],
  ]
  for (const [name, given, kind] of changes) {
    it(name, () => {
      const directory = new ServerDirectory(DRAIN)
      directory.upsert(entry(), at(0))
      expect(directory.upsert(entry(given), at(1))?.kind ?? null).toEqual(kind)
    })
  }

  // A server announces that it is leaving; its drain time ends some seconds later, and requests that reach it
  // afterwards are cut off. The first announcement counts, however often the entry changes afterwards.
  it('gives a leaving server no new work in the last part of its drain time', () => {
    const directory = new ServerDirectory(DRAIN)
    directory.upsert(entry(), at(0))
    directory.upsert(entry({ isLeaving: true }), at(1000))
    directory.upsert(entry({ isLeaving: true, role: 'primary' }), at(4000))
    expect(directory.mayTakeWork(A, at(4800))).toEqual(true)
    expect(directory.mayTakeWork(A, at(4900))).toEqual(false)
  })

  // The store was unavailable and entries of live servers expired. Callers must not lose half of the
  // servers for the two seconds until the entries are back, and a server that is gone must be removed.
  it('keeps a server for a grace period after its entry expired', () => {
    const directory = new ServerDirectory(DRAIN)
    directory.upsert(entry(), at(0))
    expect(directory.keepOnly(new Set([B]), at(1000)).map(({ kind }) => kind)).toEqual(['unlisted'])
    expect(directory.mayTakeWork(A, at(3000))).toEqual(true)
    expect(directory.upsert(entry(), at(3000))?.kind).toEqual('changed')
    expect(directory.expire(at(9000))).toEqual([])
    directory.unlist(A, at(10_000))
    expect(directory.expire(at(13_999)).length).toEqual(0)
    expect(directory.expire(at(14_000)).map(({ kind }) => kind)).toEqual(['removed'])
    expect(directory.mayTakeWork(A, at(14_001))).toEqual(false)
  })
})

interface GoneCase {
  readonly name: string
  readonly arrange: (directory: ServerDirectory) => void
  /** At 10 s. */
  readonly isGone: boolean
  readonly heldUpTo: number | null
}

const SUCCESSOR_ENTRY = entry({ server: B, startedAtUnixMilliseconds: 2 })

const notePosition = (directory: ServerDirectory, offset: number, askedAt: number): void => {
  directory.notePrimaryPosition('s', logPosition(1, offset), at(askedAt))
}

const endLeaving = (directory: ServerDirectory, now: number): void => {
  directory.upsert(entry({ isLeaving: true }), at(0))
  directory.unlist(A, at(now))
}

const crash = (directory: ServerDirectory, now: number): void => {
  directory.unlist(A, at(now))
  directory.expire(at(now + 4000))
}

const goneCases: readonly GoneCase[] = [
  {
    name: 'a leaving server whose entry is gone has ended',
    arrange: directory => {
      endLeaving(directory, 1000)
    },
    isGone: true,
    heldUpTo: null,
  },
  {
    name: 'it holds nothing after a position that the primary had later',
    arrange: directory => {
      endLeaving(directory, 1000)
      notePosition(directory, 7, 1001)
      notePosition(directory, 9, 2000)
    },
    isGone: true,
    heldUpTo: 7,
  },
  // Guards against a bound from before the end of the server, which acknowledged more.
  {
    name: 'a position that the primary had earlier says nothing',
    arrange: directory => {
      endLeaving(directory, 1000)
      notePosition(directory, 7, 999)
    },
    isGone: true,
    heldUpTo: null,
  },
  // Guards against a group that waits for a leaving primary that ended before another one led.
  {
    name: 'a leaving primary whose entry is gone has ended',
    arrange: directory => {
      directory.upsert(entry({ isLeaving: true, role: 'primary' }), at(0))
      directory.unlist(A, at(1000))
    },
    isGone: true,
    heldUpTo: null,
  },
  {
    name: 'a server that crashed may return with its log',
    arrange: directory => {
      crash(directory, 1000)
      notePosition(directory, 7, 6000)
    },
    isGone: false,
    heldUpTo: null,
  },
  {
    name: 'a server that crashed long ago does not return',
    arrange: directory => {
      crash(directory, -20_000)
      notePosition(directory, 7, 6000)
    },
    isGone: true,
    heldUpTo: 7,
  },
  {
    name: 'a server whose address another one took has ended',
    arrange: directory => {
      crash(directory, 1000)
      directory.upsert(SUCCESSOR_ENTRY, at(6000))
      directory.noteAppeared(SUCCESSOR_ENTRY, at(6000))
      notePosition(directory, 7, 6000)
    },
    isGone: true,
    heldUpTo: 7,
  },
  // Guards against an old entry, read late, that makes a live server count as gone.
  {
    name: 'a server stays when the entry of its predecessor is read late',
    arrange: directory => {
      const predecessor = entry({ server: B, startedAtUnixMilliseconds: 0 })
      directory.noteAppeared(predecessor, at(6000))
    },
    isGone: false,
    heldUpTo: null,
  },
  {
    name: 'a server that is listed again has not ended',
    arrange: directory => {
      endLeaving(directory, 1000)
      notePosition(directory, 7, 2000)
      directory.upsert(entry({ isLeaving: true }), at(3000))
    },
    isGone: false,
    heldUpTo: null,
  },
]

describe('ServerDirectory: servers that are gone', () => {
  for (const { name, arrange, isGone, heldUpTo } of goneCases) {
    it(name, () => {
      const directory = new ServerDirectory(DRAIN)
      directory.upsert(entry(), at(0))
      directory.noteAppeared(entry(), at(0))
      arrange(directory)
      expect(directory.isGone(A, at(10_000))).toEqual(isGone)
      expect(directory.heldUpTo(A)).toEqual(heldUpTo === null ? null : logPosition(1, heldUpTo))
    })
  }
})

describe('ServerDirectory: servers that join', () => {
  const SHORTLY_AFTER = 1000
  const LATER = 5000
  const cases: readonly (readonly [
    string,
    number,
    (directory: ServerDirectory) => void,
    boolean,
  ])[] = [
    ['is new once every live server is known', LATER, () => undefined, true],
    ['may have been there before this host started', SHORTLY_AFTER, () => undefined, false],
    [
      'is not new when it returns',
      LATER,
      directory => {
        directory.upsert(entry(), at(0))
        crash(directory, 0)
      },
      false,
    ],
  ]
  for (const [name, joinsAt, arrange, hasJoined] of cases) {
    it(name, () => {
      const directory = new ServerDirectory(DRAIN)
      directory.keepOnly(new Set(), at(0))
      arrange(directory)
      directory.upsert(entry(), at(joinsAt))
      expect(directory.get(A)?.hasJoined).toEqual(hasJoined)
    })
  }

  // Guards against a live server that counts as gone since another one took the address that it had before.
  it('does not end one that had moved from its address before', () => {
    const directory = new ServerDirectory(DRAIN)
    directory.noteAppeared(entry(), at(0))
    directory.noteAppeared(entry({ port: 2, startedAtUnixMilliseconds: 2 }), at(1))
    directory.noteAppeared(entry({ server: B, startedAtUnixMilliseconds: 3 }), at(2))
    expect(directory.isGone(A, at(3))).toEqual(false)
  })
})

describe('ServerDirectory: members that the store names and does not list', () => {
  const RETURN_MILLISECONDS = 20_000
  const UNENDED = { hasEnded: false, holdsUpTo: null }
  const cases: readonly (readonly [
    string,
    (directory: ServerDirectory) => void,
    { readonly members: readonly string[]; readonly isGone: boolean },
  ])[] = [
    [
      'may hold writes and return',
      directory => directory.noteRecorded({ entry: entry(), ...UNENDED }, at(0)),
      { members: ['a'], isGone: false },
    ],
    [
      'hold writes, but do not return once they have ended',
      directory => directory.noteRecorded({ entry: entry(), ...UNENDED, hasEnded: true }, at(0)),
      { members: ['a'], isGone: true },
    ],
    [
      'do not return if another server has taken their address',
      directory => {
        directory.noteAppeared(entry({ server: B, startedAtUnixMilliseconds: 2 }), at(0))
        directory.noteRecorded({ entry: entry(), ...UNENDED }, at(0))
      },
      { members: ['a'], isGone: true },
    ],
    [
      'are known already if they are listed',
      directory => {
        directory.upsert(entry(), at(0))
        directory.noteRecorded({ entry: entry(), ...UNENDED, hasEnded: true }, at(0))
      },
      { members: ['a'], isGone: false },
    ],
    // Guards against a change of primary that waits for an ended server, since its host has missed it for less long than
    // another host.
    [
      'do not return once another host has found that they ended',
      directory => {
        directory.noteRecorded({ entry: entry(), ...UNENDED }, at(0))
        directory.noteRecorded({ entry: entry(), ...UNENDED, hasEnded: true }, at(1))
      },
      { members: ['a'], isGone: true },
    ],
    [
      'do not return once another host has found that they ended, while their own grace lasts',
      directory => {
        directory.upsert(entry(), at(0))
        directory.unlist(A, at(0))
        directory.noteRecorded({ entry: entry(), ...UNENDED, hasEnded: true }, at(1))
      },
      { members: ['a'], isGone: true },
    ],
    [
      'may return if only an earlier process has ended',
      directory => {
        directory.noteRecorded(
          { entry: entry({ startedAtUnixMilliseconds: 2 }), ...UNENDED },
          at(0),
        )
        directory.noteRecorded({ entry: entry(), ...UNENDED, hasEnded: true }, at(1))
      },
      { members: ['a'], isGone: false },
    ],
    [
      'hold nothing of their own once another server was promoted',
      directory => {
        directory.noteRecorded({ entry: entry(), ...UNENDED }, at(0))
        directory.notePromotion('s')
      },
      { members: [], isGone: false },
    ],
  ]
  for (const [name, arrange, expected] of cases) {
    it(name, () => {
      const directory = new ServerDirectory(DRAIN)
      arrange(directory)
      const members = directory.membersOf('s', at(1)).map(({ entry: { server } }) => server)
      expect({ members, isGone: directory.isGone(A, at(1)) }).toLooseEqual(expected)
    })
  }

  // Guards against a choice that ignores the log of a live server that is leaving and whose entry has expired.
  it('may bring their log for some seconds once a leaving one is not listed', () => {
    const directory = new ServerDirectory(DRAIN)
    directory.upsert(entry({ isLeaving: true }), at(0))
    directory.unlist(A, at(1000))
    const [early, late] = [at(3999), at(4000)].map(now => directory.mayBringLog(A, now))
    expect({ isGone: directory.isGone(A, at(1000)), early, late }).toEqual({
      isGone: true,
      early: true,
      late: false,
    })
  })

  it('count as gone if they do not return for some time', () => {
    const directory = new ServerDirectory(DRAIN)
    directory.noteRecorded({ entry: entry(), ...UNENDED }, at(0))
    expect(directory.isGone(A, at(RETURN_MILLISECONDS))).toEqual(true)
  })
})

describe('Leadership', () => {
  // A delayed answer of the old primary arrives after the evidence for the new one. Writes
  // must not go back to the old one.
  it('orders evidence by when the request was sent, not by when the answer arrived', () => {
    const leadership = new Leadership()
    leadership.noteLeading(A, at(100))
    leadership.noteLeading(B, at(300))
    leadership.noteLeading(A, at(200))
    expect(leadership.primary).toEqual(B)
  })

  it('drops a server that refuses, until newer evidence shows that it leads', () => {
    const leadership = new Leadership()
    leadership.noteLeading(A, at(100))
    leadership.noteNotLeading(A, at(150))
    expect(leadership.primary).toEqual(null)
    leadership.noteLeading(A, at(120))
    expect(leadership.primary).toEqual(null)
    leadership.noteLeading(A, at(200))
    expect(leadership.primary).toEqual(A)
  })
})

describe('FreshnessBounds', () => {
  const bounded = { kind: 'bounded', maximumAgeMilliseconds: 1000 } as const
  const own = { kind: 'ownWrites', maximumAgeMilliseconds: 1000 } as const

  it('has no bound before the primary has answered, nor from an answer that is too old', () => {
    const bounds = new FreshnessBounds()
    expect(bounds.requirementFor(bounded, null, at(0)).kind).toEqual('unknown')
    bounds.add(at(0), logPosition(1, 5))
    expect(bounds.requirementFor(bounded, null, at(1000)).kind).toEqual('position')
    expect(bounds.requirementFor(bounded, null, at(1001)).kind).toEqual('unknown')
  })

  it('requires no more of a replica than the oldest bound that is recent enough', () => {
    const bounds = new FreshnessBounds()
    bounds.add(at(0), logPosition(1, 5))
    bounds.add(at(500), logPosition(1, 9))
    bounds.add(at(900), logPosition(1, 20))
    expect(bounds.requirementFor(bounded, null, at(1200))).toEqual({
      kind: 'position',
      position: logPosition(1, 9),
    })
  })

  it('adds the session’s own writes', () => {
    const bounds = new FreshnessBounds()
    bounds.add(at(0), logPosition(1, 5))
    const need = bounds.requirementFor(own, logPosition(1, 30), at(10))
    expect(need).toEqual({ kind: 'position', position: logPosition(1, 30) })
    expect(bounds.requirementFor({ kind: 'latest' }, null, at(10))).toEqual({ kind: 'primary' })
  })

  // The old primary's log extended past what the new one took over; nothing there was acknowledged. A
  // read that waited for that position would wait until the new primary has written as much.
  it('uses a lower bound once a change of primary has truncated the log', () => {
    const bounds = new FreshnessBounds()
    bounds.add(at(0), logPosition(1, 50))
    bounds.add(at(800), logPosition(1, 48))
    expect(bounds.requirementFor(bounded, null, at(900))).toEqual({
      kind: 'position',
      position: logPosition(1, 48),
    })
  })
})
