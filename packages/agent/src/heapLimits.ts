/**
 * Keeps the heap close to the size of the live objects. By default V8 enlarges its young generation with
 * each burst of allocations, such as reading the state of the whole fleet at start-up, and does not shrink
 * it again; that alone exceeds the memory limit of an agent. Must be imported first, before other modules
 * allocate.
 */
import { setFlagsFromString } from 'node:v8'

setFlagsFromString('--semi-space-growth-factor=1')
setFlagsFromString('--heap-growing-percent=30')
