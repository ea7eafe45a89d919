import type { RandomSource } from '@nutmegcourse/shared'

/** Picks one of the items uniformly at random. */
export function pick<Item>(items: readonly Item[], random: RandomSource): Item {
  const item = items[Math.floor(random.next() * items.length)]
  if (item === undefined) throw new Error('cannot pick from an empty list')
  return item
}
