/**
 * Decides in which region a read is served.
 *
 * @internal
 */
import type { HostSettings } from '@nutmegcourse/protocol'
import type { Milliseconds } from '@nutmegcourse/shared'
import type { ReadTerms } from './readerChoice.js'
import { nearTerms, primaryRegion } from './serviceRegions.js'
import type { ServiceState } from './serviceState.js'
import { needsPrimary, type StatementRequest } from './statements.js'

/** The work that a request for a read belongs to. */
export type ReadWork = 'single' | 'transaction'

/**
 * Whether a dispatcher should leave a read, or the begin of a read-only transaction, to the dispatcher of the primary's
 * region because no server of its own region is expected to serve it now. The dispatcher of that region never does, so
 * that no request is passed on twice. Single reads stay if a server of its own region that is left out is due for a
 * test: nothing else would give it back.
 */
export function isBetterAtPrimary(
  request: StatementRequest,
  { readOnly, work }: { readonly readOnly: boolean; readonly work: ReadWork },
  settings: Pick<HostSettings, 'region' | 'regions'>,
  now: Milliseconds,
): boolean {
  const { service, route, session, customer } = request
  if (service.dispatchedPart === null || !service.isOwned) return false
  const region = primaryRegion(service, settings)
  if (region === null || region === settings.region) return false
  if (needsPrimary(request, readOnly)) return false
  const need = service.need(route.guarantee, session.ownPosition, now)
  switch (need.kind) {
    case 'primary':
    case 'unknown':
      return true
    case 'position':
      return !isServedNear(
        service,
        nearTerms(service, settings, need.position, customer),
        work,
        now,
      )
  }
}

/** Whether a server of this host's region is expected to serve the read now, or is to be tested by it. */
function isServedNear(
  { readers }: ServiceState,
  terms: ReadTerms,
  work: ReadWork,
  now: Milliseconds,
): boolean {
  if (readers.ready(terms, now) !== null) return true
  return work === 'single' && readers.hasTestDue(terms, now)
}
