import { describe, it } from 'node:test'
import { expect } from 'earl'
import { backendServerId, type LogPosition } from '@nutmegcourse/shared'
import { MemoryGroup, type MemoryServer } from '@nutmegcourse/stand-ins'
import { PromiseJudge, type ToldStatement } from '../src/index.js'

// A judge that finds nothing wrong must be able to find it. In each case one promise is broken in the
// way in which a faulty host would break it, and the judge names the write or read.

const SERVICE = 'service-1'

interface Bench {
  readonly judge: PromiseJudge
  readonly group: MemoryGroup
  readonly replica: MemoryServer
}

function makeBench(): Bench {
  const servers = ['p', 'a', 'b'].map(backendServerId)
  const group = new MemoryGroup({ service: SERVICE, servers, promotionMilliseconds: 0 })
  return {
    judge: new PromiseJudge([group]),
    group,
    replica: group.server(backendServerId('a')),
  }
}

function write({ judge, group }: Bench, id: string): LogPosition | null {
  judge.sent(id)
  group.commit(group.primary, [id])
  return judge.acknowledged(SERVICE, [id], `commit-${id}`)
}

const read = ({ judge }: Bench, required: LogPosition, row: string, signature = 'read-r'): void => {
  judge.readAnswered(SERVICE, 'r', { signature, rows: [row] }, required)
}

function told({ judge }: Bench, answer: ToldStatement['answer']): void {
  const statement = { host: 'host-1', id: 'w1', owedMilliseconds: 2, at: '' }
  judge.toldAmidPlannedWork({ ...statement, answer }, true)
}

const cases: readonly (readonly [string, (bench: Bench) => void, readonly string[]])[] = [
  [
    'nothing, when all is well',
    bench => {
      write(bench, 'w1')
      read(bench, bench.judge.required(SERVICE, { kind: 'latest' }, null), 'w1')
    },
    [],
  ],
  [
    'an acknowledged write that nobody ran',
    bench => {
      bench.judge.sent('w1')
      bench.judge.acknowledged(SERVICE, ['w1'], 'commit-w1')
    },
    ['w1 acknowledged, but no server ran it', 'acknowledged write w1 is lost'],
  ],
  [
    'an acknowledged write that is lost',
    bench => {
      write(bench, 'w1')
      bench.group.primary.log.pop()
    },
    ['acknowledged write w1 is lost'],
  ],
  [
    'a write that stands twice',
    bench => {
      write(bench, 'w1')
      bench.group.commit(bench.group.primary, ['w1'])
    },
    ['write w1 stands twice'],
  ],
  [
    'a refused write that is kept',
    bench => {
      bench.judge.sent('w1')
      bench.group.commit(bench.group.primary, ['w1'])
      bench.judge.notKept(SERVICE, ['w1'])
    },
    ['write w1 is kept, though its caller was told that it is not'],
  ],
  [
    'a write that nobody sent',
    bench => {
      bench.group.commit(bench.group.primary, ['w1'])
    },
    ['nobody sent write w1'],
  ],
  [
    "another caller's commit as the answer",
    bench => {
      bench.judge.sent('w1')
      bench.group.commit(bench.group.primary, ['w1'])
      bench.judge.acknowledged(SERVICE, ['w1'], 'commit-w1+w2')
    },
    ['commit-w1+w2 answered the commit of w1'],
  ],
  [
    "another caller's read as the answer",
    bench => {
      read(bench, bench.judge.required(SERVICE, { kind: 'latest' }, null), 'nothing', 'read-s')
    },
    ['read-s answered read r'],
  ],
  [
    'a read that lacks the newest write',
    bench => {
      write(bench, 'w1')
      write(bench, 'w2')
      read(bench, bench.judge.required(SERVICE, { kind: 'latest' }, null), 'w1')
    },
    ['read r saw 1.1, and had to see 1.2'],
  ],
  [
    "a read that lacks its session's own write",
    bench => {
      const own = write(bench, 'w1')
      const required = bench.judge.required(SERVICE, { kind: 'own', age: 60_000 }, own)
      read(bench, required, 'nothing')
    },
    ['read r saw 1.0, and had to see 1.1'],
  ],
  [
    'nothing in a read that may be as old as it is',
    bench => {
      write(bench, 'w1')
      const rule = { kind: 'bounded', age: 60_000 } as const
      read(bench, bench.judge.required(SERVICE, rule, null), 'nothing')
    },
    [],
  ],
  [
    'a statement that a planned stop cut',
    bench => {
      told(bench, { kind: 'closed' })
    },
    ['host-1 stopped as planned and cut w1, owed for 2.0 ms'],
  ],
  [
    'an unknown outcome amid planned work',
    bench => {
      told(bench, { kind: 'unknown', detail: 'r: lost' })
    },
    ['host-1 told w1 "r: lost" amid planned work, owed for 2.0 ms'],
  ],
  [
    'a transaction that planned work rolled back',
    bench => {
      told(bench, { kind: 'notRun', detail: 'r: gone', isRolledBack: true })
    },
    ['host-1 rolled w1 back amid planned work: "r: gone", owed for 2.0 ms'],
  ],
  [
    'nothing in a refusal that may be repeated at once',
    bench => {
      told(bench, { kind: 'notRun', detail: 'this host is stopping', isRolledBack: false })
    },
    [],
  ],
]

describe('the judge of the soak finds', () => {
  for (const [name, happen, findings] of cases) {
    it(name, () => {
      const bench = makeBench()
      happen(bench)
      expect(bench.judge.close()).toEqual(findings)
    })
  }
})
