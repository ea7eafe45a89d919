/**
 * Runs one asynchronous story under every sequence of choices that it asks for, within bounds: what
 * happens between two orders to servers, and what becomes of each order.
 */

/** Hands out one sequence of choices; choice 0 is the ordinary course. */
export class Choices {
  readonly #prefix: readonly number[]
  readonly #options: number[] = []
  readonly #taken: number[] = []

  constructor(prefix: readonly number[]) {
    this.#prefix = prefix
  }

  /** One of `options` ways to go on. */
  next(options: number): number {
    const choice = this.#prefix[this.#taken.length] ?? 0
    this.#options.push(options)
    this.#taken.push(choice)
    return choice
  }

  /** The next sequence in order; null after the last. */
  nextSequence(): number[] | null {
    for (let at = this.#taken.length - 1; at >= 0; at -= 1) {
      const choice = this.#taken[at] ?? 0
      if (choice + 1 < (this.#options[at] ?? 0)) return [...this.#taken.slice(0, at), choice + 1]
    }
    return null
  }
}

/** How many sequences were run, up to the first whose story returns false. */
export async function explore(scenario: (choices: Choices) => Promise<boolean>): Promise<number> {
  let runs = 0
  for (let prefix: number[] | null = []; prefix !== null; runs += 1) {
    const choices: Choices = new Choices(prefix)
    if (!(await scenario(choices))) return runs + 1
    prefix = choices.nextSequence()
  }
  return runs
}
