import { describe, it } from 'node:test'
import { expect } from 'earl'
import {
  VirtualClock,
  availabilityZoneId,
  backendServerId,
  logPosition,
  milliseconds,
  regionId,
  type BackendServerId,
  type LogPosition,
} from '@nutmegcourse/shared'
import type { BackendServerEntry } from '@nutmegcourse/protocol'
import { ServerDirectory } from '@nutmegcourse/state'
import type { HostContext } from '../src/hostContext.js'
import { OwnStall } from '../src/ownStall.js'
import { ServerAccess } from '../src/serverAccess.js'
import { ServiceState } from '../src/serviceState.js'
import type { StatementRequest } from '../src/statements.js'

// Guards against reads that are sent again and again to replicas that trail by seconds, until their time is over.

const PRIMARY = backendServerId('i-p')
const REPLICAS = [backendServerId('i-a'), backendServerId('i-b')]
const USUAL_LAG_MILLISECONDS = 20
const LONG_LAG_MILLISECONDS = 9000
const LAGGING_SINCE_MILLISECONDS = 2000
const END_MILLISECONDS = 8000
const READ_INTERVAL_MILLISECONDS = 10
const MAXIMUM_AGE_MILLISECONDS = 1500
const PROBE_INTERVAL_MILLISECONDS = 400

/** The log grows by 50 records a second. */
const logAt = (time: number): LogPosition => logPosition(1, 1000 + Math.floor(time / 20))

function replicaLogAt(now: number): LogPosition {
  if (now < LAGGING_SINCE_MILLISECONDS) return logAt(now - USUAL_LAG_MILLISECONDS)
  const last = LAGGING_SINCE_MILLISECONDS - USUAL_LAG_MILLISECONDS
  return logAt(Math.max(last, now - LONG_LAG_MILLISECONDS))
}

class Reads {
  readonly probes = new Map<BackendServerId, number[]>()
  served = 0
  servedByReplicas = 0
  /** A pause is randomized, nothing else is. */
  pauses = 0
  readonly #clock = new VirtualClock()
  readonly #service: ServiceState
  readonly #access: ServerAccess

  constructor() {
    const zone = availabilityZoneId('zone-1')
    const region = regionId('region-1')
    const context = {
      settings: { zone, region, regions: new Map([[zone, region]]), schedulesSlots: true },
      clock: this.#clock,
      random: {
        next: () => {
          this.pauses += 1
          return 0.5
        },
      },
      log: { write: () => undefined },
      ownStall: new OwnStall(this.#clock),
    } as unknown as HostContext
    const directory = new ServerDirectory(10_000)
    const configuration = { name: 'db-1', connectionLimit: 25, synchronousReplicas: 1 }
    this.#service = new ServiceState(context, directory, configuration)
    this.#access = new ServerAccess(context)
    for (const server of [PRIMARY, ...REPLICAS]) {
      const entry: BackendServerEntry = {
        server,
        service: 'db-1',
        host: '127.0.0.1',
        port: 1,
        zone,
        slots: 3,
        isLeaving: false,
        role: server === PRIMARY ? 'primary' : 'replica',
        startedAtUnixMilliseconds: 1,
      }
      directory.upsert(entry, this.#clock.now())
      this.#service.addServer(entry, this.#clock.now())
    }
  }

  /** `isPrimaryFull`: each read begins with the attempt to find another server than the primary. */
  async run(isPrimaryFull: boolean): Promise<this> {
    for (let now = 0; now < END_MILLISECONDS; now += READ_INTERVAL_MILLISECONDS) {
      this.#service.recordPrimary(PRIMARY, this.#clock.now(), logAt(now))
      await this.#read(isPrimaryFull)
      this.#clock.advance(READ_INTERVAL_MILLISECONDS)
    }
    return this
  }

  async #read(isPrimaryFull: boolean): Promise<void> {
    const now = this.#clock.now()
    const request = {
      service: this.#service,
      route: {
        guarantee: { kind: 'bounded', maximumAgeMilliseconds: MAXIMUM_AGE_MILLISECONDS },
      },
      customer: null,
      session: { ownPosition: null },
      deadline: milliseconds(now + 1000),
      timing: { newsMilliseconds: 0 },
    } as unknown as StatementRequest
    const excluded = new Set<BackendServerId>()
    const primary = this.#service.primary
    if (isPrimaryFull && primary !== null) {
      this.#access.excludeIfReplaceable(request, primary, excluded)
    }
    for (let tries = 0; tries <= REPLICAS.length; tries += 1) {
      const server = await this.#access.awaitReader(request, excluded)
      const need = this.#service.need(request.route.guarantee, null, now)
      if (server === null || need.kind !== 'position') return
      const { server: id } = server.entry
      const position = id === PRIMARY ? logAt(now) : replicaLogAt(now)
      const isBehind = position.offset < need.position.offset
      this.#access.recordLogProgress(server, need.position, {
        kind: 'mishap',
        mishap: { kind: 'refused', refusal: isBehind ? 'behind' : 'busy' },
        status: 'idle',
        position,
      })
      if (!isBehind) {
        this.served += 1
        if (id !== PRIMARY) this.servedByReplicas += 1
        return
      }
      this.probes.set(id, [...(this.probes.get(id) ?? []), now])
      await this.#access.exclude(request, server, excluded)
    }
  }
}

describe('replicas trail by seconds, the primary serves', () => {
  for (const isPrimaryFull of [false, true]) {
    const name = isPrimaryFull ? 'reads that look for another server' : 'reads'

    it(`all ${name} are served, without a pause`, async () => {
      const reads = await new Reads().run(isPrimaryFull)
      expect(reads.servedByReplicas).toBeGreaterThan(0)
      expect(reads.served).toEqual(END_MILLISECONDS / READ_INTERVAL_MILLISECONDS)
      expect(reads.pauses).toEqual(0)
    })

    it(`one of all ${name} probes a replica in 400 ms`, async () => {
      const { probes } = await new Reads().run(isPrimaryFull)
      for (const refused of probes.values()) {
        // The first read finds the replica behind; the others are probes.
        const times = refused.filter(time => time >= LAGGING_SINCE_MILLISECONDS).slice(1)
        const intervals = times.slice(1).map((time, index) => time - (times[index] ?? 0))
        expect(intervals.length).toBeGreaterThan(0)
        expect(Math.min(...intervals)).toBeGreaterThanOrEqual(PROBE_INTERVAL_MILLISECONDS)
      }
    })
  }
})
