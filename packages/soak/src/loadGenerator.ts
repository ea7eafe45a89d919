/** Runs the planned loads of a hard load run: starts the callers of each load at its time and stops them at its end. */
import { setTimeout as delay } from 'node:timers/promises'
import type { CallerHabits } from './hardLoad.js'
import { callersOf, type LoadKind, type PlannedLoad } from './loadPlan.js'
import type { SoakCaller } from './soakCaller.js'

export type MakeCaller = (name: string, habits: CallerHabits) => SoakCaller

export class LoadGenerator {
  readonly #makeCaller: MakeCaller
  readonly #active = new Map<LoadKind, number>()
  #started = 0

  constructor(makeCaller: MakeCaller) {
    this.#makeCaller = makeCaller
  }

  get isActive(): boolean {
    return this.#active.size > 0
  }

  /** The callers finish their last statements after this has resolved; `running` collects them. */
  async run(plan: readonly PlannedLoad[], running: Promise<void>[]): Promise<void> {
    const startedAt = performance.now()
    await Promise.all(
      plan.map(async planned => {
        await delay(Math.max(0, planned.startsAtMilliseconds - (performance.now() - startedAt)))
        await this.#apply(planned, running)
      }),
    )
  }

  async #apply(planned: PlannedLoad, running: Promise<void>[]): Promise<void> {
    const { kind, durationMilliseconds } = planned
    const { count, habitsOf } = callersOf(planned)
    this.#started += 1
    const load = `${kind}${String(this.#started)}`
    const callers = Array.from({ length: count }, (_, index) =>
      this.#makeCaller(`${load}-${String(index)}`, habitsOf(index)),
    )
    this.#active.set(kind, (this.#active.get(kind) ?? 0) + 1)
    running.push(...callers.map(caller => caller.run()))
    await delay(durationMilliseconds)
    for (const caller of callers) caller.stop()
    const active = (this.#active.get(kind) ?? 1) - 1
    if (active === 0) this.#active.delete(kind)
    else this.#active.set(kind, active)
  }
}
