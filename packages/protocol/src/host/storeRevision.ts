/**
 * Revisions of the store that only grow, also where the store comes back from an older copy and gives its own
 * revisions out again. The era, which it counts up each time, stands above the store's revision in one number.
 */

/** A store that makes a thousand changes a second stays below this for decades. */
const REVISIONS_PER_ERA = 2 ** 40

/** The store's 0 stands for "does not exist", in every era. */
export const storeRevision = (era: number, ownRevision: number): number =>
  ownRevision === 0 ? 0 : era * REVISIONS_PER_ERA + ownRevision

export const eraOf = (revision: number): number => Math.floor(revision / REVISIONS_PER_ERA)

/** As the store itself counts within its era. */
export const ownRevisionOf = (revision: number): number => revision % REVISIONS_PER_ERA
