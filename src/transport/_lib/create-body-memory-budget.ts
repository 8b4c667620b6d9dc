/** Memory of a node for long bodies that wait. */
export type BodyMemoryBudget = {
	/** Takes memory for a body; false when too little is left. */
	tryReserve(bytes: number): boolean;
	/** Gives back what was taken. */
	release(bytes: number): void;
};

/**
 * Creates the memory of a node for long bodies that wait. A body that finds no
 * memory is passed on as it comes in.
 *
 * @param totalBytes - most bytes of all bodies
 * @returns the memory, all of it free
 */
export function createBodyMemoryBudget(totalBytes: number): BodyMemoryBudget {
	let takenBytes = 0;
	return {
		tryReserve(bytes) {
			if (takenBytes + bytes > totalBytes) {
				return false;
			}

			takenBytes += bytes;
			return true;
		},
		release(bytes) {
			takenBytes -= bytes;
		},
	};
}
