/* eslint-disable camelcase, no-unmodified-loop-condition -- names on the wire, and flags that callbacks change */
/**
 * A server deregisters and goes on serving for some seconds. Its node is killed
 * and starts again; then a heartbeat arrives that the server had sent before. No
 * request may reach the server later than `drain_s` after the acknowledgement.
 */
import {
	bounds,
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
import {sendHeartbeat} from '../_lib-2/server.mjs';

const warmUpMs = 2000;
const killAfterMs = 200;
const downMs = 500;
const heartbeatDelayMs = 4500;
const serveMs = 9000;
const pauseMs = 40;
const clientsOnEachMachine = 3;

const record = createRecord(import.meta.dirname);
const runs = [];
let answered = 0;
let sent = 0;

const deployment = await startDeployment({
	network: '127.61.9',
	resources: [
		createRoute('client-lookup', {
			path_prefix: '/clients/',
			kind: 'idempotent',
			service: 'filing-desk',
		}),
		createService('filing-desk'),
		createService('document-vault'),
		limits,
	],
	machines: ['a', 'b', 'c', 'd'].map((name) => ({
		name,
		zone: name < 'c' ? 'prairie-a' : 'prairie-b',
		service: name < 'c' ? 'filing-desk' : 'document-vault',
		workMs: () => 100,
		onRun(run) {
			runs.push(run);
			record.write(`run ${run.id} at ${run.server}`);
		},
	})),
});
if (!deployment) {
	await cannotRun(record, 'a node did not become ready');
}

const {fleet, machines} = deployment;
const [leaving, , ...others] = machines;
let isSending = true;

/** Sends one request on a new connection; resolves with the status. */
async function send({outbound}) {
	sent++;
	const id = `q${String(sent).padStart(5, '0')}`;
	record.write(`sent ${id}`);
	return new Promise((resolve) => {
		const connection = openConnection(outbound, {
			onResponse({status}) {
				record.write(`answered ${id} ${status}`);
				answered += status === 200 ? 1 : 0;
				resolve();
				connection.close();
			},
			onClose: resolve,
		});
		connection.write(
			formatRequest({
				path: '/clients/1',
				headers: {
					Host: 'filing.example',
					'X-Boragehitch-Request-Id': id,
					'X-Boragehitch-Deadline-Ms': '1279',
				},
			}),
		);
	});
}

async function runClient(machine) {
	while (isSending) {
		await send(machine);
		await wait(pauseMs);
	}
}

const clients = others.flatMap(({machine}) =>
	Array.from({length: clientsOnEachMachine}, async () => runClient(machine)),
);
await wait(warmUpMs);
const lateHeartbeat = leaving.server.createHeartbeat();
const status = await leaving.server.deregister();
const leftAt = performance.now();
record.write(`server i-a has deregistered: acknowledged with ${status}`);
if (hasTrouble) {
	await wait(killAfterMs);
	record.write('SIGKILL to the node of machine a');
	leaving.node.child.kill('SIGKILL');
	await leaving.node.exit;
	await wait(downMs);
	leaving.node = fleet.startNode(leaving.machine);
	record.write('the node of machine a starts again');
}

await wait(leftAt + heartbeatDelayMs - performance.now());
const lateStatus = await sendHeartbeat(
	leaving.machine.control,
	'i-a',
	lateHeartbeat,
);
record.write(
	`heartbeat ${lateHeartbeat.status.sequence} of i-a arrives ${heartbeatDelayMs} ms late: answered with ${lateStatus}`,
);
await wait(leftAt + serveMs - performance.now());
isSending = false;
await Promise.all(clients);
await deployment.stop();

const late = runs.filter(
	({server, at}) => server === 'i-a' && at > leftAt + bounds.drain_s * 1000,
);
for (const {id, at} of late) {
	record.write(
		`DRAIN ${id}: reached i-a ${Math.round(at - leftAt)} ms after the acknowledgement`,
	);
}

record.write(
	`${sent} sent, ${answered} served, ${late.length} too late at i-a`,
);
await finishCase(record, {
	hasServed: status === 200 && answered > 0,
	isBroken: late.length > 0,
});
