import { execFile } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, before, describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { expect } from 'earl'
import pg from 'pg'
import { Deployment } from '../src/index.js'
import { LOOPBACK } from '../src/deployment/platform.js'
import { eventually } from './eventually.js'

const PROGRAM = fileURLToPath(new URL('main.js', import.meta.resolve('@nutmegcourse/ctl')))
const APPLY_TIMEOUT_MILLISECONDS = 10_000

interface Run {
  readonly code: number
  readonly output: string
  readonly errorOutput: string
}

const targetsWith = (className: string): string => `service: quai-sched
classes:
  - { name: scheduling_write, access: write, latencyMilliseconds: 2000 }
  - { name: ${className}, access: read, freshnessMilliseconds: 500, latencyMilliseconds: 900, replicaReadShare: 0.5 }
defaults:
  - class: scheduling_write
`

// Runs nutmegcoursectl as operators do: changes targets of a running fleet, checks that every entry
// host applies them, and queries explanations of routing decisions.
describe('nutmegcoursectl against a running fleet', () => {
  const directory = mkdtempSync(join(tmpdir(), 'nutmegcourse-ctl-'))
  const settingsFile = join(directory, 'ctl.yaml')
  let deployment: Deployment

  before(async () => {
    deployment = await Deployment.start({
      shape: 'atlas-quai',
      databases: 1,
      entryHosts: 3,
      network: false,
      fleet: true,
    })
    const { storePort } = deployment.platform
    const { agentPort } = deployment.entryHost(0)
    const endpoint = (port: number): string => `{ address: ${LOOPBACK}, port: ${port} }`
    writeFileSync(settingsFile, `store: ${endpoint(storePort)}\nagent: ${endpoint(agentPort)}\n`)
  })
  after(async () => {
    await deployment.stop()
    rmSync(directory, { recursive: true })
  })

  const run = (args: readonly string[], input = ''): Promise<Run> =>
    new Promise(resolve => {
      const child = execFile(
        process.execPath,
        [PROGRAM, ...args, '--settings', settingsFile],
        (error, output, errorOutput) => {
          const code = typeof error?.code === 'number' ? error.code : 0
          resolve({ code, output, errorOutput })
        },
      )
      child.stdin?.end(input)
    })

  const readWithClass = async (port: number, className: string): Promise<unknown> => {
    const client = new pg.Client({
      host: LOOPBACK,
      port,
      user: 'operator',
      database: deployment.database(0).id,
      options: `-c nutmegcourse.class=${className}`,
    })
    client.on('error', () => undefined)
    try {
      await client.connect()
      return (await client.query('SELECT count(*) FROM entries')).rows.length
    } finally {
      await client.end().catch(() => undefined)
    }
  }

  it('applies a new class at every entry host', async () => {
    const applied = await run(['apply', '-'], targetsWith('berth_lookup'))
    expect(applied.code).toEqual(0)
    for (const host of deployment.plan.entryHosts) {
      await eventually(async () => {
        expect(await readWithClass(host.proxyPort, 'berth_lookup')).toEqual(1)
      }, APPLY_TIMEOUT_MILLISECONDS)
    }
  })

  it('refuses an invalid document and keeps the current targets', async () => {
    const before = (await run(['get', '--json'])).output
    const refused = await run(['apply', '-'], `${targetsWith('x')}weights: {}\n`)
    expect([refused.code, refused.errorOutput.includes('weights can not be set')]).toEqual([
      3,
      true,
    ])
    expect((await run(['get', '--json'])).output).toEqual(before)
  })

  it('exits with status 4 if another change was applied first', async () => {
    const { version } = JSON.parse((await run(['get', '--json'])).output) as { version: number }
    const expecting = (wanted: number): readonly string[] => [
      'apply',
      '-',
      '--expect-version',
      `${wanted}`,
    ]
    expect((await run(expecting(version), targetsWith('crane_lookup'))).code).toEqual(0)
    expect((await run(expecting(version), targetsWith('gang_lookup'))).code).toEqual(4)
  })

  it('shows the fleet and explains a class', async () => {
    const status = await run(['status'])
    expect(status.output.includes('entry hosts: 3 alive of 3 known')).toEqual(true)
    const explained = await run(['explain', 'class', 'scheduling_write'])
    expect(explained.output.includes('writes go to the primary')).toEqual(true)
  })

  it('moves the primary off a drained server and reports the steps', async () => {
    const database = deployment.database(0)
    const former = (await deployment.platform.groupRecord(database.id)).primary ?? ''
    expect((await run(['drain', former])).code).toEqual(0)
    await eventually(async () => {
      const record = await deployment.platform.groupRecord(database.id)
      expect([record.phase.kind, record.primary === former]).toEqual(['stable', false])
    }, APPLY_TIMEOUT_MILLISECONDS)
    const explanation = await run(['explain', 'database', database.id])
    expect(
      ['moveStarted', 'promoted', 'completed'].filter(step => !explanation.output.includes(step)),
    ).toEqual([])
  })
})
