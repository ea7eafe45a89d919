/** Marks the unreachable branch of an exhaustive switch; the compiler checks that no case is missing. */
export function assertNever(value: never): never {
  throw new Error(`unhandled case: ${JSON.stringify(value)}`)
}
