/** Memory budget of a node for large request bodies that are buffered. */
export type BodyMemoryBudget = {
	/** Reserves memory for a body; returns false if too little is left. */
	tryReserve(bytes: number): boolean;
	/** Releases reserved memory. */
	release(bytes: number): void;
};

/**
 * Creates the memory budget of a node for large buffered bodies. A body for
 * which no memory is left is streamed instead of buffered.
 *
 * @param totalBytes - size of the budget for all bodies together, bytes
 * @returns the budget, with nothing reserved
 */
export function createBodyMemoryBudget(totalBytes: number): BodyMemoryBudget {
	let reservedBytes = 0;
	return {
		tryReserve(bytes) {
			if (reservedBytes + bytes > totalBytes) {
				return false;
			}

			reservedBytes += bytes;
			return true;
		},
		release(bytes) {
			reservedBytes -= bytes;
		},
	};
}
