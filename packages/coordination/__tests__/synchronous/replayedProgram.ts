/**
 * Makes an asynchronous program usable as a state machine: its state is the calls that it has issued and the answers
 * that it received. A state is reached by running the program anew with these answers, once for each state. The
 * program must not depend on anything but its answers.
 */

export interface Answer {
  /** Equal for equal answers. */
  readonly key: string
  readonly value: unknown
  /** What the program reads without a call from the moment of this answer on. */
  readonly isClaimHeld: boolean
}

export interface PendingCall<Call> {
  readonly index: number
  readonly call: Call
}

export interface ProgramState<Call> {
  readonly id: number
  readonly pending: readonly PendingCall<Call>[]
  /** Null while the program runs. */
  readonly result: string | null
  /** How many waits have ended. */
  readonly waits: number
  /** Whether the program orders no further promotion. */
  readonly isFinishing: boolean
}

export interface ProgramPorts<Call> {
  call(call: Call): Promise<unknown>
  isClaimHeld(): boolean
  /** The number of waits that have ended. */
  waits(): number
  /** Tells that no order to promote will follow. */
  finishing(): void
}

export type Program<Call> = (ports: ProgramPorts<Call>) => Promise<string>

interface HistoryEntry {
  readonly index: number
  readonly answer: Answer
  /** The number of calls that had been issued before this answer. */
  readonly issued: number
}

interface Node<Call> extends ProgramState<Call> {
  readonly history: readonly HistoryEntry[]
  readonly issued: number
  /** The state before the answers of the present moment; answers of one moment are the same in any order. */
  readonly sealed: number
  /** The answers since the last call was issued. */
  readonly moment: readonly string[]
  readonly successors: Map<string, number>
  /** A run that has come to this state and not gone on; null once it was used. */
  run: ProgramRun<Call> | null
}

/** One run of the program. */
class ProgramRun<Call> {
  readonly #calls: { readonly call: Call; readonly resolve: (value: unknown) => void }[] = []
  readonly #answered = new Set<number>()
  readonly #isWait: (call: Call) => boolean
  #isClaimHeld = true
  waits = 0
  result: string | null = null
  isFinishing = false

  constructor(program: Program<Call>, isWait: (call: Call) => boolean) {
    this.#isWait = isWait
    const ports: ProgramPorts<Call> = {
      call: call => new Promise(resolve => this.#calls.push({ call, resolve })),
      isClaimHeld: () => this.#isClaimHeld,
      waits: () => this.waits,
      finishing: () => (this.isFinishing = true),
    }
    void program(ports).then(ended => (this.result = ended))
  }

  get issued(): number {
    return this.#calls.length
  }

  get pending(): readonly PendingCall<Call>[] {
    return this.#calls
      .map(({ call }, index) => ({ call, index }))
      .filter(({ index }) => !this.#answered.has(index))
  }

  async answer({ index, answer }: HistoryEntry): Promise<void> {
    const target = this.#calls[index]
    if (target === undefined) throw new Error('the program depends on more than its answers')
    this.#isClaimHeld = answer.isClaimHeld
    if (this.#isWait(target.call)) this.waits += 1
    this.#answered.add(index)
    target.resolve(answer.value)
    await settle()
  }
}

export class ReplayedProgram<Call> {
  readonly #program: Program<Call>
  readonly #isWait: (call: Call) => boolean
  readonly #nodes: Node<Call>[] = []
  readonly #byHistory = new Map<string, Node<Call>>()

  constructor(program: Program<Call>, isWait: (call: Call) => boolean) {
    this.#program = program
    this.#isWait = isWait
  }

  /** The number of states that were reached. */
  get size(): number {
    return this.#nodes.length
  }

  async start(): Promise<void> {
    if (this.#nodes.length > 0) return
    const run = new ProgramRun(this.#program, this.#isWait)
    await settle()
    this.#record(run, [], '')
  }

  get first(): ProgramState<Call> {
    return this.#node(0)
  }

  state(id: number): ProgramState<Call> {
    return this.#node(id)
  }

  /** The state after an answer; null if it was not reached before. */
  after(id: number, index: number, answer: Answer): number | null {
    return this.#node(id).successors.get(answerKey(index, answer)) ?? null
  }

  /** Runs the program until it has received this answer. */
  async reach(id: number, index: number, answer: Answer): Promise<void> {
    const node = this.#node(id)
    const entry = { index, answer, issued: node.issued }
    const isSameMoment = node.history.at(-1)?.issued === node.issued
    const moment = isSameMoment
      ? [...node.moment, answerKey(index, answer)]
      : [answerKey(index, answer)]
    const sealed = isSameMoment ? node.sealed : node.id
    const key = `${String(sealed)}:${[...moment].sort().join(';')}`
    const known = this.#byHistory.get(key)
    const next =
      known ??
      this.#record(await this.#goOn(node, entry), [...node.history, entry], key, sealed, moment)
    node.successors.set(answerKey(index, answer), next.id)
  }

  #node(id: number): Node<Call> {
    const node = this.#nodes[id]
    if (node === undefined) throw new Error(`no state ${String(id)}`)
    return node
  }

  async #goOn(node: Node<Call>, entry: HistoryEntry): Promise<ProgramRun<Call>> {
    const run = node.run ?? (await this.#replay(node.history))
    node.run = null
    await run.answer(entry)
    return run
  }

  async #replay(history: readonly HistoryEntry[]): Promise<ProgramRun<Call>> {
    const run = new ProgramRun(this.#program, this.#isWait)
    await settle()
    for (const entry of history) await run.answer(entry)
    return run
  }

  #record(
    run: ProgramRun<Call>,
    history: readonly HistoryEntry[],
    key: string,
    sealed = 0,
    moment: readonly string[] = [],
  ): Node<Call> {
    const { pending, result, waits, issued, isFinishing } = run
    const id = this.#nodes.length
    const node = {
      id,
      pending,
      result,
      waits,
      isFinishing,
      issued,
      history,
      sealed,
      moment,
      successors: new Map(),
      run,
    }
    this.#nodes.push(node)
    this.#byHistory.set(key, node)
    return node
  }
}

const answerKey = (index: number, { key, isClaimHeld }: Answer): string =>
  `${String(index)}=${key}${isClaimHeld ? '' : '!'}`

/** Lets the program run until it waits for answers only: a tick comes after all settled promises. */
const settle = (): Promise<void> =>
  new Promise(resolve => {
    process.nextTick(resolve)
  })
