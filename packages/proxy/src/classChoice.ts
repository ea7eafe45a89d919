/** Chooses the class of a request: from its comment, its connection's options or the targets' defaults. */
import type { ClassName, Refusal } from '@nutmegcourse/shared'
import type { CallerRequest } from './callerRequest.js'
import { findDefaultClass, type CallerIdentity } from './callerStartup.js'
import type { Topology } from './topology.js'

export type ClassChoice =
  | { readonly kind: 'class'; readonly name: ClassName }
  | { readonly kind: 'refusal'; readonly refusal: Refusal }

/** A newly started agent usually receives the targets within this time. */
const CONFIGURATION_WAIT_MILLISECONDS = 1000

export function chooseClass(
  request: CallerRequest,
  identity: CallerIdentity,
  topology: Topology,
): ClassChoice {
  const { targets } = topology
  if (targets === null) {
    const retryAfterMilliseconds = CONFIGURATION_WAIT_MILLISECONDS
    return refusal({ reason: 'no_configuration', retryAfterMilliseconds })
  }
  const name = request.commentClass ?? identity.class ?? findDefaultClass(targets, identity)
  if (name === null) {
    return refusal({ reason: 'unknown_class', detail: 'none is named and no default fits' })
  }
  if (!topology.hasClass(name)) return refusal({ reason: 'unknown_class', detail: name })
  return { kind: 'class', name }
}

const refusal = (given: Refusal): ClassChoice => ({ kind: 'refusal', refusal: given })
