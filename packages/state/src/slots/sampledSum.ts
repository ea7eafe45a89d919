/**
 * Sum over many items at a bounded cost.
 *
 * @internal
 */

const MAXIMUM_SAMPLES = 256

/** Exact up to 256 items, beyond them extrapolated from evenly spaced ones. */
export function sampledSum<Item>(items: readonly Item[], valueOf: (item: Item) => number): number {
  const stride = Math.max(1, Math.ceil(items.length / MAXIMUM_SAMPLES))
  let sum = 0
  let samples = 0
  for (let index = 0; index < items.length; index += stride) {
    const item = items[index]
    if (item === undefined) continue
    sum += valueOf(item)
    samples += 1
  }
  return samples === 0 ? 0 : (sum * items.length) / samples
}
