/**
 * Bounds the wait for a result. The operation itself continues, and a later caller may use its result.
 */
import { startReadTimeout } from '@nutmegcourse/transport'
import { ResultAsync, err, type Result } from 'neverthrow'

export function withTimeout<Value, Failure>(
  result: ResultAsync<Value, Failure>,
  timeoutMilliseconds: number,
  failure: Failure,
): ResultAsync<Value, Failure> {
  let stopTimeout: (() => void) | undefined
  const timeout = new Promise<Result<Value, Failure>>(resolve => {
    stopTimeout = startReadTimeout(() => {
      resolve(err(failure))
    }, timeoutMilliseconds)
  })
  const settled = Promise.race([Promise.resolve(result), timeout]).finally(() => stopTimeout?.())
  return new ResultAsync(settled)
}
