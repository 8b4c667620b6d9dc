import type {Scheduler} from '../../../harness/create-scheduler.js';
import type {ClientAnswer, ClientTry} from './client-try.js';
import type {ShortageFleet} from './create-shortage-fleet.js';
import type {ShortageCounts} from './shortage-counts.js';
import type {RequestClass} from './shortage-parameters.js';

/** Options of `createShortageClients`. */
export type ShortageClientsOptions = {
	readonly scheduler: Scheduler;
	readonly fleet: ShortageFleet;
	readonly counts: ShortageCounts;
};

/** Clients of a fleet, in virtual time. */
export type ShortageClients = {
	/** Sends a request; an impatient client repeats it at once. */
	request(
		requestClass: RequestClass,
		dataCentre: string,
		isImpatient: boolean,
	): void;
};

const maxRetries = 2;
const maxImpatientRetries = 3;
const impatientWaitMs = 5;
const errorWaitMs = 20;
/** Longest wait for a retry, as a share of the time left. */
const maxWaitShare = 1 / 3;
/** Longest time for which a repeatable request may lie unread, ms. */
const maxUnreadMs = 1000;

/**
 * Creates clients that retry on new connections within their deadline and honour
 * the delay that they are told, up to a third of the time left.
 *
 * @param options - see `ShortageClientsOptions`
 * @returns the clients
 */
export function createShortageClients(
	options: ShortageClientsOptions,
): ShortageClients {
	const {scheduler, fleet, counts} = options;
	const {now} = scheduler;

	return {
		request(requestClass, dataCentre, isImpatient) {
			const startedAt = now();
			const deadlineAt = startedAt + requestClass.deadlineMs;
			const count = counts.byClass.get(requestClass.name)!;
			const {repeatable} = requestClass;
			let retries = 0;
			let isDone = false;
			let hasRun = false;
			let current: ClientTry | undefined;
			count.requests++;

			function finish(outcome: 'served' | 'late' | 'refused' | 'failed'): void {
				if (!isDone) {
					isDone = true;
					cancelDeadline();
					count[outcome]++;
				}
			}

			function send(wasTold: boolean): void {
				const leftMs = deadlineAt - now();
				counts.tries++;
				if (wasTold) {
					counts.toldTries++;
				}

				const sent: ClientTry = {
					requestClass,
					deadlineMs: leftMs,
					isCall: false,
					hasLeft: false,
					isRead: false,
					onLeave: undefined,
					onRun() {
						if (!hasRun) {
							hasRun = true;
							counts.run++;
							if (now() - startedAt > requestClass.objectiveMs / 2) {
								counts.runLate++;
							}
						}
					},
					answer(answer) {
						if (!sent.hasLeft && current === sent) {
							current = undefined;
							receive(sent, answer, wasTold);
						}
					},
				};
				current = sent;
				fleet.send(
					dataCentre,
					sent,
					requestClass.opensConnection || retries > 0,
				);
				if (repeatable) {
					const unreadMs = Math.min(maxUnreadMs, leftMs * maxWaitShare);
					scheduler.schedule(unreadMs, () => {
						if (current === sent && !sent.isRead) {
							sent.hasLeft = true;
							current = undefined;
							counts.unread++;
							retry(0, false, 'failed');
						}
					});
				}
			}

			function retry(
				waitMs: number,
				isTold: boolean,
				otherwise: 'refused' | 'failed',
			): void {
				const max = isImpatient ? maxImpatientRetries : maxRetries;
				const delayMs = isImpatient ? impatientWaitMs : waitMs;
				if (isDone || retries >= max || now() + delayMs >= deadlineAt) {
					finish(otherwise);
					return;
				}

				retries++;
				scheduler.schedule(delayMs, () => {
					if (!isDone) {
						send(isTold && !isImpatient);
					}
				});
			}

			function receive(
				sent: ClientTry,
				{status, retryAfterMs = 0, reason = ''}: ClientAnswer,
				wasTold: boolean,
			): void {
				if (isDone) {
					return;
				}

				switch (status) {
					case 200: {
						const latencyMs = now() - startedAt;
						finish(latencyMs <= requestClass.objectiveMs ? 'served' : 'late');
						break;
					}

					case 503: {
						counts.refusedTries++;
						counts.refusedByReason.set(
							reason,
							(counts.refusedByReason.get(reason) ?? 0) + 1,
						);
						counts.toldRefused += wasTold ? 1 : 0;
						const waitMs = (deadlineAt - now()) * maxWaitShare;
						retry(
							Math.min(retryAfterMs, waitMs),
							retryAfterMs <= waitMs,
							'refused',
						);
						break;
					}

					case 500:
					case 502:
					case 504:
					case 'closed': {
						if (repeatable || (status === 'closed' && !sent.isRead)) {
							retry(errorWaitMs, false, 'failed');
						} else {
							finish('failed');
						}
					}
				}
			}

			const cancelDeadline = scheduler.schedule(requestClass.deadlineMs, () => {
				if (current) {
					current.hasLeft = true;
					current.onLeave?.();
				}

				finish('failed');
			});
			send(false);
		},
	};
}
