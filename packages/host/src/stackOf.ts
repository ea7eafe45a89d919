/**
 * The text of an error in log lines: the stack where there is one, since the error was not expected.
 *
 * @internal
 */
export const stackOf = (error: unknown): string =>
  error instanceof Error ? (error.stack ?? error.message) : String(error)
