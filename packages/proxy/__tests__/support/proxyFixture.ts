/** A proxy shell with one fake backend server, connected by real sockets. */
import type { Server } from 'node:net'
import { Metrics } from '@nutmegcourse/observability'
import type { RoutingSnapshot } from '@nutmegcourse/protocol'
import {
  SeededRandom,
  SystemClock,
  availabilityZoneId,
  backendServerId,
  className,
  databaseId,
  entryHostId,
  logPosition,
  regionId,
  term,
  type RequestId,
} from '@nutmegcourse/shared'
import { listen } from '@nutmegcourse/transport'
import pg from 'pg'
import { ProxyShell } from '../../src/index.js'
import { FakeBackend } from './fakeBackend.js'
import { SimpleCore, type SimpleCoreOptions } from './simpleCore.js'

export const DATABASE = 'harbour'
export const READ_CLASS = 'lookup'
export const WRITE_CLASS = 'score_entry'
export const CALLER_LIMIT = 60

const SERVER = backendServerId('harbour-1')

export class ProxyFixture {
  readonly backend: FakeBackend
  readonly core: SimpleCore
  readonly coreOptions: SimpleCoreOptions
  readonly shell: ProxyShell
  readonly metrics = new Metrics(undefined)
  readonly #clients: pg.Client[] = []
  #server: Server | null = null
  #port = 0

  private constructor(backend: FakeBackend, connections: number) {
    this.backend = backend
    this.coreOptions = {
      server: SERVER,
      connections,
      isWrite: name => name === WRITE_CLASS,
      acknowledgesImmediately: true,
    }
    this.core = new SimpleCore(this.coreOptions)
    this.shell = new ProxyShell({
      settings: proxySettings(),
      core: this.core,
      clock: new SystemClock(),
      random: new SeededRandom(1),
      metrics: this.metrics,
      log: { traces: false, trace: () => undefined, event: () => undefined, warn: () => undefined },
      report: () => undefined,
    })
  }

  static async start(connections = 2): Promise<ProxyFixture> {
    const backend = await FakeBackend.start()
    const fixture = new ProxyFixture(backend, connections)
    fixture.shell.updateSnapshot(routingSnapshot(backend.port))
    const { server, port } = await listen('127.0.0.1', 0, socket => {
      fixture.shell.accept(socket)
    })
    fixture.#server = server
    fixture.#port = port
    return fixture
  }

  get port(): number {
    return this.#port
  }

  async connect(name = READ_CLASS, more: pg.ClientConfig = {}): Promise<pg.Client> {
    const client = new pg.Client({
      host: '127.0.0.1',
      port: this.#port,
      user: 'foreman',
      database: DATABASE,
      options: `-c nutmegcourse.class=${name}`,
      ...more,
    })
    client.on('error', () => undefined)
    await client.connect()
    this.#clients.push(client)
    return client
  }

  async close(): Promise<void> {
    this.#server?.close()
    await Promise.all(this.#clients.map(client => client.end().catch(() => undefined)))
    this.shell.destroyCallers()
    this.shell.close()
    this.backend.close()
    this.metrics.close()
  }

  /** The last request that the core received. */
  lastRequest(): RequestId | undefined {
    const arrived = this.core.messages.filter(message => message.kind === 'requestArrived')
    return arrived.at(-1)?.request
  }
}

/** Runs a test against a fixture of its own. */
export async function withProxy(
  connections: number,
  test: (fixture: ProxyFixture) => Promise<void>,
): Promise<void> {
  const fixture = await ProxyFixture.start(connections)
  try {
    await test(fixture)
  } finally {
    await fixture.close()
  }
}

const proxySettings = (): ConstructorParameters<typeof ProxyShell>[0]['settings'] => ({
  entryHost: entryHostId('entry-1'),
  zone: availabilityZoneId('tanger-nord'),
  region: regionId('tanger'),
  logLevel: 'error',
  listen: { address: '127.0.0.1', port: 0 },
  agent: { address: '127.0.0.1', port: 1 },
  backendUser: 'nutmegcourse',
  callerLimit: CALLER_LIMIT,
  connectTimeoutMilliseconds: 2000,
  questionTimeoutMilliseconds: 2000,
  drainTimeoutMilliseconds: 5000,
  messageLimitBytes: 1024 * 1024,
})

/** A snapshot with one group of backend servers at these ports; the first is the primary. */
export function routingSnapshot(...ports: readonly number[]): RoutingSnapshot {
  const database = databaseId(DATABASE)
  const classTargets = (name: string, access: 'read' | 'write') => ({
    name: className(name),
    access,
    idempotent: access === 'read',
    freshnessMilliseconds: 0,
    latencyMilliseconds: 1000,
    replicaReadShare: 0,
  })
  return {
    sequence: 1,
    entryHost: entryHostId('entry-1'),
    targets: {
      version: 1,
      changeId: 'first',
      changedBy: 'test',
      recentChangeIds: [],
      targets: {
        service: 'test',
        classes: [classTargets(READ_CLASS, 'read'), classTargets(WRITE_CLASS, 'write')],
        defaults: [{ user: 'judge', class: className(WRITE_CLASS) }],
      },
    },
    targetsConfirmed: true,
    groups: [
      {
        record: {
          database,
          term: term(1),
          primary: SERVER,
          phase: { kind: 'stable' },
          coordinator: null,
          attempt: null,
          termStarts: [{ term: term(1), primary: SERVER, startsAfter: logPosition(0, 0) }],
        },
        backendServers: ports.map((port, index) => ({
          kind: 'backendServer',
          id: backendServerId(`harbour-${index + 1}`),
          database,
          address: '127.0.0.1',
          port,
          zone: availabilityZoneId('tanger-nord'),
          region: regionId('tanger'),
          state: 'live',
          slots: 3,
          connectionLimit: 25,
        })),
      },
    ],
    entryHostCount: 1,
  }
}
