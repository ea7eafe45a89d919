/**
 * Store revisions that keep growing when the store is restored from an older copy and reuses its own revision
 * numbers. The era, which the store increments at each restore, forms the upper part of the number.
 */

/** A store that makes a thousand changes per second takes decades to reach this. */
const REVISIONS_PER_ERA = 2 ** 40

/** Revision 0 means "does not exist" in every era. */
export const storeRevision = (era: number, ownRevision: number): number =>
  ownRevision === 0 ? 0 : era * REVISIONS_PER_ERA + ownRevision

export const eraOf = (revision: number): number => Math.floor(revision / REVISIONS_PER_ERA)

/** The revision as the store itself counts it, within its era. */
export const revisionWithinEra = (revision: number): number => revision % REVISIONS_PER_ERA
