/**
 * Messages in the platform's form for benchmarks: a document with one route, the
 * settings of a node, a heartbeat and the headers of requests and answers.
 */
import type {OutgoingHttpHeaders} from 'node:http';
import {stringify} from 'yaml';
import {deadlineName, requestIdName} from '../platform/wire-names.js';

/** Host name of the route. */
const routeHost = 'prices.example';

const usualDeadlineMs = 4000;
const usualTimeoutSeconds = 2;
const usualObjectiveSeconds = 0.4;
const usualAttempts = 3;

/** Path of a request that the route takes. */
export const samplePath = '/prices/1';

/** Service of the route that `samplePath` matches. */
export const sampleService = 'pricebook';

/** A route of a document, matched by `/NAME/`. */
export type SampleRoute = {
	readonly name: string;
	readonly service: string;
	/** Longest time that a request may take, s; 2 when absent. */
	readonly timeoutSeconds?: number;
	/** Time after which an answer has lost value, s; 0.4 when absent. */
	readonly objectiveSeconds?: number;
	/** Maximum count of attempts at a request; 3 when absent. */
	readonly attempts?: number;
};

/** Ports of a node on its IP. */
export type SamplePorts = {
	readonly callers: number;
	readonly readiness: number;
	readonly announcements: number;
	readonly peers: number;
};

/** A server as it announces itself. */
export type SampleServer = {
	readonly id: string;
	readonly service: string;
	readonly address: string;
	readonly slots: number;
};

/** Creates a document with routes and their services. */
export function createSampleDocument(routes: readonly SampleRoute[]): unknown {
	const services = [...new Set(routes.map(({service}) => service))];
	return {
		version: '00000001',
		resources: [
			...routes.map(({name, service, ...limits}) => ({
				resource_type: 'routes',
				metadata: {name},
				spec: {
					host: routeHost,
					path_prefix: `/${name}/`,
					kind: 'idempotent',
					timeout_s: limits.timeoutSeconds ?? usualTimeoutSeconds,
					target_latency_s: limits.objectiveSeconds ?? usualObjectiveSeconds,
					service,
					max_attempts: limits.attempts ?? usualAttempts,
				},
			})),
			...services.map((service) => ({
				resource_type: 'services',
				metadata: {name: service},
				spec: {health_path: '/health', max_connections: 100},
			})),
		],
	};
}

/** Formats the settings file of a node on an IP of its own. */
export function formatSampleSettings(
	ip: string,
	ports: SamplePorts,
	store: string,
): string {
	return stringify({
		node_name: `node-${ip}`,
		ip,
		zone: 'z',
		listen_addrs: {
			outbound: `${ip}:${ports.callers}`,
			ready: `${ip}:${ports.readiness}`,
			control: `${ip}:${ports.announcements}`,
		},
		internal_port_range: [ports.peers, ports.peers],
		bounds: {grace_s: 4, retry_ratio: 0.2, retry_slack: 50, retry_window_s: 10},
		service: 'shop',
		platform: {address: store},
	});
}

/** Formats the path to which a server announces itself. */
export function formatHeartbeatPath(id: string): string {
	return `/instances/${id}/heartbeat`;
}

/** Formats what a server says of itself. */
export function formatSampleHeartbeat(
	{address, service, slots}: SampleServer,
	sequence: number,
): string {
	return JSON.stringify({
		address,
		born: 5,
		info: {service, slots},
		status: {state: 'ready', sequence},
	});
}

/** Headers of a client's request. */
export function createRequestHeaders(
	id: string,
	deadlineMs = usualDeadlineMs,
): OutgoingHttpHeaders {
	return {
		host: routeHost,
		[requestIdName]: id,
		[deadlineName]: String(deadlineMs),
	};
}

/** Headers of a server's answer. */
export function createAnswerHeaders(id: string): OutgoingHttpHeaders {
	return {[requestIdName]: id, 'x-boragehitch-response-signature': 'signed'};
}
