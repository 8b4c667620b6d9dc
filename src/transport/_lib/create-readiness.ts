/** What decides whether a node takes requests. */
export type ReadinessOptions = {
	readonly hasConfiguration: () => boolean;
	/** Whether the node has found the others, or waited for them in vain. */
	readonly hasJoined: () => boolean;
};

/** Why a node does not take requests, or that it does. */
export type ReadinessState =
	'ready' | 'no-configuration' | 'joining' | 'stopping';

/** Tells whether a node takes requests. */
export type Readiness = {
	read(): ReadinessState;
	/** Says from now on that the node is stopping. */
	drain(): void;
};

/**
 * Creates what answers the platform's question whether a node takes requests.
 *
 * @param options - see `ReadinessOptions`
 * @returns the readiness
 */
export function createReadiness(options: ReadinessOptions): Readiness {
	let isStopping = false;
	return {
		read() {
			if (isStopping) {
				return 'stopping';
			}

			if (!options.hasConfiguration()) {
				return 'no-configuration';
			}

			return options.hasJoined() ? 'ready' : 'joining';
		},
		drain() {
			isStopping = true;
		},
	};
}
