/**
 * `npm run bench -- fleet`: measures the cost of the control plane on one host, for fleets up to
 * the planned size. Runs one production agent among fakes that send what a fleet of that size would
 * send, and validates the fakes against a small fleet of real agents. Prints tables; the last line
 * is one JSON object.
 */
import { idleProcessorShare } from './fleet/idleProcess.js'
import { fitLine, fitPair, type LinearFit, type PairFit } from './fleet/linearFit.js'
import { measureAgent, type Measurement } from './fleet/measureAgent.js'
import { measureRealFleet, watchedDatabasesPerHost } from './fleet/realFleet.js'
import type { FleetSize } from './fleet/fleetShape.js'

const FEW_DATABASES = 20
const MANY_HOSTS = 1500
const LARGE_FLEET_HOSTS = 14
const HOST_SIZES = [6, 100, 300, 750, MANY_HOSTS]
const DATABASE_SIZES = [FEW_DATABASES, 100, 400, 1000, 1900]
const PLANNED: FleetSize = { hosts: MANY_HOSTS, databases: 1900 }
const REAL: FleetSize = { hosts: 30, databases: 10 }
/** Concurrent measurements, each with its own fakes. */
const CONCURRENT_MEASUREMENTS = 3
/** Maximum relative difference between the traffic of fakes and of real agents. */
const MAX_RELATIVE_DIFFERENCE = 0.25
const SECONDS_PER_DAY = 86_400
/**
 * Events per day at the planned size: configuration changes, failed or replaced hosts, group
 * records.
 */
const EVENTS_PER_DAY = {
  configurationChange: 2000,
  /**
   * 306 hosts fail or are replaced per day: one message when a host leaves, one when it is back.
   */
  memberChange: 612,
  /** At most 2 changes of primary per day in each of 1,900 databases, with three records each. */
  groupChange: 11_400,
} as const

type EventKind = keyof typeof EVENTS_PER_DAY

async function measureAll(sizes: readonly FleetSize[]): Promise<readonly Measurement[]> {
  const results = new Map<FleetSize, Measurement>()
  const waiting = [...sizes]
  const work = async (): Promise<void> => {
    for (let size = waiting.shift(); size !== undefined; size = waiting.shift()) {
      results.set(size, await measureAgent(size, { hostListKnowsVersions: true }))
    }
  }
  await Promise.all(Array.from({ length: CONCURRENT_MEASUREMENTS }, work))
  return sizes.flatMap(size => results.get(size) ?? [])
}

function printTable(measurements: readonly Measurement[]): void {
  const columns =
    'hosts databases watched links peerB/s watchB/s storeB/s messages/s core% MB calls/s'
  console.log(columns.split(' ').join('\t'))
  for (const row of measurements) {
    const { quiet } = row
    const cells = [
      row.hosts,
      row.databases,
      row.watchedDatabases,
      row.links,
      Math.round(quiet.peerBytes),
      Math.round(quiet.watchBytes),
      Math.round(quiet.storeBytes),
      quiet.messages.toFixed(1),
      (quiet.processorShare * 100).toFixed(2),
      row.residentMegabytes.toFixed(0),
      quiet.storeCalls.toFixed(2),
    ]
    console.log(cells.join('\t'))
  }
}

/** Mean additional load due to events over a day, at the planned size. */
function eventLoad(row: Measurement): { bytes: number; processorShare: number } {
  const kinds = Object.keys(EVENTS_PER_DAY) as EventKind[]
  const perSecond = (kind: EventKind): number => EVENTS_PER_DAY[kind] / SECONDS_PER_DAY
  return {
    bytes: kinds.reduce((sum, kind) => sum + row.events[kind].bytes * perSecond(kind), 0),
    processorShare: kinds.reduce(
      (sum, kind) => sum + (row.events[kind].processorMilliseconds / 1000) * perSecond(kind),
      0,
    ),
  }
}

function fitAll(rows: readonly Measurement[]): Readonly<Record<string, LinearFit>> {
  const byHosts = rows.filter(row => row.databases === FEW_DATABASES)
  const byDatabases = rows.filter(row => row.hosts === MANY_HOSTS)
  const fit = (
    over: readonly Measurement[],
    x: (row: Measurement) => number,
    y: (row: Measurement) => number,
  ): LinearFit => fitLine(over.map(row => ({ x: x(row), y: y(row) })))
  return {
    watchBytesByDatabase: fit(
      rows,
      row => row.watchedDatabases,
      row => row.quiet.watchBytes,
    ),
    megabytesByHost: fit(
      byHosts,
      row => row.hosts,
      row => row.residentMegabytes,
    ),
    megabytesByDatabase: fit(
      byDatabases,
      row => row.databases,
      row => row.residentMegabytes,
    ),
    processorByHost: fit(
      byHosts,
      row => row.hosts,
      row => row.quiet.processorShare,
    ),
    processorByMessage: fit(
      rows,
      row => row.quiet.messages,
      row => row.quiet.processorShare,
    ),
    configurationBytesByLink: fit(
      rows,
      row => row.links,
      row => row.events.configurationChange.bytes,
    ),
    groupChangeMillisecondsByDatabase: fit(
      byDatabases,
      row => row.databases,
      row => row.events.groupChange.processorMilliseconds,
    ),
  }
}

/**
 * Heartbeats scale with links, opinions with watched databases. Only large fleets are fitted,
 * because small ones send heartbeats twice as often.
 */
function fitPeerBytes(rows: readonly Measurement[]): PairFit {
  const large = rows.filter(row => row.hosts >= LARGE_FLEET_HOSTS)
  return fitPair(
    large.map(row => ({
      first: row.links,
      second: row.watchedDatabases,
      y: row.quiet.peerBytes,
    })),
  )
}

async function main(): Promise<void> {
  const bySize = HOST_SIZES.map(hosts => ({ hosts, databases: FEW_DATABASES }))
  const byDatabases = DATABASE_SIZES.slice(1).map(databases => ({ hosts: MANY_HOSTS, databases }))
  const rows = await measureAll([...bySize, ...byDatabases, REAL])
  printTable(rows)
  const idle = await idleProcessorShare()
  console.log(
    `an idle process with 10 timer wake-ups per second: ${(idle * 100).toFixed(2)}% of a core`,
  )
  const real = await measureRealFleet(REAL)
  const fake = rows.find(row => row.hosts === REAL.hosts)
  const planned = rows.find(
    row => row.hosts === PLANNED.hosts && row.databases === PLANNED.databases,
  )
  if (fake === undefined || planned === undefined)
    throw new Error('a required fleet size was not measured')
  const difference = fake.quiet.peerBytes / real.firstPeerBytes - 1
  console.log(
    `${REAL.hosts} real agents: peer traffic ${Math.round(real.firstPeerBytes)} B/s at the first host, ` +
      `fakes ${Math.round(fake.quiet.peerBytes)} B/s: difference ${(difference * 100).toFixed(0)}%, ` +
      `${Math.abs(difference) <= MAX_RELATIVE_DIFFERENCE ? 'within' : 'OUTSIDE'} ${MAX_RELATIVE_DIFFERENCE * 100}%`,
  )
  const { median, worst } = real.changeMilliseconds
  console.log(
    `time until a change of targets reached all of them: median ${median} ms, worst ${worst} ms`,
  )
  const watched = watchedDatabasesPerHost(PLANNED)
  const result = {
    rows,
    fits: fitAll(rows),
    peerBytesByLinkAndWatchedDatabase: fitPeerBytes(rows),
    real,
    fakesDifferFromReal: difference,
    idleProcessorShare: idle,
    planned: {
      quiet: planned.quiet,
      events: eventLoad(planned),
      residentMegabytes: planned.residentMegabytes,
      watchedDatabases: {
        measured: planned.watchedDatabases,
        mean: watched.reduce((sum, count) => sum + count, 0) / watched.length,
        most: Math.max(...watched),
      },
    },
  }
  console.log(JSON.stringify(result))
  process.exit(0)
}

await main()
