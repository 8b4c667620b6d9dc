/**
 * Messages in the platform's form for benchmarks: a document with one route, the
 * settings of a node, a heartbeat and the headers of requests and answers.
 */
import type {OutgoingHttpHeaders} from 'node:http';
import {stringify} from 'yaml';
import {deadlineName, requestIdName} from '../platform/wire-names.js';

/** Host name of the route. */
const routeHost = 'prices.example';

const service = 'pricebook';
const slots = 50;
const deadlineMs = 4000;
const ports = {
	callers: 8100,
	readiness: 8101,
	announcements: 8102,
	peers: 8110,
};

/** Path of a request that the route takes. */
export const samplePath = '/prices/1';

/** Path to which the sample server announces itself. */
export const heartbeatPath = '/instances/i-1/heartbeat';

/** A document with one route and its service. */
export const sampleDocument = {
	version: '00000001',
	resources: [
		{
			resource_type: 'routes',
			metadata: {name: 'prices'},
			spec: {
				host: routeHost,
				path_prefix: '/prices/',
				kind: 'idempotent',
				timeout_s: 2,
				target_latency_s: 0.4,
				service,
				max_attempts: 3,
			},
		},
		{
			resource_type: 'services',
			metadata: {name: service},
			spec: {health_path: '/health', max_connections: 100},
		},
	],
};

/** Addresses of a node for callers and for announcements. */
export function createSampleAddresses(ip: string): {
	readonly callers: string;
	readonly announcements: string;
} {
	return {
		callers: `${ip}:${ports.callers}`,
		announcements: `${ip}:${ports.announcements}`,
	};
}

/** Formats the settings file of a node on an IP of its own. */
export function formatSampleSettings(ip: string, store: string): string {
	const {callers, announcements} = createSampleAddresses(ip);
	return stringify({
		node_name: `node-${ip}`,
		ip,
		zone: 'z',
		listen_addrs: {
			outbound: callers,
			ready: `${ip}:${ports.readiness}`,
			control: announcements,
		},
		internal_port_range: [ports.peers, ports.peers + 9],
		bounds: {grace_s: 4, retry_ratio: 0.2, retry_slack: 50, retry_window_s: 10},
		service: 'shop',
		platform: {address: store},
	});
}

/** Formats what a server says of itself. */
export function formatSampleHeartbeat(
	address: string,
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
export function createRequestHeaders(id: string): OutgoingHttpHeaders {
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
