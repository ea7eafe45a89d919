/**
 * Runs an asynchronous scenario under every sequence of choices that it requests, within bounds: which
 * events occur between two commands to servers, and the outcome of each command.
 */

/** Supplies one sequence of choices; choice 0 is the normal course. */
export class Choices {
  readonly #prefix: readonly number[]
  readonly #optionCounts: number[] = []
  readonly #taken: number[] = []

  constructor(prefix: readonly number[]) {
    this.#prefix = prefix
  }

  /** Returns a choice from 0 to `options` - 1. */
  next(options: number): number {
    const choice = this.#prefix[this.#taken.length] ?? 0
    this.#optionCounts.push(options)
    this.#taken.push(choice)
    return choice
  }

  /** The next sequence in order, or null after the last one. */
  nextSequence(): number[] | null {
    for (let position = this.#taken.length - 1; position >= 0; position -= 1) {
      const choice = this.#taken[position] ?? 0
      if (choice + 1 < (this.#optionCounts[position] ?? 0))
        return [...this.#taken.slice(0, position), choice + 1]
    }
    return null
  }
}

/** Returns the number of sequences that were run, up to the first for which the scenario returns false. */
export async function explore(scenario: (choices: Choices) => Promise<boolean>): Promise<number> {
  let runs = 0
  for (let prefix: number[] | null = []; prefix !== null; runs += 1) {
    const choices: Choices = new Choices(prefix)
    if (!(await scenario(choices))) return runs + 1
    prefix = choices.nextSequence()
  }
  return runs
}
