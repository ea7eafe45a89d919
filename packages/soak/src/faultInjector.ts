/** Carries a plan out: begins each fault at its time, ends it after its span. Faults overlap. */
import { setTimeout as delay } from 'node:timers/promises'
import { backendServerId } from '@nutmegcourse/shared'
import type { CommandFault, MemoryServer } from '@nutmegcourse/stand-ins'
import type { RandomSource } from '@nutmegcourse/shared'
import type { Fault, PlannedFault } from './faultPlan.js'
import { PLANNED_KINDS, STORE } from './faultPlan.js'
import type { SoakWorld } from './soakWorld.js'

/** The part of a server's answers that a fault loses. */
const LOST_PART = 0.15

/** From the first signal to stop to the second: callers are being sent away then. */
const SECOND_SIGNAL_MILLISECONDS = 400

const ROLE_CHECK_MILLISECONDS = 20

export class FaultInjector {
  readonly #world: SoakWorld
  readonly #random: RandomSource
  /** How many faults of a name stand: one that another holds up does not end early. */
  readonly #standing = new Map<string, number>()
  readonly #losing = new Set<string>()
  readonly #timer: NodeJS.Timeout
  /** Counted by kind. */
  readonly done = new Map<string, number>()
  /** The times between which some unplanned fault stood. */
  readonly #troubles: { readonly from: number; until: number }[] = []

  constructor(world: SoakWorld, random: RandomSource) {
    this.#world = world
    this.#random = random
    this.#world.dialer.hooks.onCommand = server => this.#fateOf(server)
    this.#timer = setInterval(() => {
      world.listRoles()
    }, ROLE_CHECK_MILLISECONDS)
  }

  async run(plan: readonly PlannedFault[]): Promise<void> {
    const startedAt = performance.now()
    await Promise.all(
      plan.map(async planned => {
        await delay(Math.max(0, planned.at - (performance.now() - startedAt)))
        await this.#carryOut(planned)
      }),
    )
  }

  close(): void {
    clearInterval(this.#timer)
  }

  /** Whether any unplanned fault stood since then. */
  wasTroubledSince(moment: number): boolean {
    return this.#troubles.some(({ until }) => until >= moment)
  }

  async #carryOut({ fault, lasts }: PlannedFault): Promise<void> {
    this.done.set(fault.kind, (this.done.get(fault.kind) ?? 0) + 1)
    const trouble = { from: performance.now(), until: Number.POSITIVE_INFINITY }
    if (!PLANNED_KINDS.includes(fault.kind)) this.#troubles.push(trouble)
    await this.#begin(fault)
    await delay(lasts)
    await this.#end(fault)
    trouble.until = performance.now()
  }

  async #begin(fault: Fault): Promise<void> {
    if (!this.#enter(fault)) return
    const { relay, store } = this.#world
    switch (fault.kind) {
      case 'hostKilled':
        this.#world.host(fault.host).signal('SIGKILL')
        return
      case 'hostFrozen':
        this.#world.host(fault.host).signal('SIGSTOP')
        return
      case 'hostStopped':
        await this.#world.host(fault.host).stop()
        return
      case 'hostStoppedTwice':
        await this.#world.host(fault.host).stop(SECOND_SIGNAL_MILLISECONDS)
        return
      case 'hostReloaded':
        this.#world.host(fault.host).reload()
        return
      case 'cut':
        relay.cut({ from: [fault.from], to: [fault.host], cut: true, oneWay: fault.oneWay })
        return
      case 'reset':
        relay.reset({ from: [fault.from], to: [fault.host] })
        return
      case 'silenced':
        relay.silence({ from: [fault.from], to: [fault.host] })
        return
      case 'serverCrashed':
        this.#world.groupOf(fault.server).crash(this.#server(fault.server))
        this.#world.dialer.cut(backendServerId(fault.server))
        return
      case 'serverSilent':
        this.#server(fault.server).isSilent = true
        return
      case 'replicaDeaf':
        this.#server(fault.server).isDeaf = true
        return
      case 'serverLeaves':
        this.#world.list(fault.server, true)
        return
      case 'answersLost':
        this.#losing.add(fault.server)
        return
      case 'storeAway':
        for (const { plan } of this.#world.hosts) {
          relay.cut({ from: [STORE], to: [plan.name], cut: true, oneWay: false })
        }
        return
      case 'storeLosesAnswers':
        this.#world.losesStoreAnswers = true
        return
      case 'storeForgetsHistory':
        store.compact()
        return
      case 'configurationChanged':
        this.#world.configure()
    }
  }

  async #end(fault: Fault): Promise<void> {
    if (!this.#leave(fault)) return
    const { relay } = this.#world
    switch (fault.kind) {
      case 'hostKilled':
      case 'hostStopped':
      case 'hostStoppedTwice':
      case 'hostFrozen': {
        // The last of several faults of one process ends them all, whichever they were.
        const host = this.#world.host(fault.host)
        host.signal('SIGCONT')
        host.start()
        await host.whenReady()
        return
      }
      case 'cut':
        relay.cut({ from: [fault.from], to: [fault.host], cut: false, oneWay: false })
        return
      case 'serverCrashed':
        this.#world.groupOf(fault.server).comeBack(this.#server(fault.server))
        return
      case 'serverSilent': {
        const server = this.#server(fault.server)
        server.isSilent = false
        this.#world.groupOf(fault.server).comeBack(server)
        return
      }
      case 'replicaDeaf':
        this.#server(fault.server).isDeaf = false
        return
      case 'serverLeaves':
        this.#world.list(fault.server, false)
        return
      case 'answersLost':
        this.#losing.delete(fault.server)
        return
      case 'storeAway':
        for (const { plan } of this.#world.hosts) {
          relay.cut({ from: [STORE], to: [plan.name], cut: false, oneWay: false })
        }
        return
      case 'storeLosesAnswers':
        this.#world.losesStoreAnswers = false
        return
      case 'hostReloaded':
      case 'reset':
      case 'silenced':
      case 'storeForgetsHistory':
      case 'configurationChanged':
        return
    }
  }

  #server(id: string): MemoryServer {
    return this.#world.groupOf(id).server(backendServerId(id))
  }

  #fateOf(server: string): CommandFault {
    if (!this.#losing.has(server) || this.#random.next() >= LOST_PART) return 'none'
    return this.#random.next() < 0.5 ? 'lostAfter' : 'cutAfter'
  }

  /** True for the first of equal faults. */
  #enter(fault: Fault): boolean {
    const name = nameOf(fault)
    const standing = this.#standing.get(name) ?? 0
    this.#standing.set(name, standing + 1)
    return standing === 0
  }

  /** True for the last of equal faults. */
  #leave(fault: Fault): boolean {
    const name = nameOf(fault)
    const standing = (this.#standing.get(name) ?? 1) - 1
    this.#standing.set(name, standing)
    return standing === 0
  }
}

/** Faults of one name hold each other up. A host that is down is neither killed, stopped nor frozen again. */
function nameOf(fault: Fault): string {
  switch (fault.kind) {
    case 'hostKilled':
    case 'hostStopped':
    case 'hostStoppedTwice':
    case 'hostFrozen':
      return `process ${fault.host}`
    case 'cut':
      return `cut ${fault.host} ${fault.from}`
    case 'hostReloaded':
      return `${fault.kind} ${fault.host}`
    case 'reset':
    case 'silenced':
      return `${fault.kind} ${fault.host} ${fault.from}`
    case 'serverCrashed':
    case 'serverSilent':
    case 'replicaDeaf':
    case 'serverLeaves':
    case 'answersLost':
      return `${fault.kind} ${fault.server}`
    case 'storeAway':
    case 'storeLosesAnswers':
    case 'storeForgetsHistory':
    case 'configurationChanged':
      return fault.kind
  }
}
