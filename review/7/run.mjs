/* eslint-disable camelcase, no-unmodified-loop-condition -- names on the wire, and flags that callbacks change */
/**
 * A node is stopped with SIGTERM while clients send two requests at a time on a
 * connection. Each request that a server ran must be answered.
 */
import {
	cannotRun,
	createRecord,
	createRoute,
	createService,
	finishCase,
	hasTrouble,
	limits,
	startDeployment,
	wait,
} from '../_lib-2/case.mjs';
import {formatRequest, openConnection} from '../_lib-2/http.mjs';

const connections = 6;
const runsMs = 8000;
const stopAtMs = 3000;
const graceMs = 6000;

const record = createRecord(import.meta.dirname);
const runs = new Map();
const requests = new Map();
let lastId = 0;

function onRun(run) {
	runs.set(run.id, run);
	record.write(`run ${run.id} at ${run.server}`);
}

const deployment = await startDeployment({
	network: '127.61.7',
	resources: [
		createRoute('client-lookup', {
			path_prefix: '/clients/',
			kind: 'idempotent',
			service: 'filing-desk',
		}),
		createService('filing-desk'),
		limits,
	],
	machines: ['a', 'b', 'c'].map((name) => ({
		name,
		zone: `prairie-${name}`,
		service: 'filing-desk',
		workMs: () => 100,
		onRun,
	})),
});
if (!deployment) {
	await cannotRun(record, 'a node did not become ready');
}

const [{machine, node}] = deployment.machines;
let isSending = true;

/** Sends two requests at a time until the connection is closed. */
async function runConnection() {
	const sent = [];
	let isClosed = false;
	let wake = () => undefined;
	const connection = openConnection(machine.outbound, {
		onResponse({status, headers}) {
			const request = sent.find(({status: known}) => known === undefined);
			request.status = status;
			record.write(
				`answered ${request.id} ${status} connection: ${headers.connection}`,
			);
			wake();
		},
		onClose(reason) {
			isClosed = true;
			for (const request of sent) {
				if (request.status === undefined) {
					request.closed = reason;
					record.write(`closed without an answer ${request.id} ${reason}`);
				}
			}

			wake();
		},
	});
	while (isSending && !isClosed) {
		const pair = [1, 2].map(() => {
			lastId++;
			const request = {
				id: `r${String(lastId).padStart(6, '0')}`,
				at: performance.now(),
			};
			requests.set(request.id, request);
			record.write(`sent ${request.id}`);
			return request;
		});
		sent.push(...pair);
		connection.write(
			pair
				.map(({id}) =>
					formatRequest({
						path: `/clients/${id}`,
						headers: {
							Host: 'filing.example',
							'X-Boragehitch-Request-Id': id,
							'X-Boragehitch-Deadline-Ms': '1279',
						},
					}),
				)
				.join(''),
		);
		while (!isClosed && pair.some(({status}) => status === undefined)) {
			await new Promise((resolve) => {
				wake = resolve;
			});
		}

		await wait(30);
	}

	while (!isClosed && sent.some(({status}) => status === undefined)) {
		await wait(20);
	}

	connection.close();
}

async function runClient() {
	while (isSending) {
		await runConnection();
		await wait(20);
	}
}

const clients = Array.from({length: connections}, async () => runClient());
await wait(stopAtMs);
let stoppedAt;
if (hasTrouble) {
	stoppedAt = performance.now();
	record.write('SIGTERM to the node of machine a');
	node.child.kill('SIGTERM');
	// After two misses of the readiness check, the clients get no new work.
	await wait(2000);
	isSending = false;
}

await Promise.race([Promise.all(clients), wait(runsMs)]);
isSending = false;
await Promise.race([node.exit, wait(hasTrouble ? graceMs + 1000 : 0)]);
await Promise.race([Promise.all(clients), wait(3000)]);
await deployment.stop();

const lost = [...requests.values()].filter(
	({id, status, closed}) =>
		status === undefined && closed !== undefined && runs.has(id),
);
const served = [...requests.values()].filter(({status}) => status === 200);
for (const {id, at} of lost) {
	const after = at - stoppedAt;
	record.write(
		`LOST ${id}: sent ${after.toFixed(0)} ms after SIGTERM, run at ${runs.get(id).server}, connection closed without an answer`,
	);
}

record.write(
	`${requests.size} sent, ${served.length} served, ${lost.length} run and not answered`,
);
await finishCase(record, {
	hasServed: served.length > 0,
	isBroken: lost.length > 0,
});
