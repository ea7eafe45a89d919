import { describe, it } from 'node:test'
import { expect } from 'earl'
import { CommandPipeline, type BackendReply } from '@nutmegcourse/protocol'
import {
  SystemClock,
  backendServerId,
  logPosition,
  milliseconds,
  type LogPosition,
} from '@nutmegcourse/shared'
import type { HostContext } from '../src/hostContext.js'
import { PrimaryProbe } from '../src/primaryProbe.js'
import type { ServiceState } from '../src/serviceState.js'

const CLOCK = new SystemClock()
const ROUND_MILLISECONDS = 30
const CONTEXT = { clock: CLOCK } as unknown as HostContext

const done = (status: BackendReply['status'], offset: number): BackendReply => ({
  rows: [],
  outcome: { kind: 'done', signature: null },
  status,
  position: logPosition(1, offset),
})

/**
 * Positions that the service records from two probes of a server whose log grows by one record between them.
 * `repeated`: answers to the first probe that come again ahead of those to the second one.
 */
async function recorded(repeated: number): Promise<number[]> {
  const positions: LogPosition[] = []
  const answers: BackendReply[] = []
  let offset = 1
  const pipeline: CommandPipeline = new CommandPipeline(CLOCK, ({ kind }) => {
    answers.push(done(kind === 'begin' ? 'open' : 'idle', offset))
    setImmediate(() => {
      const next = answers.shift()
      if (next === undefined || pipeline.receive(next) === null) return
      pipeline.fail({ kind: 'connectionLost' })
    })
  })
  const pool = {
    refusals: 0,
    acquireFirst: () => Promise.resolve({ link: { link: pipeline } }),
    release: () => undefined,
    discard: () => undefined,
  }
  const server = {
    pool,
    entry: { server: backendServerId('i-p') },
    silentMilliseconds: () => 0,
    probeSent: () => undefined,
    probeAnswered: () => undefined,
  }
  const service = {
    primary: server,
    servers: [server],
    bounds: { newestAsOf: milliseconds(Number.NEGATIVE_INFINITY) },
    recordPrimary: (_id: unknown, _at: unknown, position: LogPosition) => positions.push(position),
  }
  const probe = new PrimaryProbe(CONTEXT, service as unknown as ServiceState)
  for (let round = 0; round < 2; round += 1) {
    probe.tick(CLOCK.now())
    await new Promise(resolve => setTimeout(resolve, ROUND_MILLISECONDS))
    if (round === 0) answers.push(...[done('open', 1), done('idle', 1)].slice(0, repeated))
    offset += 1
  }
  return positions.map(position => position.offset)
}

describe('the probe of a primary', () => {
  const cases = [
    { name: 'records the position of each probe', repeated: 0, positions: [1, 2] },
    // Guards against a log position of an earlier time that counts as the present one: reads then miss later writes.
    { name: 'records none from earlier answers that come again', repeated: 2, positions: [1] },
  ]
  for (const { name, repeated, positions } of cases) {
    it(name, async () => {
      expect(await recorded(repeated)).toEqual(positions)
    })
  }
})
