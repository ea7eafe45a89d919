import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { RevisedChange } from '@nutmegcourse/protocol'
import {
  availabilityZoneId,
  backendServerId,
  milliseconds,
  type Milliseconds,
} from '@nutmegcourse/shared'
import { DirectoryHistory } from '../../src/index.js'

const record = (key: string, revision: number): RevisedChange => ({
  kind: 'record',
  key,
  value: String(revision),
  revision,
  lease: 0,
})

const gone = (revision: number): RevisedChange => ({
  kind: 'serverGone',
  server: backendServerId('i-1'),
  revision,
})

const serverAt = (revision: number): RevisedChange => ({
  kind: 'server',
  revision,
  entry: {
    server: backendServerId('i-1'),
    service: 's',
    host: '127.0.0.1',
    port: 1,
    zone: availabilityZoneId('z'),
    slots: 3,
    isLeaving: false,
    role: 'primary',
    startedAtUnixMilliseconds: 1,
  },
})

/** A full list at revision 10, then two answers of the store. */
function listedHistory(): DirectoryHistory {
  const history = new DirectoryHistory()
  history.reset([record('b', 3), record('c', 4), serverAt(5)], 10, milliseconds(0))
  history.append([record('a', 11), record('b', 12)], 12, milliseconds(100))
  history.append([record('a', 14), gone(15)], 16, milliseconds(200))
  return history
}

interface Case {
  readonly after: number
  /** Revisions of the returned changes; null if the history cannot answer. */
  readonly revisions: number[] | null
  /** The earliest time at which one of the changes may have been made. */
  readonly madeSince: Milliseconds | null
}

const CASES: Readonly<Record<string, Case>> = {
  'from the full list on: returns the newest change of each subject': {
    after: 10,
    revisions: [12, 14, 15],
    madeSince: milliseconds(100),
  },
  'from a revision within an answer: returns the later changes': {
    after: 11,
    revisions: [12, 14, 15],
    madeSince: milliseconds(100),
  },
  'from a revision between two answers: returns the changes of the second': {
    after: 13,
    revisions: [14, 15],
    madeSince: milliseconds(200),
  },
  'from its own revision: returns no changes': { after: 16, revisions: [], madeSince: null },
  'from a revision past its own: returns no changes': { after: 20, revisions: [], madeSince: null },
  'from a revision before the full list: returns the whole content': {
    after: 9,
    revisions: [4, 12, 14],
    madeSince: milliseconds(0),
  },
}

describe('DirectoryHistory', () => {
  for (const [name, { after, revisions, madeSince }] of Object.entries(CASES)) {
    it(name, () => {
      const dated = listedHistory().changesAfter(after)
      expect(dated?.changes.map(({ revision }) => revision).sort((a, b) => a - b) ?? null).toEqual(
        revisions,
      )
      expect(dated?.madeSince ?? null).toEqual(madeSince)
      expect(dated?.isWhole).toEqual(after < 10)
    })
  }

  it('returns null before the first full list', () => {
    expect(new DirectoryHistory().changesAfter(0)).toEqual(null)
  })

  // Guards against an older answer, as from a lagging store, that reverts changes.
  it('ignores an answer that is older than its revision', () => {
    const history = listedHistory()
    history.append([record('a', 11)], 12, milliseconds(300))
    expect(history.revision).toEqual(16)
    expect(history.changesAfter(13)?.changes.length).toEqual(2)
  })

  // Guards against memory that grows with the uptime of the host, and against gaps once changes are dropped.
  it('drops the oldest changes, and returns the whole content to a host that needs them', () => {
    const history = new DirectoryHistory()
    history.reset([], 0, milliseconds(0))
    for (let revision = 1; revision <= 5000; revision += 1) {
      history.append([record(`k${revision}`, revision)], revision, milliseconds(revision))
    }
    expect(history.changesAfter(2999)?.isWhole).toEqual(true)
    expect(history.changesAfter(2999)?.changes.length).toEqual(5000)
    expect(history.changesAfter(3000)?.changes.length).toEqual(2000)
  })
})
