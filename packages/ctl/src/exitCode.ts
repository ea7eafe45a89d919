/** The exit statuses of nutmegcoursectl, for scripts. docs/OPERATIONS.md lists the same. */
export const EXIT_CODES = {
  success: 0,
  /** `diff` found differences. */
  different: 1,
  usage: 2,
  /** The document has mistakes; nothing was changed. */
  invalidDocument: 3,
  /** Another operator changed the same document first; nothing was changed. */
  conflict: 4,
  /** The store or the agent cannot be reached; nothing was changed. */
  unreachable: 5,
  /** The change may or may not be in force: read it back with `get`. */
  outcomeUnknown: 6,
} as const

export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES]

/** The output and the exit status of a command. */
export interface CommandResult {
  readonly exitCode: ExitCode
  /** For standard output. */
  readonly output: string
  /** For standard error. */
  readonly errorOutput: string
}

export const succeed = (output: string): CommandResult => ({
  exitCode: EXIT_CODES.success,
  output,
  errorOutput: '',
})

export const fail = (exitCode: ExitCode, errorOutput: string): CommandResult => ({
  exitCode,
  output: '',
  errorOutput,
})
