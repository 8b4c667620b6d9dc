import {msPerSecond} from '../../protocol/constants.js';
import type {RolloutState, StoredRollout} from '../../protocol/rollout.js';
import type {Logger} from '../create-logger.js';
import type {RolloutStore} from '../rollout-store.js';

/** Options of `createStatusWriter`. */
export type StatusWriterOptions = {
	readonly store: Pick<RolloutStore, 'writeRolloutStatus' | 'readRollout'>;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	/** Called with an order as it is after a write, or as it was read back. */
	readonly onOrder: (order: StoredRollout) => void;
};

/** Writes the status of orders, one write at a time for each. */
export type StatusWriter = {
	/** Writes a status unless the order has it or a write is in progress; to be called again until it has. */
	write(order: StoredRollout, state: RolloutState): void;
};

/** Delay after a failed write, ms. */
const retryDelayMs = msPerSecond / 2;

/**
 * Creates the writer of statuses. After a conflict or a lost response it reads the
 * order back, so that the caller decides anew on what is stored.
 *
 * @param options - see `StatusWriterOptions`
 * @returns the writer
 */
export function createStatusWriter(options: StatusWriterOptions): StatusWriter {
	const {store, logger, onOrder} = options;
	const writing = new Set<string>();

	/** Lets the status of an order be written again. */
	function release(name: string): void {
		writing.delete(name);
	}

	async function writeOnce(
		order: StoredRollout,
		state: RolloutState,
	): Promise<void> {
		const {name, service, target} = order;
		const outcome = await store.writeRolloutStatus(order, state);
		switch (outcome.kind) {
			case 'written': {
				logger.info('roll-out status written', {service, state});
				const revision = outcome.version || order.revision;
				onOrder({...order, revision, status: {state, target}});
				break;
			}

			case 'conflict':
			case 'unknown': {
				const found = await store.readRollout(name);
				if (found) {
					onOrder(found);
				}

				break;
			}

			case 'unavailable': {
				logger.warn('roll-out status not written', {service, state});
				setTimeout(release, retryDelayMs, name).unref();
				return;
			}
		}

		release(name);
	}

	return {
		write(order, state) {
			const {name, status, target} = order;
			const isWritten = status?.state === state && status.target === target;
			if (!isWritten && !writing.has(name)) {
				writing.add(name);
				void writeOnce(order, state);
			}
		},
	};
}
