import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { TestGroup, eventually } from './testGroup.js'

const report = (role: string, term: number, offset: number, fenced: number): string[] => [
  role,
  String(term),
  String(offset),
  String(fenced),
]

describe('backend server: terms', () => {
  const group = new TestGroup()
  afterEach(() => group.stop())

  it('starts its first term with a record', async () => {
    await group.start()
    expect(await group.position(0)).toEqual(report('primary', 1, 1, 1))
  })

  it('replicates to followers at the same log positions', async () => {
    await group.start()
    await group.query(0, "INSERT INTO entries (key, value) VALUES ('a', '1')")
    await eventually(async () => {
      expect(await group.position(1)).toEqual(report('replica', 1, 2, 1))
    })
    expect(await group.query(1, "SELECT value FROM entries WHERE key = 'a'")).toEqual([['1']])
  })

  const refusals = [
    { name: 'a fence below its own', statement: 'platform_fence(2)', code: 'NM001' },
    { name: 'promotion below its fence', statement: 'platform_promote(2)', code: 'NM001' },
    { name: 'promotion above its fence', statement: 'platform_promote(4)', code: 'NM001' },
    {
      name: 'following a term below its fence',
      statement: "platform_follow(2, '127.0.0.1', 1)",
      code: 'NM001',
    },
  ]
  for (const { name, statement, code } of refusals) {
    it(`refuses ${name}`, async () => {
      await group.start()
      await group.control(1, 'platform_fence(3)')
      expect(
        await group.errorCode(1, `SELECT role, term, log_offset, fenced_term FROM ${statement}`),
      ).toEqual(code)
    })
  }

  it('promotes only once when promotion is requested repeatedly', async () => {
    await group.start()
    await group.control(1, 'platform_fence(2)')
    expect(await group.control(1, 'platform_promote(2)')).toEqual(report('primary', 2, 2, 2))
    expect(await group.control(1, 'platform_promote(2)')).toEqual(report('primary', 2, 2, 2))
  })

  /**
   * Guards against acknowledging a write at a primary that is being replaced. The fence arrives while
   * the statement runs, so the connection must close and nothing may be logged.
   */
  it('does not acknowledge a write that is running when the fence arrives', async () => {
    await group.start({ serviceMilliseconds: 100 })
    const client = await group.connect(0)
    const closed = new Promise<string>(resolve =>
      client.once('end', () => {
        resolve('closed')
      }),
    )
    const write = client.query("INSERT INTO entries (key, value) VALUES ('late', '1')").then(
      () => 'acknowledged',
      () => 'broken',
    )
    await group.control(0, 'platform_fence(2)')
    expect(await write).toEqual('broken')
    expect(await closed).toEqual('closed')
    expect(await group.position(0)).toEqual(report('replica', 1, 1, 2))
    await new Promise(resolve => setTimeout(resolve, 150))
    expect(await group.position(0)).toEqual(report('replica', 1, 1, 2))
    expect(await group.errorCode(0, "INSERT INTO entries (key, value) VALUES ('x', '1')")).toEqual(
      '25006',
    )
  })

  /**
   * The old primary accepts a write after its successor has been fenced, and the successor is promoted
   * and accepts its own. When the old primary follows the new one, it must discard exactly the records
   * that the new one lacks.
   */
  it('discards the records that the followed primary lacks', async () => {
    await group.start()
    await group.query(0, "INSERT INTO entries (key, value) VALUES ('both', '1')")
    await eventually(async () => {
      expect((await group.position(1))[2]).toEqual('2')
    })
    await group.control(1, 'platform_fence(2)')
    await group.query(0, "INSERT INTO entries (key, value) VALUES ('old only', '1')")
    await group.control(1, 'platform_promote(2)')
    await group.query(1, "INSERT INTO entries (key, value) VALUES ('new only', '1')")
    const caller = await group.connect(0)
    const closed = new Promise(resolve => caller.once('end', resolve))
    await group.follow(0, 2, 1)
    await closed
    await eventually(async () => {
      expect(await group.position(0)).toEqual(report('replica', 2, 4, 2))
    })
    expect(await group.query(0, 'SELECT key, value FROM entries')).toEqual([
      ['both', '1'],
      ['new only', '1'],
    ])
  })

  it('neither streams to a follower of a newer term nor accepts records of an older one', async () => {
    await group.start()
    await group.control(1, 'platform_fence(2)')
    await group.query(0, "INSERT INTO entries (key, value) VALUES ('a', '1')")
    await eventually(async () => {
      expect((await group.position(2))[2]).toEqual('2')
    })
    expect(await group.position(1)).toEqual(report('replica', 1, 1, 2))
  })
})

describe('backend server: lag and restarts', () => {
  const group = new TestGroup()
  afterEach(() => group.stop())

  it('stops applying records while replication is paused and then catches up', async () => {
    await group.start()
    await group.query(1, 'SELECT platform_pause_replication(true)')
    await group.query(0, "INSERT INTO entries (key, value) VALUES ('a', '1')")
    await eventually(async () => {
      expect((await group.position(2))[2]).toEqual('2')
    })
    expect((await group.position(1))[2]).toEqual('1')
    await group.query(1, 'SELECT platform_pause_replication(false)')
    await eventually(async () => {
      expect((await group.position(1))[2]).toEqual('2')
    })
  })

  it('restarts with its log and fence as a replica without a source', async () => {
    await group.start()
    await group.query(0, "INSERT INTO entries (key, value) VALUES ('a', '1')")
    await group.control(0, 'platform_fence(1)')
    await group.restart(0)
    expect(await group.position(0)).toEqual(report('replica', 1, 2, 1))
    expect(await group.query(0, 'SELECT key, value FROM entries')).toEqual([['a', '1']])
    await group.control(0, 'platform_fence(5)')
    await group.restart(0)
    expect(
      await group.errorCode(0, 'SELECT role, term, log_offset, fenced_term FROM platform_fence(4)'),
    ).toEqual('NM001')
  })

  it('resumes replication when the primary restarts on the same port', async () => {
    await group.start()
    await group.restart(0)
    await group.control(0, 'platform_promote(1)')
    await group.query(0, "INSERT INTO entries (key, value) VALUES ('a', '1')")
    await eventually(async () => {
      expect(await group.query(1, 'SELECT key, value FROM entries')).toEqual([['a', '1']])
    })
  })
})
