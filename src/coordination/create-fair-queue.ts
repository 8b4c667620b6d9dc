/** Order in which a gate serves the attempts of several teams. */
export type FairQueue = {
	/**
	 * Records an attempt of a team and returns its start tag; the attempt with
	 * the lowest tag is served first.
	 */
	enter(team: string): number;
	/** Records that the attempt with a start tag has taken a slot. */
	serve(startTag: number): void;
	/** Clears all tags; to be called when nothing is queued or in a slot. */
	reset(): void;
};

/**
 * Creates a start-time fair queue (Goyal, Vin and Cheng, 1996) in which each
 * attempt costs one and each team has the same weight.
 *
 * @returns the queue, which holds tags but no attempts
 * @example
 * createFairQueue().enter('kitchens'); // 0
 */
export function createFairQueue(): FairQueue {
	const finishTags = new Map<string, number>();
	let virtualTime = 0;
	return {
		enter(team) {
			const startTag = Math.max(virtualTime, finishTags.get(team) ?? 0);
			finishTags.set(team, startTag + 1);
			return startTag;
		},
		serve(startTag) {
			virtualTime = Math.max(virtualTime, startTag);
		},
		reset() {
			finishTags.clear();
			virtualTime = 0;
		},
	};
}
