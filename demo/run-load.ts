import {setTimeout as delay} from 'node:timers/promises';
import type {Host} from '../harness/start-host.js';
import {callService} from './call-service.js';

/** What came of a load. */
export type LoadResult = {
	readonly sent: number;
	/** Requests without a whole answer, by what came instead. */
	readonly lost: ReadonlyMap<string, number>;
};

const pauseMs = 2;

/**
 * Sends lookups and invoice posts, one at a time beside each host, until told
 * to stop.
 *
 * @param hosts - hosts whose nodes are used
 * @param signal - ends the load when aborted
 * @returns the counts
 * @example
 * await runLoad(hosts, AbortSignal.timeout(1000));
 */
export async function runLoad(
	hosts: readonly Host[],
	signal: AbortSignal,
): Promise<LoadResult> {
	const lost = new Map<string, number>();
	let sent = 0;

	async function sendOne(host: Host, isPost: boolean): Promise<void> {
		sent++;
		let problem = '';
		try {
			const answer = isPost
				? await callService(host, 'POST', '/kitchens/invoices')
				: await callService(host, 'GET', '/kitchens/prices/lamb');
			problem =
				answer.status === 200 ? '' : `${answer.status} ${answer.reason}`;
		} catch (error) {
			problem = String(error);
		}

		if (problem) {
			lost.set(problem, (lost.get(problem) ?? 0) + 1);
		}
	}

	await Promise.all(
		hosts.map(async (host, index) => {
			while (!signal.aborted) {
				await sendOne(host, index % 2 === 0);
				await delay(pauseMs);
			}
		}),
	);
	return {sent, lost};
}
