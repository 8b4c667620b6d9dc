import {msPerSecond} from '../../protocol/constants.js';
import type {StoredRollout} from '../../protocol/rollout.js';
import type {Logger} from '../create-logger.js';
import type {RolloutsOutcome, RolloutStore} from '../rollout-store.js';
import {createProblemLog} from './create-problem-log.js';

/** Options of `createOrderWatch`. */
export type OrderWatchOptions = {
	readonly store: Pick<RolloutStore, 'listRollouts' | 'watchRollouts'>;
	readonly logger: Pick<Logger, 'warn'>;
	/** Called with orders that were read and names of removed ones; `isComplete` when these are all orders. */
	readonly onOrders: (
		orders: readonly StoredRollout[],
		removed: readonly string[],
		isComplete: boolean,
	) => void;
};

/** Watch of the orders in the store. */
export type OrderWatch = {
	start(): void;
	stop(): void;
};

/** Wait of a watch, ms; long, as each call has its price. */
const watchWaitMs = 25 * msPerSecond;

/** Delays before the orders are listed again after a failed call, ms. */
const minRetryMs = msPerSecond / 2;
const maxRetryMs = 4 * msPerSecond;

/**
 * Creates a watch of the orders: a list, then one watch after the other. After a
 * failed call the orders are listed again, since the store may have come back from
 * an older copy.
 *
 * @param options - see `OrderWatchOptions`
 * @returns the watch, which begins with `start`
 */
export function createOrderWatch(options: OrderWatchOptions): OrderWatch {
	const {store, logger, onOrders} = options;
	const logUnreadable = createProblemLog({
		logger,
		message: 'order for a roll-out not readable',
		now: () => performance.now(),
	});
	/** Number of the current run; a run ends when another has begun. */
	let generation = 0;
	let retryTimer: NodeJS.Timeout | undefined;

	async function run(
		ownGeneration: number,
		revision?: number,
		retryMs = minRetryMs,
	): Promise<void> {
		const outcome: RolloutsOutcome = await (revision === undefined
			? store.listRollouts()
			: store.watchRollouts(revision, watchWaitMs));
		if (generation !== ownGeneration) {
			return;
		}

		if (outcome.kind === 'unavailable') {
			const nextRetryMs = Math.min(2 * retryMs, maxRetryMs);
			retryTimer = setTimeout(() => {
				void run(ownGeneration, undefined, nextRetryMs);
			}, retryMs);
			retryTimer.unref();
			return;
		}

		const {orders, removed, unreadable} = outcome;
		logUnreadable(
			unreadable.map((name) => ({
				place: name,
				reason: 'no service or target version',
			})),
		);
		onOrders(orders, removed, revision === undefined);
		void run(ownGeneration, outcome.revision);
	}

	return {
		start() {
			generation++;
			void run(generation);
		},
		stop() {
			generation++;
			clearTimeout(retryTimer);
		},
	};
}
