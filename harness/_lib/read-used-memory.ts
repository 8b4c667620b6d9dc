import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Memory of a process, bytes. */
export type UsedMemory = {
	readonly heapBytes: number;
	/** Buffers outside the heap. */
	readonly externalBytes: number;
};

/**
 * Reads the memory that live objects and their buffers use in this process.
 *
 * @returns used memory after garbage collection
 */
export function readUsedMemory(): UsedMemory {
	setFlagsFromString('--expose-gc');
	const collect: unknown = runInNewContext('gc');
	if (typeof collect !== 'function') {
		throw new TypeError('garbage collection is not available');
	}

	// The second collection frees the buffers of objects that the first one found unused.
	Reflect.apply(collect, undefined, []);
	Reflect.apply(collect, undefined, []);
	const {heapUsed, external} = process.memoryUsage();
	return {heapBytes: heapUsed, externalBytes: external};
}
