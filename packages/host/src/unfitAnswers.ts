/**
 * Logs answers of backend servers that were not used.
 *
 * @internal
 */
import type { BackendAddress, LinkFailure } from '@nutmegcourse/protocol'
import type { HostContext } from './hostContext.js'

/** Does nothing for connections that failed for another reason. */
export function logUnfitAnswer(
  { log }: HostContext,
  { server, service }: BackendAddress,
  failure: LinkFailure,
): void {
  if (failure.kind !== 'malformedAnswer') return
  log.write('answer_unfit', { server, service, ...failure.unfit })
}
