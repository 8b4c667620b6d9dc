import type {Scheduler} from '../create-scheduler.js';

/** A message on a link. */
export type Transfer = {
	readonly bytes: number;
	/** Whether the rest need not be sent any more. */
	readonly isAborted: () => boolean;
	/** Called with each part that has passed. */
	readonly onPart: (bytes: number, isLast: boolean) => void;
};

/** One direction of a node's link, shared by its transfers in turn. */
export type Link = {
	send(transfer: Transfer): void;
	/** Bytes that have passed. */
	readBytes(): number;
};

/** Largest part of a transfer that is sent at a turn, bytes; some packets. */
const partBytes = 16_384;

/**
 * Creates one direction of a link.
 *
 * @param scheduler - clock of the run
 * @param bytesPerMs - its rate
 * @returns the link
 */
export function createLink(scheduler: Scheduler, bytesPerMs: number): Link {
	const queue: Array<{readonly transfer: Transfer; left: number}> = [];
	let isBusy = false;
	let passed = 0;

	function sendNext(): void {
		const item = queue.shift();
		isBusy = item !== undefined;
		if (!item) {
			return;
		}

		if (item.transfer.isAborted()) {
			sendNext();
			return;
		}

		const bytes = Math.min(partBytes, item.left);
		scheduler.schedule(bytes / bytesPerMs, () => {
			passed += bytes;
			item.left -= bytes;
			if (item.left > 0) {
				queue.push(item);
			}

			item.transfer.onPart(bytes, item.left <= 0);
			sendNext();
		});
	}

	return {
		send(transfer) {
			queue.push({transfer, left: transfer.bytes});
			if (!isBusy) {
				sendNext();
			}
		},
		readBytes: () => passed,
	};
}
