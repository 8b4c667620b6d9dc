import type {RolloutProgress} from '../../../coordination/rollouts/step-rollout.js';
import type {
	RolloutDirective,
	StoredRollout,
} from '../../../protocol/rollout.js';
import type {Logger} from '../../create-logger.js';
import type {RolloutStore} from '../../rollout-store.js';
import {
	createDirective,
	createProgress,
	isDirectiveFor,
	isStartedOrder,
} from '../order-directive.js';
import {createStartRecord} from './create-start-record.js';

/** Options of `createOrderStarter`. */
export type OrderStarterOptions = {
	readonly store: Pick<RolloutStore, 'readStart' | 'writeStart'>;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	/** Monotonic ms. */
	readonly now: () => number;
	/** Wall-clock ms. */
	readonly wallNow: () => number;
	/** Returns the directive that this node knows from an earlier leader, with the time left now. */
	readonly readKnown: (service: string) => RolloutDirective | undefined;
	/** Called when an order for which the store was asked can begin. */
	readonly onReady: () => void;
};

/** Begins orders for a leader. */
export type OrderStarter = {
	/** Begins an order, or continues one of an earlier leader; undefined while the store is asked when it was started. */
	begin(order: StoredRollout): RolloutProgress | undefined;
	clear(): void;
};

/** Difference between the sequences of successive leaders, so that the directives of the earlier one are older. */
export const takeOverSequence = 1_000_000;

/**
 * Creates the starter of orders. An order that was started keeps its deadline: by
 * the directive that nodes know, or by the store when none does.
 *
 * @param options - see `OrderStarterOptions`
 * @returns the starter
 */
export function createOrderStarter(options: OrderStarterOptions): OrderStarter {
	const {store, logger, now, wallNow, readKnown, onReady} = options;
	const starts = createStartRecord({store, logger, wallNow, onRead: onReady});

	function findDirective(order: StoredRollout): RolloutDirective | undefined {
		const known = readKnown(order.service);
		if (known !== undefined && isDirectiveFor(known, order)) {
			return {...known, sequence: known.sequence + takeOverSequence};
		}

		const created = createDirective(order);
		if (!isStartedOrder(order)) {
			starts.write(order);
			return created;
		}

		const start = starts.read(order);
		switch (start.kind) {
			case 'found': {
				const remainingMs = created.durationMs - Math.max(0, start.elapsedMs);
				return {...created, remainingMs};
			}

			case 'reading': {
				return undefined;
			}

			case 'unknown': {
				return created;
			}
		}
	}

	return {
		begin(order) {
			const directive = findDirective(order);
			if (!directive) {
				return undefined;
			}

			const {durationMs, remainingMs} = directive;
			const isStarted = isStartedOrder(order);
			logger.info(isStarted ? 'roll-out taken over' : 'roll-out started', {
				service: order.service,
				version: order.target,
				remainingMs: Math.round(remainingMs),
			});
			return createProgress(directive, now() - (durationMs - remainingMs));
		},
		clear: starts.clear,
	};
}
