/**
 * Passes messages to the decision core one at a time and executes its effects in order. A single timer
 * serves all deadlines of the core, instead of one timer per request.
 */
import type { Clock, Milliseconds, RequestId } from '@nutmegcourse/shared'
import type { ProxyEffect, ProxyMessage } from '@nutmegcourse/state'
import type { DecisionCore } from './decisionCore.js'
import { DeferredActions } from './deferredActions.js'

export type EffectRunner = (effect: ProxyEffect) => void

/** Due time while no timer is armed. */
const NOT_SCHEDULED = Number.POSITIVE_INFINITY
/** Node.js timers fire up to a millisecond early, and a tick before its due time would have no effect. */
const TIMER_SLACK_MILLISECONDS = 1

export class CoreDriver {
  readonly #core: DecisionCore
  readonly #clock: Clock
  readonly #runEffect: EffectRunner
  #queue: ProxyMessage[] = []
  #deferredActions: (() => void)[] = []
  #isProcessing = false
  readonly #deferredTicks = new DeferredActions()
  #timer: NodeJS.Timeout | null = null
  #timerDueAt = NOT_SCHEDULED

  constructor(core: DecisionCore, clock: Clock, runEffect: EffectRunner) {
    this.#core = core
    this.#clock = clock
    this.#runEffect = runEffect
  }

  get now(): Milliseconds {
    return this.#clock.now()
  }

  mayStillRun(request: RequestId): boolean {
    return this.#core.mayStillRun(request, this.#clock.now())
  }

  /** Queues messages sent during the execution of an effect until the preceding effects are done. */
  send(message: ProxyMessage): void {
    this.#queue.push(message)
    if (!this.#isProcessing) this.#process()
  }

  /** Runs an action after all effects of the queued messages are executed. */
  afterEffects(action: () => void): void {
    this.#deferredActions.push(action)
    if (!this.#isProcessing) this.#process()
  }

  stop(): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
    this.#timer = null
    this.#timerDueAt = NOT_SCHEDULED
    this.#deferredTicks.clear()
  }

  #process(): void {
    this.#isProcessing = true
    try {
      while (this.#queue.length > 0 || this.#deferredActions.length > 0) this.#processQueue()
    } finally {
      this.#isProcessing = false
    }
    this.#armTimer()
  }

  #processQueue(): void {
    const messages = this.#queue
    this.#queue = []
    for (const message of messages) {
      for (const effect of this.#core.handle(message, this.#clock.now())) this.#runEffect(effect)
    }
    if (this.#queue.length > 0) return
    const actions = this.#deferredActions
    this.#deferredActions = []
    for (const action of actions) action()
  }

  /**
   * Keeps a timer that is due earlier than needed: an extra tick costs less than a timer per request. After a
   * stall of this process its timers run before its sockets are read, and a tick would end requests whose
   * answers have arrived.
   */
  #armTimer(): void {
    const now = this.#clock.now()
    const wake = this.#core.nextWake(now)
    if (wake === null || wake >= this.#timerDueAt) return
    if (this.#timer !== null) clearTimeout(this.#timer)
    this.#timerDueAt = wake
    const wait = Math.max(0, Math.ceil(wake - now)) + TIMER_SLACK_MILLISECONDS
    this.#timer = setTimeout(() => {
      this.#timer = null
      this.#deferredTicks.add(() => {
        this.#timerDueAt = NOT_SCHEDULED
        this.send({ kind: 'tick' })
      })
    }, wait)
  }
}
