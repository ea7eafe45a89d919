/**
 * Result types of this package. ts-results captures a stack trace in every `Err`, which costs more
 * than the decision that fails (figures in docs/ARCHITECTURE.md, "Libraries"), so the similar
 * library neverthrow is used in its place.
 *
 * @internal
 */
export { err, ok, type Result } from 'neverthrow'
