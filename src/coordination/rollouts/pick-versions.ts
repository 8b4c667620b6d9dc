import type {RolloutDirective} from '../../protocol/rollout.js';

/** What a node knows about the versions of a service. */
export type VersionFacts = {
	/** Version that served before any order. */
	readonly running: string | undefined;
	readonly directive:
		Pick<RolloutDirective, 'target' | 'state' | 'share'> | undefined;
	/** Whether the node sends nothing to the target, for lack of a recent directive or by its own evidence. */
	readonly isStopped: boolean;
};

/**
 * Picks the versions that a request may go to, the preferred one first.
 *
 * @param facts - see `VersionFacts`
 * @param isRetry - whether the request has been sent before
 * @param random - a random number from 0 up to, but not including, 1
 * @returns the versions; empty when none is allowed
 * @example
 * pickVersions({running: 'v1', directive: undefined, isStopped: false}, false, 0); // ['v1']
 */
export function pickVersions(
	{running, directive, isStopped}: VersionFacts,
	isRetry: boolean,
	random: number,
): readonly string[] {
	const old = running === undefined ? [] : [running];
	if (!directive) {
		return old;
	}

	const {target, state, share} = directive;
	switch (state) {
		case 'completed': {
			return [target];
		}

		case 'rolled-back': {
			return old.filter((version) => version !== target);
		}

		case 'active': {
			if (isStopped || share === 0) {
				return old;
			}

			// Once all requests go to the target, the old upstreams may stop at any time.
			return share === 1 || (!isRetry && random < share)
				? [target, ...old]
				: [...old, target];
		}
	}
}
