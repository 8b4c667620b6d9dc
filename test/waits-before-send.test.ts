import assert from 'node:assert/strict';
import test from 'node:test';
import {
	startRequestPath,
	waitPlaces,
	type PathOutcome,
	type PathRequest,
	type Waits,
} from '../harness/start-request-path.js';

/** Time after its client has left from which a request must not reach an upstream, ms. */
const maxLateMs = 500;

const deadlineMs = 350;

type Case = {
	readonly name: string;
	readonly isKept: boolean;
	readonly request: PathRequest;
};

/** Sends a request to nodes that have just started, or on connections that are kept. */
async function runCase({isKept, request}: Case): Promise<PathOutcome> {
	const path = await startRequestPath();
	if (isKept) {
		await path.sendRequest({waits: {}, deadlineMs});
	}

	const outcome = await path.sendRequest(request);
	await path.stop();
	return outcome;
}

function createCases(
	waits: Waits,
	changes: Partial<PathRequest> = {},
): readonly Case[] {
	return [false, true].map((isKept) => ({
		name: `${isKept ? 'kept' : 'new'} ${JSON.stringify({...waits, ...changes})}`,
		isKept,
		request: {waits, deadlineMs, ...changes},
	}));
}

/** Runs the cases and lists those whose request reached the upstream too late. */
async function listLate(cases: readonly Case[]): Promise<readonly string[]> {
	const late: string[] = [];
	for (const item of cases) {
		const {arrivedAfterLeavingMs = 0} = await runCase(item);
		if (arrivedAfterLeavingMs > maxLateMs) {
			late.push(`${item.name}: ${arrivedAfterLeavingMs} ms late`);
		}
	}

	return late;
}

test('a request that waits at any one place is not sent on after its client has left', async () => {
	const cases = waitPlaces.flatMap((place) =>
		[900, 3000].flatMap((ms) => createCases({[place]: ms})),
	);
	assert.deepEqual(await listLate(cases), []);
});

test('a request that waits at two places is not sent on after its client has left', async () => {
	const cases = waitPlaces.flatMap((first, index) =>
		waitPlaces
			.slice(index + 1)
			.flatMap((second) =>
				[480, 900].flatMap((ms) =>
					createCases(
						{[first]: ms, [second]: ms + 20},
						{deadlineMs: ms === 900 ? 1200 : deadlineMs},
					),
				),
			),
	);
	assert.deepEqual(await listLate(cases), []);
});

test('a request whose client leaves early while a node stands still is not sent on', async () => {
	const cases = waitPlaces.flatMap((place) =>
		createCases({[place]: 3000}, {leavesAt: place, deadlineMs: 9000}),
	);
	assert.deepEqual(await listLate(cases), []);
});

test('a request that waits for less than its time is answered', async () => {
	const cases = waitPlaces.flatMap((place) => createCases({[place]: 100}));
	const unserved: string[] = [];
	const passed = new Set<string>();
	for (const item of cases) {
		const outcome = await runCase(item);
		for (const place of outcome.passed) {
			passed.add(place);
		}

		if (outcome.arrivedAfterLeavingMs === undefined) {
			unserved.push(item.name);
		}
	}

	assert.deepEqual(unserved, []);
	assert.deepEqual(passed, new Set(waitPlaces));
});
