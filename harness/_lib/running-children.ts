import type {ChildProcess} from 'node:child_process';

/** Children of this process that have not ended. */
export const runningChildren = new Set<ChildProcess>();
