import {mergeDirectives} from '../../../coordination/rollouts/merge-directives.js';
import type {RolloutDirective} from '../../../protocol/rollout.js';
import type {Logger} from '../../create-logger.js';

/** A directive and when it was last received, monotonic ms. */
export type HeardDirective = {
	readonly directive: RolloutDirective;
	readonly receivedAt: number;
};

/** Directives that a node knows, one for each service. */
export type DirectiveStore = {
	/** Merges received directives; returns whether a state or target has changed. */
	apply(received: readonly RolloutDirective[]): boolean;
	read(service: string): HeardDirective | undefined;
	/** Returns a directive with the time that is left now. */
	readNow(service: string): RolloutDirective | undefined;
	/** Returns all directives with the time that is left now. */
	list(): readonly RolloutDirective[];
};

/**
 * Creates the store of directives, which logs changes.
 *
 * @param options - where changes are logged, and monotonic ms
 * @returns the store, without directives
 */
export function createDirectiveStore(options: {
	readonly logger: Pick<Logger, 'info'>;
	readonly now: () => number;
}): DirectiveStore {
	const {logger, now} = options;
	const heard = new Map<string, HeardDirective>();

	function computeNow({
		directive,
		receivedAt,
	}: HeardDirective): RolloutDirective {
		const remainingMs = directive.remainingMs - (now() - receivedAt);
		return {...directive, remainingMs};
	}

	return {
		apply(received) {
			let hasChanged = false;
			for (const directive of received) {
				const {service} = directive;
				const before = heard.get(service)?.directive;
				const after = mergeDirectives(before, directive);
				if (after === directive) {
					heard.set(service, {directive, receivedAt: now()});
				}

				hasChanged ||=
					after.state !== before?.state || after.target !== before.target;
				if (after.state !== before?.state || after.share !== before.share) {
					logger.info('roll-out directive', {
						service,
						version: after.target,
						state: after.state,
						share: after.share,
					});
				}
			}

			return hasChanged;
		},
		read: (service) => heard.get(service),
		readNow(service) {
			const known = heard.get(service);
			return known && computeNow(known);
		},
		list: () => [...heard.values()].map((known) => computeNow(known)),
	};
}
