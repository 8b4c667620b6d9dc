/**
 * Load generator process: runs the plan in its first argument and prints the
 * report as one JSON line.
 */
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {Agent, request} from 'undici';
import {createStreamRecord, type StreamRecord} from './create-stream-record.js';
import {loadPlanSchema, type Stream} from './load-plan.js';

const plan = loadPlanSchema.parse(JSON.parse(process.argv[2] ?? ''));
const generator = xoroshiro128plus(plan.seed);
const agent = new Agent({pipelining: 1, connections: 512});
const msPerSecond = 1000;

async function send(
	stream: Stream,
	index: number,
	startedAt: number,
	record: StreamRecord | undefined,
): Promise<void> {
	const url = stream.urls[index % stream.urls.length]!;
	try {
		const {statusCode, headers, body} = await request(url, {
			dispatcher: agent,
			method: stream.method,
			headers: stream.headers,
			body: stream.method === 'POST' ? '{"amount":12}' : undefined,
		});
		await body.arrayBuffer();
		const latencyMs = performance.now() - startedAt;
		const outcome = headers['boragehitch-outcome'];
		const reason = String(headers['boragehitch-reason'] ?? '');
		if (outcome === 'not-run' || outcome === 'unknown') {
			record?.add(outcome, latencyMs, reason);
		} else if (statusCode === 200) {
			record?.add('answered', latencyMs, '');
		} else {
			record?.add('failed', latencyMs, `status ${statusCode}`);
		}
	} catch (error) {
		record?.add('failed', performance.now() - startedAt, String(error));
	}
}

async function runClosed(
	stream: Stream,
	endAt: number,
	record: StreamRecord | undefined,
): Promise<void> {
	await Promise.all(
		Array.from({length: stream.concurrency}, async (_, worker) => {
			for (let turn = worker; performance.now() < endAt; turn++) {
				await send(stream, turn, performance.now(), record);
			}
		}),
	);
}

async function runOpen(
	stream: Stream,
	endAt: number,
	record: StreamRecord | undefined,
): Promise<void> {
	const sent: Array<Promise<void>> = [];
	let dueAt = performance.now();
	while (dueAt < endAt) {
		dueAt +=
			(-Math.log(1 - uniformFloat64(generator)) * msPerSecond) / stream.rate;
		if (dueAt > performance.now()) {
			await delay(dueAt - performance.now());
		}

		sent.push(send(stream, sent.length, dueAt, record));
	}

	await Promise.all(sent);
}

async function runPhase(
	phase: ReadonlyArray<{stream: Stream; record: StreamRecord}>,
	isWarmup: boolean,
): Promise<void> {
	const endAt = performance.now() + plan.phaseMs;
	await Promise.all(
		phase.map(async ({stream: planned, record}) => {
			const stream = isWarmup
				? {...planned, concurrency: plan.warmupConcurrency}
				: planned;
			const kept = isWarmup ? undefined : record;
			await (stream.rate > 0 && !isWarmup
				? runOpen(stream, endAt, kept)
				: runClosed(stream, endAt, kept));
			kept?.endRound();
		}),
	);
}

const phases = plan.phases.map((streams) =>
	streams.map((stream) => ({stream, record: createStreamRecord(stream)})),
);
for (let round = -plan.warmupRounds; round < plan.rounds; round++) {
	for (const phase of phases) {
		await runPhase(phase, round < 0);
	}
}

console.log(JSON.stringify(phases.flat().map(({record}) => record.report())));
await agent.destroy();
