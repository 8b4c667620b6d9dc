import {Agent} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {msPerSecond} from '../../src/protocol/constants.js';
import {readProcessUsage} from './read-process-usage.js';
import {sendSample, type SampleAnswer} from './send-sample.js';
import {
	formatKindPath,
	type ForwardingPair,
	type RequestKind,
} from './start-platform-pair.js';

/** A load of requests of one kind. */
export type CostLoad = {
	readonly kind: RequestKind;
	/** Requests a second. */
	readonly rate: number;
	readonly seconds: number;
};

/** What a process has used: a request, or a second without requests. */
export type RequestCost = {
	readonly cpuMs: number;
	/** System calls that read or write. */
	readonly reads: number;
	readonly writes: number;
	readonly waits: number;
	/** Length of the measurement, s. */
	readonly seconds: number;
};

/** Share of the requests that may have another answer than they should. */
const maxOtherShare = 0.05;

/** How often a load is sent until few requests have another answer. */
const maxTries = 4;

/** Requests in flight. */
const maxInFlight = 4;

/** Time after which a request counts as unanswered, ms. */
const answerTimeoutMs = 10_000;

const statusOk = 200;
const statusRefused = 503;
const expectedStatuses: Readonly<Record<RequestKind, number>> = {
	served: statusOk,
	calling: statusOk,
	'caller-refused': statusRefused,
	'gate-refused': statusRefused,
};

/** Reads what each process has used since a moment. */
async function startReading(pair: ForwardingPair) {
	const read = async () =>
		Promise.all(pair.processes.map(async ({pid}) => readProcessUsage(pid!)));
	const before = await read();
	const startedAt = performance.now();
	return async (count: number): Promise<readonly RequestCost[]> => {
		const after = await read();
		const seconds = (performance.now() - startedAt) / msPerSecond;
		return after.map((usage, index) => {
			const start = before[index]!;
			return {
				cpuMs: (usage.cpuMs - start.cpuMs) / count,
				reads: (usage.reads - start.reads) / count,
				writes: (usage.writes - start.writes) / count,
				waits: (usage.waits - start.waits) / count,
				seconds: seconds / count,
			};
		});
	};
}

/**
 * Measures what processes use without requests.
 *
 * @param pairs - the processes
 * @param seconds - how long
 * @returns what each process of each pair has used a second
 * @example
 * await measureIdleCost([pair], 1);
 */
export async function measureIdleCost(
	pairs: readonly ForwardingPair[],
	seconds: number,
): Promise<ReadonlyArray<readonly RequestCost[]>> {
	const finishes = await Promise.all(pairs.map(async (it) => startReading(it)));
	await wait(seconds * msPerSecond);
	return Promise.all(finishes.map(async (finish) => finish(seconds)));
}

/** An answer, or why there was none. */
type Outcome = SampleAnswer | Error;

function formatOutcome(outcome: Outcome): string {
	return outcome instanceof Error
		? outcome.message
		: `${outcome.status} ${outcome.reason}`.trim();
}

/** Describes the answers that are not those of the kind; undefined when they are few. */
function describeOthers(
	kind: RequestKind,
	outcomes: readonly Outcome[],
): string | undefined {
	const expected = expectedStatuses[kind];
	const others = outcomes.filter(
		(outcome) => outcome instanceof Error || outcome.status !== expected,
	);
	if (others.length <= outcomes.length * maxOtherShare) {
		return undefined;
	}

	const seen = new Map<string, number>();
	for (const other of others) {
		const text = formatOutcome(other);
		seen.set(text, (seen.get(text) ?? 0) + 1);
	}

	const texts = [...seen].map(([text, count]) => `${text} (${count})`);
	return `${others.length} of ${outcomes.length} requests were not answered with ${expected}: ${texts.join(', ')}`;
}

/** Sends the requests of a load; no more than a few at a time, so that a busy machine slows the load down instead of the nodes refusing it. */
async function sendLoad(
	{address}: ForwardingPair,
	{kind, rate, seconds}: CostLoad,
): Promise<readonly Outcome[]> {
	const agent = new Agent({keepAlive: true});
	const count = Math.max(1, Math.round(rate * seconds));
	const startedAt = performance.now();
	const outcomes: Outcome[] = [];
	let sent = 0;

	async function send(index: number): Promise<Outcome> {
		try {
			return await sendSample(address, {
				path: formatKindPath(kind, index),
				agent,
				id: `request-${index}`,
				signal: AbortSignal.timeout(answerTimeoutMs),
			});
		} catch (error) {
			return error instanceof Error ? error : new Error(String(error));
		}
	}

	async function sendNext(): Promise<void> {
		while (sent < count) {
			const index = sent;
			sent++;
			const dueAt = startedAt + (index / rate) * msPerSecond;
			await wait(Math.max(0, dueAt - performance.now()));
			outcomes.push(await send(index));
		}
	}

	await Promise.all(Array.from({length: maxInFlight}, async () => sendNext()));
	agent.destroy();
	return outcomes;
}

/**
 * Sends requests of one kind at a steady rate and measures what each process of
 * a pair uses for one of them. A load is sent again when the nodes were too busy
 * for it.
 *
 * @param name - name of the pair, for messages
 * @param pair - the processes
 * @param load - see `CostLoad`
 * @returns costs of a request, by process, with what the processes use anyway
 * @throws when more than a few requests are not answered as their kind should be
 * @example
 * await measureRequestCost('node', pair, {kind: 'served', rate: 100, seconds: 2});
 */
export async function measureRequestCost(
	name: string,
	pair: ForwardingPair,
	load: CostLoad,
): Promise<readonly RequestCost[]> {
	const {kind} = load;
	for (let number = 1; ; number++) {
		const finish = await startReading(pair);
		const outcomes = await sendLoad(pair, load);
		const costs = await finish(outcomes.length);
		const others = describeOthers(kind, outcomes);
		if (others === undefined) {
			return costs;
		}

		const problem = `${name}, ${kind}: ${others}`;
		if (number === maxTries) {
			throw new Error(problem);
		}

		console.log(`again: ${problem}`);
	}
}
