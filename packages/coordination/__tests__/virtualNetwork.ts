/** Simulates named processes in zones, connected by links under a virtual clock; they can be killed, stalled and cut off. */
import TinyQueue from 'tinyqueue'
import { VirtualClock } from '@nutmegcourse/shared'

/** The zones of one customer; the first two are in the same region. */
export interface ZoneLayout {
  readonly zones: readonly [string, string, string]
  /** One-way latency between the zones of a region, in milliseconds. */
  readonly zoneLatency: number
}

export const ATLAS_QUAI: ZoneLayout = {
  zones: ['tanger-nord', 'tanger-sud', 'casa-est'],
  zoneLatency: 1.5,
}
export const SHUTTERBAITHAK: ZoneLayout = {
  zones: ['salt-lake', 'new-town', 'matigara'],
  zoneLatency: 0.5,
}
const INTER_REGION_LATENCY_MILLISECONDS = 20
const INTRA_ZONE_LATENCY_MILLISECONDS = 0.1

interface HeldMessage {
  readonly from: string
  readonly to: string
  readonly deliver: () => void
}

interface ScheduledEvent {
  readonly at: number
  readonly order: number
  readonly run: () => void
}

export class VirtualNetwork {
  readonly clock = new VirtualClock()
  readonly layout: ZoneLayout
  readonly #queue = new TinyQueue<ScheduledEvent>([], (left, right) =>
    left.at === right.at ? left.order - right.order : left.at - right.at,
  )
  readonly #zoneOf = new Map<string, string>()
  readonly #killed = new Set<string>()
  readonly #stalledCallbacks = new Map<string, (() => void)[]>()
  readonly #cuts = new Set<string>()
  /** Messages between zones that wait for `resumeLinks`; null while the links work. */
  #heldMessages: HeldMessage[] | null = null
  #order = 0

  constructor(layout: ZoneLayout) {
    this.layout = layout
  }

  get now(): number {
    return this.clock.now()
  }

  addProcess(name: string, zone: string): void {
    this.#zoneOf.set(name, zone)
  }

  kill(name: string): void {
    this.#killed.add(name)
  }

  revive(name: string): void {
    this.#killed.delete(name)
  }

  /** Stalls the process: its callbacks are held until `thaw`. */
  freeze(name: string): void {
    if (!this.#stalledCallbacks.has(name)) this.#stalledCallbacks.set(name, [])
  }

  thaw(name: string): void {
    const held = this.#stalledCallbacks.get(name) ?? []
    this.#stalledCallbacks.delete(name)
    for (const run of held) run()
  }

  /** Cuts off one zone, or one process, from all others. */
  partition(name: string): void {
    this.#cuts.add(name)
  }

  heal(name: string): void {
    this.#cuts.delete(name)
  }

  /** Holds all messages between zones until `resumeLinks`; none is lost. */
  pauseLinks(): void {
    this.#heldMessages ??= []
  }

  /** Delivers the held messages, those from or to the slow zone later than the others. */
  resumeLinks(slowZone: string, slowMilliseconds: number): void {
    const held = this.#heldMessages ?? []
    this.#heldMessages = null
    for (const { from, to, deliver } of held) {
      const isSlow = [from, to].some(name => this.#zoneOf.get(name) === slowZone)
      this.schedule(isSlow ? slowMilliseconds : 0, () => {
        this.whenRunning(to, deliver)
      })
    }
  }

  isDead(name: string): boolean {
    return this.#killed.has(name)
  }

  isFrozen(name: string): boolean {
    return this.#stalledCallbacks.has(name)
  }

  /** Whether the process is dead, stalled or cut off. */
  isUnavailable(name: string): boolean {
    const isCut = this.#cuts.has(name) || this.#cuts.has(this.#zoneOf.get(name) ?? '')
    return this.#killed.has(name) || this.#stalledCallbacks.has(name) || isCut
  }

  regionOf(zone: string): string {
    return zone === this.layout.zones[2] ? 'far' : 'near'
  }

  schedule(delay: number, run: () => void): void {
    this.#order += 1
    this.#queue.push({ at: this.now + delay, order: this.#order, run })
  }

  runFor(span: number): void {
    const end = this.now + span
    for (;;) {
      const next = this.#queue.peek()
      if (next === undefined || next.at > end) break
      this.#queue.pop()
      this.clock.advance(Math.max(0, next.at - this.now))
      next.run()
    }
    this.clock.advance(end - this.now)
  }

  /** Delivers after the link's latency, unless the two are cut off from each other; delayed while the receiver is stalled. */
  send(from: string, to: string, deliver: () => void): void {
    this.schedule(this.#latency(from, to), () => {
      if (this.#isDisconnected(from, to)) return
      const isBetweenZones = this.#zoneOf.get(from) !== this.#zoneOf.get(to)
      if (isBetweenZones && this.#heldMessages !== null) {
        this.#heldMessages.push({ from, to, deliver })
      } else {
        this.whenRunning(to, deliver)
      }
    })
  }

  /** Runs the callback now, or once a stalled process resumes. */
  whenRunning(name: string, run: () => void): void {
    const held = this.#stalledCallbacks.get(name)
    if (held === undefined) run()
    else held.push(run)
  }

  #latency(from: string, to: string): number {
    const left = this.#zoneOf.get(from) ?? ''
    const right = this.#zoneOf.get(to) ?? ''
    if (left === right) return INTRA_ZONE_LATENCY_MILLISECONDS
    const isNear = this.regionOf(left) === this.regionOf(right)
    return isNear ? this.layout.zoneLatency : INTER_REGION_LATENCY_MILLISECONDS
  }

  #isDisconnected(from: string, to: string): boolean {
    const sides = (name: string): readonly string[] => [name, this.#zoneOf.get(name) ?? '']
    return [...this.#cuts].some(cut => sides(from).includes(cut) !== sides(to).includes(cut))
  }
}
