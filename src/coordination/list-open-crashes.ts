import type {Crash, CrashRecord} from './quarantine-state.js';

/**
 * Lists the crashes since which no upstream has answered the request of a record.
 *
 * @param record - the record
 * @returns the crashes
 * @example
 * listOpenCrashes(record).length;
 */
export function listOpenCrashes({crashes}: CrashRecord): readonly Crash[] {
	return [...crashes.values()].filter(({isCleared}) => !isCleared);
}
