import type {
	ClientRecord,
	History,
	StatementRecord,
	UpstreamRecord,
} from './history.js';

/** Time after which a statement binds all nodes, ms; the platform's bound on drains. */
const bindsAfterMs = 2000;

/** Time after which a limit is counted, and the window of its count, ms; of the platform's rule. */
const limitAfterMs = 3000;
const limitWindowMs = 4000;
const limitFactor = 1.5;
const limitSlack = 5;

/** Time in which a fleet serves again after the last disturbance, ms; the platform's bound. */
const recoveryMs = 15_000;
const minServedShare = 0.95;

const refusals = new Set([408, 421, 429, 503]);

function isSuccess({status}: ClientRecord): boolean {
	return status >= 200 && status < 300;
}

function countRuns(records: readonly UpstreamRecord[]): Map<string, number> {
	const runs = new Map<string, number>();
	for (const {id, hasRun} of records) {
		if (hasRun) {
			runs.set(id, (runs.get(id) ?? 0) + 1);
		}
	}

	return runs;
}

function findBrokenAnswers({clients, upstreams}: History): string[] {
	const runs = countRuns(upstreams);
	const ranById = new Map(
		upstreams.filter(({hasRun}) => hasRun).map((run) => [run.id, run]),
	);
	const problems: string[] = [];
	for (const client of clients) {
		const {id, repeatable, status, answeredId, body, sentAt} = client;
		const count = runs.get(id) ?? 0;
		const at = `${id} sent at ${Math.round(sentAt)}`;
		if (isSuccess(client) && (answeredId !== id || body !== `ran ${id}`)) {
			problems.push(`mixed: ${at} got "${body.slice(0, 40)}"`);
		}

		const ran = ranById.get(id);
		if (ran && ran.bytes !== client.bytes) {
			problems.push(`cut body: ${at} ran with ${ran.bytes} bytes`);
		}

		if (!repeatable && count > 1) {
			problems.push(`twice: ${at} ran ${count} times`);
		}

		if (!repeatable && refusals.has(status) && count > 0) {
			problems.push(`refused: ${at} was answered ${status} and ran`);
		}
	}

	return problems;
}

/** Finds requests that reached an upstream and whose connection a planned stop ended. */
function findCut({clients, upstreams, disturbances}: History): string[] {
	const arrived = new Set(upstreams.map(({id}) => id));
	return clients
		.filter(({id, status, host, sentAt, endedAt}) => {
			const around = disturbances.filter(
				(other) =>
					other.host === host && other.from < endedAt && other.until > sentAt,
			);
			const isPlanned =
				around.length > 0 && around.every(({kind}) => kind === 'term');
			return status === 0 && isPlanned && arrived.has(id);
		})
		.map(
			({id, host, sentAt, endedAt}) =>
				`cut: ${id} by the planned stop of ${host} after ${Math.round(endedAt - sentAt)} ms`,
		);
}

/** Time without a fault before a request after which a planned stop alone explains its end, ms; of the platform's rule. */
const stabilityMs = 3000;

/** Finds requests that a stopping node answered itself while an upstream was at work on them. */
function findGivenUp(history: History): string[] {
	const {clients, upstreams, disturbances, faults} = history;
	const runs = new Map<string, UpstreamRecord[]>();
	for (const run of upstreams.filter(({hasRun}) => hasRun)) {
		runs.set(run.id, [...(runs.get(run.id) ?? []), run]);
	}

	return clients
		.filter(({id, host, status, isSigned, sentAt, endedAt, expiresAt}) => {
			const isStopping = disturbances.some(
				(other) =>
					other.kind === 'term' &&
					other.host === host &&
					other.from < endedAt &&
					other.until > sentAt,
			);
			const isCalm = faults.every(
				({from, until}) => from > endedAt || until < sentAt - stabilityMs,
			);
			const isAtWork = runs
				.get(id)
				?.some(({at, completesAt}) => at < endedAt && endedAt < completesAt);
			return (
				isStopping &&
				isCalm &&
				isAtWork === true &&
				status !== 0 &&
				!isSigned &&
				endedAt < expiresAt
			);
		})
		.map(
			({id, host, status, sentAt, endedAt, expiresAt}) =>
				`given up: ${id} at ${host} with ${status} after ${Math.round(endedAt - sentAt)} of ${Math.round(expiresAt - sentAt)} ms`,
		);
}

function countMost(times: readonly number[], windowMs: number): number {
	let most = 0;
	let first = 0;
	for (const [index, at] of times.entries()) {
		while (times[first]! < at - windowMs) {
			first++;
		}

		most = Math.max(most, index - first + 1);
	}

	return most;
}

/** Finds whether nodes have acted against what an upstream said. */
function findBrokenStatement(
	{upstream, statement, from, until}: StatementRecord,
	{upstreams, clients, disturbances}: History,
): string | undefined {
	const hosts = new Map(clients.map(({id, host}) => [id, host]));

	/** Tells whether the node where a request began is not bound by what it passed on before. */
	function isExcused({id, at}: UpstreamRecord): boolean {
		return disturbances.some(
			(other) =>
				other.host === hosts.get(id) && other.from < at && other.until > from,
		);
	}

	const arrivals = upstreams.filter(
		(record) =>
			record.upstream === upstream && record.at > from && !isExcused(record),
	);
	switch (statement.kind) {
		case 'leaving': {
			// A node is bound from the answer that it has passed on.
			const upstreamOf = new Map(
				upstreams.map((record) => [record.id, record.upstream]),
			);
			const toldAt = new Map<string, number>();
			for (const {id, host, tellsLeaving, endedAt} of clients) {
				if (tellsLeaving && upstreamOf.get(id) === upstream) {
					toldAt.set(host, Math.min(endedAt, toldAt.get(host) ?? endedAt));
				}
			}

			const late = arrivals.filter(({id, at}) => {
				const bound = toldAt.get(hosts.get(id) ?? '');
				return bound !== undefined && at > bound + bindsAfterMs;
			});
			return late.length === 0
				? undefined
				: `leaving: ${upstream} got ${late.length} requests, first ${late[0]!.id}`;
		}

		case 'limit': {
			const {perSecond} = statement;
			const times = arrivals
				.map(({at}) => at)
				.filter((at) => at > from + limitAfterMs && at < until);
			const most = countMost(times, limitWindowMs);
			const allowed =
				(limitFactor * perSecond * limitWindowMs) / 1000 + limitSlack;
			return most <= allowed
				? undefined
				: `limit: ${upstream} got ${most} requests, allowed ${allowed}`;
		}
	}
}

function findLackOfRecovery({clients, calmFrom}: History): string[] {
	const last = clients.filter(({sentAt}) => sentAt > calmFrom + recoveryMs);
	const served = last.filter((client) => isSuccess(client)).length;
	return last.length === 0 || served < last.length * minServedShare
		? [`recovery: ${served} of the last ${last.length} were served`]
		: [];
}

/**
 * Finds what a run of the soak has broken, from what clients and upstreams saw.
 *
 * @param history - the run
 * @returns one line for each broken promise
 */
export function findBrokenPromises(history: History): readonly string[] {
	return [
		...history.crashes,
		...findBrokenAnswers(history),
		...findCut(history),
		...findGivenUp(history),
		...history.statements
			.map((record) => findBrokenStatement(record, history))
			.filter((problem) => problem !== undefined),
		...findLackOfRecovery(history),
	];
}
