import { setTimeout as delay } from 'node:timers/promises'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { err, type Result } from 'neverthrow'
import type {
  DirectoryEvents,
  DirectoryPage,
  LongAnswerLimit,
  StoreFailure,
} from '@nutmegcourse/protocol'
import {
  StoreConnection,
  freePorts,
  type MemoryStore,
  type StoreBehaviour,
} from '@nutmegcourse/stand-ins'
import {
  A,
  CONFIGURATION,
  withHostFixture,
  type FixtureHost,
  type HostFixture,
} from './support/hostFixture.js'
import { Caller } from './support/caller.js'

/** The time within which a configuration must be in force. */
const BOUND_MILLISECONDS = 4000
const ZONES = ['zone-1', 'zone-2', 'zone-3']
const REGION_OF_ZONE = { 'zone-1': 'region-1', 'zone-2': 'region-1', 'zone-3': 'region-2' }

type StoreResult<Value> = Promise<Result<Value, StoreFailure>>

/** A store that gives each answer late. */
class LateStore extends StoreConnection {
  readonly #lateMilliseconds: number

  constructor(store: MemoryStore, lateMilliseconds: number) {
    super(store)
    this.#lateMilliseconds = lateMilliseconds
  }

  override list(
    after: string | null,
    limit: LongAnswerLimit,
    prefix?: string,
  ): StoreResult<DirectoryPage> {
    return this.#late(limit, super.list(after, limit, prefix))
  }

  override watch(
    revision: number,
    wait: number,
    limit: LongAnswerLimit,
  ): StoreResult<DirectoryEvents> {
    return this.#late(limit, super.watch(revision, wait, limit))
  }

  override grantLease(lifetime: number, limit: number): StoreResult<number> {
    return this.#late({ begin: limit, pause: limit }, super.grantLease(lifetime, limit))
  }

  async #late<Value>(limit: LongAnswerLimit, answer: StoreResult<Value>): StoreResult<Value> {
    const askedAt = performance.now()
    const result = await answer
    const until = performance.now() + this.#lateMilliseconds
    const isGivenUp = until - askedAt > limit.begin
    await delay(isGivenUp ? askedAt + limit.begin - performance.now() : this.#lateMilliseconds)
    return isGivenUp ? err({ kind: 'noAnswer', detail: 'late' }) : result
  }
}

async function withHosts(
  run: (fixture: HostFixture, hosts: readonly FixtureHost[]) => Promise<void>,
): Promise<void> {
  const options = {
    relayPorts: await freePorts(ZONES.length),
    zones: ZONES,
    regionOfZone: REGION_OF_ZONE,
  }
  await withHostFixture(ZONES.length, run, options)
}

/** Stores a version with one more route; returns the milliseconds until every host serves it. */
async function millisecondsUntilServed(
  fixture: HostFixture,
  hosts: readonly FixtureHost[],
  version: number,
): Promise<number> {
  const database = `added-${version}`
  const [first] = CONFIGURATION.routes
  const added = first === undefined ? [] : [{ ...first, name: database, database }]
  const startedAt = performance.now()
  fixture.configure({ version, routes: [...CONFIGURATION.routes, ...added] })
  await fixture.until(
    () => hosts.every(({ host }) => host.find(database) !== null),
    `version ${version} is in force`,
    2 * BOUND_MILLISECONDS,
  )
  return performance.now() - startedAt
}

describe('a configuration is in force within its bound at a host that the store', () => {
  const BEHAVIOURS: Readonly<Record<string, StoreBehaviour>> = {
    refuses: 'refusing',
    'does not answer': 'silent',
  }
  // Guards against a host that goes on with older routes, and refuses new ones as unknown, because the store serves all
  // others but not this one.
  for (const [name, behaviour] of Object.entries(BEHAVIOURS)) {
    it(name, async () => {
      await withHosts(async (fixture, hosts) => {
        const [turnedAway] = hosts
        if (turnedAway === undefined) return
        turnedAway.store.behaviour = behaviour
        for (const version of [2, 3]) {
          const span = await millisecondsUntilServed(fixture, hosts, version)
          expect(span < BOUND_MILLISECONDS).toEqual(true)
        }
        expect(turnedAway.host.knowledge.isConfirmed).toEqual(true)
      })
    })
  }

  // Guards against a host that learns of a leaving server, or of any other change, only from the store.
  it('refuses, and so is the entry of a server', async () => {
    await withHosts(async (fixture, hosts) => {
      const [turnedAway] = hosts
      if (turnedAway === undefined) return
      turnedAway.store.behaviour = 'refusing'
      fixture.listServer(A, { isLeaving: true })
      const isLeaving = ({ lines }: FixtureHost): boolean =>
        lines.some(({ event, fields }) => event === 'server_changed' && fields.isLeaving === true)
      await fixture.until(() => isLeaving(turnedAway), 'it knows that a server leaves')
    })
  })

  it('turned away for a while, and serves again', async () => {
    await withHosts(async (fixture, hosts) => {
      const [turnedAway] = hosts
      if (turnedAway === undefined) return
      turnedAway.store.behaviour = 'refusing'
      await millisecondsUntilServed(fixture, hosts, 2)
      turnedAway.store.behaviour = 'well'
      await fixture.until(
        () => turnedAway.host.knowledge.sourceName === 'store',
        'it follows the store itself',
      )
      expect((await millisecondsUntilServed(fixture, hosts, 3)) < BOUND_MILLISECONDS).toEqual(true)
    })
  })
})

// Guards against hosts that discard each answer of a store that is slower than their limit, and never follow it again.
describe('a configuration is in force at a host whose store answers late', () => {
  const DELAYS_MILLISECONDS = [400, 900, 2000]
  for (const late of DELAYS_MILLISECONDS) {
    it(`by ${late} ms`, async () => {
      await withHostFixture(0, async fixture => {
        const host = fixture.add('host-1', 1000, new LateStore(fixture.store, late))
        await fixture.until(() => host.host.isReady, 'the host is ready', 3 * BOUND_MILLISECONDS)
        await fixture.until(
          () => fixture.store.record('host/host-1') !== null,
          'the other hosts know it',
          3 * BOUND_MILLISECONDS,
        )
        for (const version of [2, 3]) {
          const span = await millisecondsUntilServed(fixture, [host], version)
          expect(span < BOUND_MILLISECONDS).toEqual(true)
        }
      })
    })
  }
})

describe('a host that reaches neither the store nor another host', () => {
  // Guards against "no such database" for one that was added while the host could not know.
  it('serves what it has, and says that it cannot tell about other databases', async () => {
    await withHostFixture(1, async (fixture, [only]) => {
      if (only === undefined) return
      expect(await new Caller(only.host).connect('added')).toEqual('unknownDatabase')
      only.store.behaviour = 'refusing'
      await fixture.until(
        () => !only.host.knowledge.isConfirmed,
        'its configuration is unconfirmed',
        2 * BOUND_MILLISECONDS,
      )
      expect(await new Caller(only.host).connect('added')).toEqual('notRun')
      expect(await new Caller(only.host).connect('own')).toEqual('welcome')
      const refusal = only.lines.findLast(({ event }) => event === 'session_refused')
      expect(refusal?.fields.version).toEqual(CONFIGURATION.version)
      expect(Number(refusal?.fields.knownMilliseconds) >= BOUND_MILLISECONDS).toEqual(true)
      only.store.behaviour = 'well'
      await fixture.until(
        () => only.lines.some(({ event }) => event === 'configuration_confirmed'),
        'it is confirmed again',
      )
      expect(await new Caller(only.host).connect('added')).toEqual('unknownDatabase')
    })
  })
})
