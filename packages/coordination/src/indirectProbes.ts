/** Tracks the indirect probes of silent hosts that are in progress. */
import { addMilliseconds, type EntryHostId, type Milliseconds } from '@nutmegcourse/shared'

interface IndirectProbe {
  deadline: Milliseconds
  pendingHelpers: number
}

export class IndirectProbes {
  readonly #timeoutMilliseconds: number
  readonly #open = new Map<EntryHostId, IndirectProbe>()

  constructor(timeoutMilliseconds: number) {
    this.#timeoutMilliseconds = timeoutMilliseconds
  }

  isOpen(subject: EntryHostId): boolean {
    return this.#open.has(subject)
  }

  open(subject: EntryHostId, helperCount: number, now: Milliseconds): void {
    const deadline = addMilliseconds(now, this.#timeoutMilliseconds)
    this.#open.set(subject, { deadline, pendingHelpers: helperCount })
  }

  /** Called when this process was late by `span`: answers that came meanwhile are still unread. */
  postpone(span: number): void {
    for (const probe of this.#open.values()) probe.deadline = addMilliseconds(probe.deadline, span)
  }

  close(subject: EntryHostId): void {
    this.#open.delete(subject)
  }

  clear(): void {
    this.#open.clear()
  }

  /** One helper did not reach the host. Returns true and closes the probe if no helper is left. */
  recordFailure(subject: EntryHostId): boolean {
    const probe = this.#open.get(subject)
    if (probe === undefined) return false
    probe.pendingHelpers -= 1
    if (probe.pendingHelpers > 0) return false
    this.#open.delete(subject)
    return true
  }

  /** Closes the probes whose deadline has passed and returns their hosts. */
  expired(now: Milliseconds): readonly EntryHostId[] {
    const subjects = [...this.#open].filter(([, probe]) => now >= probe.deadline)
    for (const [subject] of subjects) this.#open.delete(subject)
    return subjects.map(([subject]) => subject)
  }
}
