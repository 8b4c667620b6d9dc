import {pickVersions} from '../../../coordination/rollouts/pick-versions.js';
import type {RolloutDirective} from '../../../protocol/rollout.js';
import type {VersionChoice} from '../../version-picker.js';

/** What the choice of versions for a request depends on. */
export type VersionChoiceOptions = {
	/** Version that runs without an order. */
	readonly running: string | undefined;
	readonly directive: RolloutDirective | undefined;
	/** Whether the node sends nothing to the target. */
	readonly isStopped: boolean;
	/** Whether the request has been sent before. */
	readonly isRetry: boolean;
	/** A random number from 0 up to, but not including, 1. */
	readonly random: number;
};

/** Choice for a request of a node that does not know yet which versions run. */
export const noChoice: VersionChoice = {
	versions: [],
	limited: undefined,
	mayFallBack: false,
};

/** Creates the choice of versions for a request to a service that has several. */
export function createVersionChoice(
	options: VersionChoiceOptions,
): VersionChoice {
	const {directive, isRetry, random} = options;
	const hosts = directive?.hosts;
	return {
		versions: pickVersions(options, isRetry, random),
		limited:
			hosts === undefined ? undefined : {version: directive!.target, hosts},
		mayFallBack: directive?.state === 'active' && directive.share < 1,
	};
}
