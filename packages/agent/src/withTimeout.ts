/**
 * Bounds the wait for a result. The operation itself continues, and a later caller may use its result.
 * After a stall of this process its timers run before its sockets are read; the bound takes effect only
 * once they were, so that a result that arrived during the stall counts.
 */
import { ResultAsync, err, type Result } from 'neverthrow'

export function withTimeout<Value, Failure>(
  result: ResultAsync<Value, Failure>,
  timeoutMilliseconds: number,
  failure: Failure,
): ResultAsync<Value, Failure> {
  let timer: NodeJS.Timeout | undefined
  const timeout = new Promise<Result<Value, Failure>>(resolve => {
    timer = setTimeout(() => {
      setImmediate(() => {
        resolve(err(failure))
      })
    }, timeoutMilliseconds)
  })
  const settled = Promise.race([Promise.resolve(result), timeout]).finally(() => {
    clearTimeout(timer)
  })
  return new ResultAsync(settled)
}
