/** The smallest quorum size: any two sets of this many members of a group share a member. */
export const majorityOf = (groupSize: number): number => Math.floor(groupSize / 2) + 1
