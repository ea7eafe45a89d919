export * from './memoryGroup.js'
export * from './memoryLink.js'
export * from './memoryStore.js'
