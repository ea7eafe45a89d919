/**
 * Runs failure scenarios against a whole deployment under load and checks the answers to callers.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'earl'
import { POSITION_STATEMENT } from '@nutmegcourse/protocol'
import { SeededRandom, sessionId, SystemClock, type Milliseconds } from '@nutmegcourse/shared'
import {
  askBackendServer,
  countConnections,
  countStatements,
  Deployment,
  LOOPBACK,
  type DeploymentOptions,
} from '../../src/index.js'
import type { PlannedDatabase, PlannedServer } from '../../src/deployment/plan.js'
import { CallerLoad } from '../../src/workload/callerLoad.js'
import { readFinalContents } from '../../src/workload/finalContents.js'
import { checkHistory, type HistoryCheckResult } from '../../src/workload/history.js'
import { SessionCaller } from '../../src/workload/sessionCaller.js'
import { longestWriteGap } from '../../src/workload/writeGap.js'
import { eventually } from '../eventually.js'

const OPTIONS: DeploymentOptions = {
  shape: 'atlas-quai',
  databases: 1,
  entryHosts: 3,
  network: true,
  fleet: true,
}
const LOAD = {
  sessionsPerDatabase: 6,
  thinkMilliseconds: 5,
  seed: 1,
  probeMilliseconds: 25,
  writeClass: 'scheduling_write',
  readClass: 'supervisor_lookup',
}
const WARM_UP_ACKNOWLEDGEMENTS = 50
const RECOVERY_MILLISECONDS = 15_000

export class ScenarioFixture {
  readonly deployment: Deployment
  readonly load: CallerLoad

  constructor(deployment: Deployment, load: CallerLoad) {
    this.deployment = deployment
    this.load = load
  }

  get database(): PlannedDatabase {
    return this.deployment.database(0)
  }

  /** The initial primary. */
  get primary(): PlannedServer {
    return this.server(0)
  }

  server(index: number): PlannedServer {
    const found = this.database.servers[index]
    if (found === undefined) throw new Error(`no server ${index}`)
    return found
  }

  /** Number of reads and writes that a server runs within `span` milliseconds under load. */
  async statementsDuring(server: PlannedServer, span: number): Promise<number> {
    const before = await countStatements(server)
    await delay(span)
    return (await countStatements(server)) - before
  }

  acknowledgedSince(moment: Milliseconds): number {
    return this.load.operations.filter(
      operation =>
        operation.kind !== 'counterRead' &&
        operation.startedAt >= moment &&
        operation.outcome.kind === 'acknowledged',
    ).length
  }

  /** Waits until `count` writes that start from now on have succeeded. */
  async waitForWrites(count = 30): Promise<void> {
    const now = this.load.now()
    await eventually(async () => {
      await Promise.resolve()
      expect(this.acknowledgedSince(now)).toBeGreaterThanOrEqual(count)
    }, RECOVERY_MILLISECONDS)
  }

  /** Waits until the group record in the store has a primary other than `former`. */
  async waitForNewPrimary(former: PlannedServer): Promise<void> {
    await eventually(async () => {
      const record = await this.deployment.platform.groupRecord(this.database.id)
      expect(record.phase.kind).toEqual('stable')
      expect(record.primary === former.id).toEqual(false)
    }, RECOVERY_MILLISECONDS)
  }

  /** Waits until all servers are in the same term while writes continue. */
  async waitForSameTerm(): Promise<void> {
    await eventually(async () => {
      const rows = await this.#positions()
      expect(new Set(rows.map(row => row[1])).size).toEqual(1)
    }, RECOVERY_MILLISECONDS)
  }

  /** Waits until all servers have the same log, including those that had fallen behind. */
  async waitForEqualLogs(): Promise<void> {
    await eventually(async () => {
      const rows = await this.#positions()
      const positions = rows.map(row => `${row[1] ?? ''}/${row[2] ?? ''}`)
      expect(new Set(positions).size).toEqual(1)
    }, RECOVERY_MILLISECONDS)
  }

  async #positions(): Promise<readonly (readonly string[])[]> {
    const asked = this.database.servers.map(server =>
      askBackendServer(server.port, POSITION_STATEMENT),
    )
    return (await Promise.all(asked)).map(rows => rows[0] ?? [])
  }
}

export interface Scenario {
  readonly options?: Partial<DeploymentOptions>
  /** Injects the failures. Resolves once they are over or healed. */
  readonly act: (fixture: ScenarioFixture) => Promise<void>
  /** Checks in addition to those of every scenario. */
  readonly check?: (result: HistoryCheckResult, fixture: ScenarioFixture) => void
  /** Whether all servers must have the same log in the end. Default: true. */
  readonly requiresEqualLogs?: boolean
}

/** Runs a scenario and checks the guarantees that hold for callers whatever fails. */
export async function runScenario(scenario: Scenario): Promise<void> {
  const deployment = await Deployment.start({ ...OPTIONS, ...scenario.options })
  try {
    await waitUntilProxiesServe(deployment)
    const load = CallerLoad.start(deployment, LOAD)
    await runUnderLoad(scenario, new ScenarioFixture(deployment, load)).finally(() => load.stop())
  } finally {
    await deployment.stop()
  }
}

async function runUnderLoad(scenario: Scenario, fixture: ScenarioFixture): Promise<void> {
  const { deployment, load, database } = fixture
  await fixture.waitForWrites(WARM_UP_ACKNOWLEDGEMENTS)
  const start = load.now()
  await scenario.act(fixture)
  await fixture.waitForWrites()
  const operations = await load.stop()
  if (scenario.requiresEqualLogs ?? true) await fixture.waitForEqualLogs()
  const result = checkHistory(operations, await readFinalContents(deployment))
  report(fixture, result, longestWriteGap(operations, database.id, start))
  const { lost, doubled, ranThoughRefused, staleReads } = result
  expect({ lost, doubled, ranThoughRefused, staleReads }).toEqual({
    lost: [],
    doubled: [],
    ranThoughRefused: [],
    staleReads: [],
  })
  for (const server of database.servers) {
    expect((await countConnections(server)).refused).toEqual(0)
  }
  scenario.check?.(result, fixture)
}

/** Proxies listen before they have the targets; refusals until then are not part of a scenario. */
async function waitUntilProxiesServe(deployment: Deployment): Promise<void> {
  for (const { proxyPort } of deployment.plan.entryHosts) {
    const caller = new SessionCaller(
      {
        proxies: [{ address: LOOPBACK, port: proxyPort }],
        database: deployment.database(0).id,
        session: sessionId(`warm-up-${proxyPort}`),
        user: 'caller',
        connectTimeoutMilliseconds: RECOVERY_MILLISECONDS,
      },
      new SystemClock(),
      new SeededRandom(1),
    )
    await eventually(async () => {
      expect((await caller.writeEvent(LOAD.writeClass)).outcome.kind).toEqual('acknowledged')
    })
    await caller.close()
  }
}

/** These figures are printed, not asserted, because they depend on the machine. */
function report(fixture: ScenarioFixture, result: HistoryCheckResult, writeGap: number): void {
  const { acknowledged, unknown, refusals } = result
  const figures = {
    acknowledged,
    unknown,
    refusals: Object.fromEntries(refusals),
    longestWriteSilenceMilliseconds: Math.round(writeGap),
  }
  process.stdout.write(`${fixture.database.id}: ${JSON.stringify(figures)}\n`)
}

export const wait = (span: number): Promise<void> => delay(span)
