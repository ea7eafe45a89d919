/**
 * Runs production FailoverCore instances against servers that follow the group specification.
 * Messages are delivered in any order and lost as the schedule decides; every command and every
 * state is checked against the specification.
 */
import {
  SeededRandom,
  attemptId,
  availabilityZoneId,
  backendServerId,
  databaseId,
  entryHostId,
  milliseconds,
  regionId,
  term,
  type RandomSource,
} from '@nutmegcourse/shared'
import type { GroupRecord, ListedBackendServer } from '@nutmegcourse/protocol'
import {
  FailoverCore,
  type FailoverEffect,
  type FailoverMessage,
  type StoreOutcome,
  type Watcher,
} from '@nutmegcourse/coordination'
import {
  GroupConformanceChecker,
  SERVER_NAMES,
  type ServerEffect,
  type FencePromise,
} from './groupConformanceChecker.js'
import { SERVERS } from './groupState.js'

const DATABASE = databaseId('salon-db-1')
const HOSTS = 3
const MAX_TICK_MILLISECONDS = 40
/** The oldest messages beyond this limit are dropped, so that a schedule reaches the newer ones. */
const MAX_IN_FLIGHT_MESSAGES = 24

/** A message in flight to a server, to the store or to a host. */
type Message =
  | {
      readonly kind: 'toServer'
      readonly host: number
      readonly effect: ServerEffect
      readonly askedAt: number
    }
  | {
      readonly kind: 'toStore'
      readonly host: number
      readonly effect: Extract<FailoverEffect, { kind: 'readRecord' | 'swapRecord' }>
    }
  | {
      readonly kind: 'toHost'
      readonly host: number
      readonly message: FailoverMessage
      readonly promise?: FencePromise
    }

export class FailoverSimulation {
  readonly #checker = new GroupConformanceChecker()
  readonly #cores: FailoverCore[]
  readonly #watchers: readonly Watcher[]
  readonly #makeRandom: (incarnation: number) => RandomSource
  readonly #serverEntries: readonly ListedBackendServer[]
  #inFlight: Message[] = []
  #stored: { record: GroupRecord | null; revision: number }
  #now = 0
  #incarnations = 0
  readonly #disconnectedLinks = new Set<string>()

  constructor(
    seed: number,
    makeRandom: (incarnation: number) => RandomSource = incarnation =>
      new SeededRandom(seed * 31 + incarnation),
  ) {
    this.#makeRandom = makeRandom
    this.#watchers = Array.from({ length: HOSTS }, (_, index) => ({
      entryHost: entryHostId(`host-${index}`),
      zone: availabilityZoneId(`zone-${index}`),
      region: regionId('kolkata'),
    }))
    this.#serverEntries = SERVER_NAMES.map((name, index) =>
      createServerEntry(name, `zone-${index}`),
    )
    this.#stored = { record: initialRecord(), revision: 1 }
    this.#cores = this.#watchers.map((_, host) => this.#makeCore(host))
    this.#watchers.forEach((_, host) => {
      this.#sendMembership(host)
    })
  }

  get violations(): readonly string[] {
    return this.#checker.violations
  }

  get promotions(): number {
    return this.#checker.promotions
  }

  /** Takes the step that `choice` selects among those possible. */
  step(choice: number): void {
    const kind = choice % 16
    const pick = Math.floor(choice / 16)
    if (kind < 9) this.#deliver(pick)
    else if (kind === 9) this.#dropMessage(pick)
    else if (kind < 12) this.#tick(pick)
    else if (kind === 12) this.#toggleLink(pick)
    else if (kind === 13) this.#checker.write(pick)
    else if (kind === 14) this.#checker.replicate(pick)
    else this.#restartOccasionally(pick)
    this.#checker.checkInvariants()
  }

  #makeCore(host: number): FailoverCore {
    this.#incarnations += 1
    const incarnation = this.#incarnations
    let attempts = 0
    const self = this.#watchers[host] ?? fail('host index is out of range')
    return new FailoverCore({ database: DATABASE, self }, this.#makeRandom(incarnation), () => {
      attempts += 1
      return attemptId(`${incarnation}-${attempts}`)
    })
  }

  #sendMembership(host: number): void {
    this.#send(host, { kind: 'watchers', watchers: this.#watchers })
    this.#send(host, { kind: 'backendServers', servers: this.#serverEntries })
  }

  #send(host: number, message: FailoverMessage): void {
    const effects = this.#cores[host]?.handle(message, milliseconds(this.#now)) ?? []
    for (const effect of effects) this.#handleEffect(host, effect)
    this.#inFlight = this.#inFlight.slice(-MAX_IN_FLIGHT_MESSAGES)
  }

  #handleEffect(host: number, effect: FailoverEffect): void {
    switch (effect.kind) {
      case 'askPosition':
      case 'fence':
      case 'promote':
      case 'follow':
        this.#checker.checkEffect(effect)
        this.#inFlight.push({ kind: 'toServer', host, effect, askedAt: this.#now })
        return
      case 'readRecord':
      case 'swapRecord':
        this.#inFlight.push({ kind: 'toStore', host, effect })
        return
      case 'tellWatchers':
        this.#broadcast(host, { kind: 'opinion', opinion: effect.opinion })
        return
      case 'announce':
        this.#checker.checkRecord(effect.record)
        this.#broadcast(host, { kind: 'record', record: effect.record, revision: effect.revision })
        return
      case 'event':
        return
    }
  }

  #broadcast(host: number, message: FailoverMessage): void {
    this.#cores.forEach((_, other) => {
      if (other !== host) this.#inFlight.push({ kind: 'toHost', host: other, message })
    })
  }

  #deliver(pick: number): void {
    const message = this.#removeInFlight(pick)
    if (message === null) return
    this.#now += 1
    switch (message.kind) {
      case 'toServer':
        this.#executeOnServer(message)
        return
      case 'toStore': {
        const outcome = this.#runStore(message.effect)
        const { call } = message.effect
        const reply: FailoverMessage = { kind: 'storeAnswered', call, outcome }
        this.#inFlight.push({ kind: 'toHost', host: message.host, message: reply })
        return
      }
      case 'toHost':
        if (message.promise !== undefined)
          this.#checker.recordPromise(message.promise, message.message)
        this.#send(message.host, message.message)
        return
    }
  }

  /** Drops a message without executing it. The sender of a call gets a timeout or a failed outcome. */
  #dropMessage(pick: number): void {
    const message = this.#removeInFlight(pick)
    if (message === null) return
    if (message.kind === 'toStore') {
      const { call } = message.effect
      const outcome: StoreOutcome = { kind: 'failed' }
      this.#send(message.host, { kind: 'storeAnswered', call, outcome })
    }
    if (message.kind === 'toServer') this.#failCall(message, 'timeout')
  }

  #executeOnServer(message: Extract<Message, { kind: 'toServer' }>): void {
    const { effect, host } = message
    const server = SERVER_NAMES.indexOf(effect.server)
    if (this.#disconnectedLinks.has(`${host}-${server}`)) {
      this.#failCall(message, 'refused')
      return
    }
    const isAccepted = this.#checker.executeCommand(effect, server)
    if (!isAccepted) {
      this.#failCall(message, 'staleTerm')
      return
    }
    const report = this.#checker.report(server)
    if (effect.kind === 'askPosition') {
      const askedAt = milliseconds(message.askedAt)
      this.#reply(host, { kind: 'positionAnswered', server: effect.server, report, askedAt })
      return
    }
    const attempt = effect.kind === 'fence' ? this.#checker.attemptIndexOf(effect.term) : -1
    const reply: FailoverMessage = { kind: 'controlAnswered', call: effect.call, report }
    this.#reply(host, reply, attempt === -1 ? undefined : { attempt, server })
  }

  #reply(host: number, message: FailoverMessage, promise?: FencePromise): void {
    this.#inFlight.push({ kind: 'toHost', host, message, ...(promise && { promise }) })
  }

  #failCall(
    message: Extract<Message, { kind: 'toServer' }>,
    failure: 'timeout' | 'refused' | 'staleTerm',
  ): void {
    const { effect, host } = message
    const askedAt = milliseconds(message.askedAt)
    if (effect.kind === 'askPosition') {
      this.#send(host, { kind: 'positionFailed', server: effect.server, failure, askedAt })
    } else this.#send(host, { kind: 'controlFailed', call: effect.call, failure })
  }

  #runStore(effect: Extract<FailoverEffect, { kind: 'readRecord' | 'swapRecord' }>): StoreOutcome {
    if (effect.kind === 'readRecord') return { kind: 'read', ...this.#stored }
    if (effect.expectedRevision !== this.#stored.revision) {
      return { kind: 'conflict', ...this.#stored }
    }
    this.#stored = { record: effect.record, revision: this.#stored.revision + 1 }
    return { kind: 'swapped', revision: this.#stored.revision }
  }

  #tick(pick: number): void {
    this.#now += pick % MAX_TICK_MILLISECONDS
    this.#cores.forEach((_, host) => {
      if (pick % (HOSTS + 1) !== host) this.#send(host, { kind: 'tick' })
    })
  }

  #toggleLink(pick: number): void {
    const link = `${pick % HOSTS}-${Math.floor(pick / HOSTS) % SERVERS}`
    if (!this.#disconnectedLinks.delete(link)) this.#disconnectedLinks.add(link)
  }

  /** Restarts a host without state. Messages to it are discarded; its calls in flight stay in flight. */
  #restartOccasionally(pick: number): void {
    if (pick % 4 !== 0) return
    const host = Math.floor(pick / 4) % HOSTS
    this.#inFlight = this.#inFlight.filter(
      message => message.kind !== 'toHost' || message.host !== host,
    )
    this.#cores[host] = this.#makeCore(host)
    this.#sendMembership(host)
  }

  #removeInFlight(pick: number): Message | null {
    const place = this.#inFlight.length === 0 ? -1 : pick % this.#inFlight.length
    const message = this.#inFlight[place] ?? null
    this.#inFlight = this.#inFlight.filter(each => each !== message)
    return message
  }
}

function fail(detail: string): never {
  throw new Error(detail)
}

const initialRecord = (): GroupRecord => ({
  database: DATABASE,
  term: term(1),
  primary: backendServerId('server-0'),
  phase: { kind: 'stable' },
  coordinator: null,
  attempt: null,
  termStarts: [],
})

const createServerEntry = (name: string, zone: string): ListedBackendServer => ({
  kind: 'backendServer',
  id: backendServerId(name),
  database: DATABASE,
  address: '127.0.0.1',
  port: 1,
  zone: availabilityZoneId(zone),
  region: regionId('kolkata'),
  state: 'live',
  slots: 3,
  connectionLimit: 35,
})
