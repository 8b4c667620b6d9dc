/**
 * The way of a request on the users' platform in the own process, for tests of
 * tenants: a caller's node, a gate's node and an upstream that answers 500, so
 * that each request is logged.
 */
import {
	createServer,
	type IncomingHttpHeaders,
	type OutgoingHttpHeaders,
} from 'node:http';
import type {TestContext} from 'node:test';
import {createGateHandlers} from '../create-gate-handlers.js';
import {createSampleMember} from '../create-sample-member.js';
import {createSampleRoute} from '../create-sample-route.js';
import type {Attempt} from '../../src/protocol/attempt.js';
import type {RefusalEvent} from '../../src/protocol/observer.js';
import type {DocumentTenant} from '../../src/protocol/routing-document.js';
import {combineObservers} from '../../src/transport/_lib/combine-observers.js';
import {createAccessLog} from '../../src/transport/_lib/create-access-log.js';
import {createForwarder} from '../../src/transport/create-forwarder.js';
import type {Logger} from '../../src/transport/create-logger.js';
import {startCallerTask} from '../../src/transport/start-caller-task.js';
import {startGateTask} from '../../src/transport/start-gate-task.js';
import {startPeerServer} from '../../src/transport/start-peer-server.js';
import {platformEdge} from '../../platform/edge.js';
import {listen, sendRequest} from './platform-node.js';

/**
 * Starts the way of a request.
 *
 * @param t - test at whose end it is stopped
 * @param documentTenants - tenants of the document; `none` for one in which no request needs a key
 * @returns what the nodes know, which the test changes, what they did, and how to send a request
 */
export async function startTenantPath(
	t: TestContext,
	documentTenants: readonly DocumentTenant[] | 'none',
) {
	const context = {confirmedAgeMs: 0, proofAgeMs: 0, lagMs: 0};
	const seen: IncomingHttpHeaders[] = [];
	const forwarded: Attempt[] = [];
	const refusals: RefusalEvent[] = [];
	const lines: string[] = [];
	const write: Logger['info'] = (message, fields) => {
		lines.push(JSON.stringify({message, ...fields}));
	};

	const logger: Logger = {
		error: write,
		warn: write,
		info: write,
		debug: write,
		child: () => logger,
	};
	const accessLog = createAccessLog({
		logger,
		readVersion: () => 1,
		now: () => 0,
	});
	const upstream = createServer((request, response) => {
		seen.push(request.headers);
		response.setHeader(
			'x-boragehitch-request-id',
			String(request.headers['x-boragehitch-request-id']),
		);
		response.statusCode = 500;
		response.end();
	});
	const gate = startGateTask({
		logger,
		observer: accessLog,
		edge: platformEdge,
	});
	gate.announce('i-1', {
		team: '',
		service: 'pricebook',
		address: await listen(upstream, t),
		slots: 2,
		connections: 4,
		state: 'ready',
	});
	const peerServer = await startPeerServer({
		address: '127.0.0.1:0',
		gate,
		logger,
		handlers: createGateHandlers(gate),
	});
	const callerGate = startGateTask({logger, edge: platformEdge});
	const forwarder = createForwarder();
	const caller = await startCallerTask({
		name: 'abdali-1',
		dataCentre: 'abdali',
		address: '127.0.0.1:0',
		gate: callerGate,
		forwarder: {
			...forwarder,
			async forwardAttempt(address, attempt) {
				forwarded.push(attempt);
				return forwarder.forwardAttempt(address, attempt);
			},
		},
		logger,
		observer: combineObservers([
			accessLog,
			{
				onRefusal(event) {
					refusals.push(event);
				},
			},
		]),
		edge: platformEdge,
		readLag: () => context.lagMs,
		readConfirmedAge: () => context.confirmedAgeMs,
		readProofAge: () => context.proofAgeMs,
		maxProofAgeMs: 4400,
	});
	t.after(async () => {
		await Promise.all([caller.stop(), peerServer.stop()]);
		await Promise.all([forwarder.stop(), callerGate.stop(), gate.stop()]);
	});
	caller.updateRoutes({
		kind: 'document',
		document: {
			version: 1,
			routes: [
				createSampleRoute('a', {priority: 3}),
				createSampleRoute('open', {isPublic: true}),
			],
			services: {},
			...(documentTenants !== 'none' && {tenants: documentTenants}),
		},
	});
	const {address} = peerServer;
	const member = createSampleMember({name: 'abdali-2', address});
	const {name: host, dataCentre} = member;
	caller.updateMembers({
		self: createSampleMember(),
		members: [member],
		candidates: new Map([
			['pricebook', [{host, address, dataCentre, slots: 2, sinceMs: 0}]],
		]),
	});
	const call = async (path: string, headers: OutgoingHttpHeaders = {}) =>
		sendRequest(caller.address, path, {headers});
	return {
		context,
		seen,
		forwarded,
		refusals,
		lines,
		call,
		async readStatus(path: string, headers?: OutgoingHttpHeaders) {
			const {status} = await call(path, headers);
			return status;
		},
	};
}
