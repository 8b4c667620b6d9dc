import {msPerSecond} from '../../../protocol/constants.js';
import type {StoredRollout} from '../../../protocol/rollout.js';
import type {Logger} from '../../create-logger.js';
import type {RolloutStore} from '../../rollout-store.js';

/** Options of `createStartRecord`. */
export type StartRecordOptions = {
	readonly store: Pick<RolloutStore, 'readStart' | 'writeStart'>;
	readonly logger: Pick<Logger, 'warn'>;
	/** Wall-clock ms. */
	readonly wallNow: () => number;
	/** Called when a start was read, or cannot be read. */
	readonly onRead: () => void;
};

/** How long ago an order was started; `reading` while the store is asked. */
export type FoundStart =
	| {readonly kind: 'found'; readonly elapsedMs: number}
	| {readonly kind: 'reading'}
	| {readonly kind: 'unknown'};

/** Starts of orders in the store, for a fleet that has lost all its directives. */
export type StartRecord = {
	/** Writes that an order starts now. */
	write(order: StoredRollout): void;
	/** Returns how long ago a started order was started; asks the store when that is not known. */
	read(order: StoredRollout): FoundStart;
	clear(): void;
};

/** Number of reads of a start; afterwards, its order has its whole duration. */
const maxReads = 3;
const readRetryMs = msPerSecond / 2;

/**
 * Creates the record of the starts of orders.
 *
 * @param options - see `StartRecordOptions`
 * @returns the record
 */
export function createStartRecord(options: StartRecordOptions): StartRecord {
	const {store, logger, wallNow, onRead} = options;
	const found = new Map<string, FoundStart & {readonly target: string}>();

	async function readStored({name, target}: StoredRollout): Promise<void> {
		for (let reads = 0; reads < maxReads; reads++) {
			const outcome = await store.readStart(name);
			if (outcome.kind !== 'unavailable') {
				const isSame =
					outcome.kind === 'found' && outcome.start.target === target;
				const start: FoundStart = isSame
					? {kind: 'found', elapsedMs: wallNow() - outcome.start.startedMs}
					: {kind: 'unknown'};
				found.set(name, {...start, target});
				onRead();
				return;
			}

			await new Promise((resolve) => {
				setTimeout(resolve, readRetryMs).unref();
			});
		}

		logger.warn('start of a roll-out not read', {order: name});
		found.set(name, {kind: 'unknown', target});
		onRead();
	}

	return {
		write({name, target}) {
			const start = {target, startedMs: wallNow()};
			void store.writeStart(name, start).then(({kind}) => {
				if (kind !== 'written') {
					logger.warn('start of a roll-out not written', {order: name, kind});
				}
			});
		},
		read(order) {
			const {name, target} = order;
			const known = found.get(name);
			if (known?.target === target) {
				return known;
			}

			found.set(name, {kind: 'reading', target});
			void readStored(order);
			return {kind: 'reading'};
		},
		clear() {
			found.clear();
		},
	};
}
