#!/usr/bin/env node
/**
 * Runs an upstream stand-in as a process: prints its URL as one JSON line, and leaves its node and stops on SIGTERM.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {startUpstream} from './upstream-stand-in.js';

const {values} = parseArgs({
	options: {
		service: {type: 'string'},
		team: {type: 'string'},
		id: {type: 'string'},
		node: {type: 'string'},
		host: {type: 'string', default: '127.0.0.1'},
		port: {type: 'string', default: '0'},
		slots: {type: 'string', default: '6'},
		'service-ms': {type: 'string', default: '1'},
		connections: {type: 'string', default: '110'},
		'cold-start-ms': {type: 'string', default: '0'},
		'data-centre': {type: 'string'},
	},
});
const {service, team, id, node} = values;
if (!service || !team || !id || !node) {
	throw new Error('--service, --team, --id and --node are needed');
}

const upstream = await startUpstream({
	service,
	team,
	id,
	node,
	host: values.host,
	port: Number(values.port),
	slots: Number(values.slots),
	serviceMs: Number(values['service-ms']),
	connections: Number(values.connections),
	coldStartMs: Number(values['cold-start-ms']),
	dataCentre: values['data-centre'],
});
process.once('SIGTERM', () => {
	void upstream.stop();
});
console.log(JSON.stringify({url: upstream.url}));
