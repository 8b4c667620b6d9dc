/** Conditions under which a node is ready for requests. */
export type ReadinessOptions = {
	readonly hasConfiguration: () => boolean;
	/** Whether the node has joined the other members, or its wait for them has timed out. */
	readonly hasJoined: () => boolean;
};

/** Whether a node is ready for requests and, if not, why. */
export type ReadinessState =
	'ready' | 'no-configuration' | 'joining' | 'stopping';

/** Readiness of a node. */
export type Readiness = {
	read(): ReadinessState;
	/** Reports `stopping` from now on. */
	drain(): void;
};

/**
 * Creates the state behind the platform's readiness check of a node.
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
