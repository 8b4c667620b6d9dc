#!/usr/bin/env node
/**
 * Runs the platform stand-in as a process: prints its URL as one JSON line and stops on SIGTERM.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {startPlatform} from './platform-stand-in.js';

const {values} = parseArgs({
	options: {
		host: {type: 'string', default: '127.0.0.1'},
		port: {type: 'string', default: '0'},
	},
});
const platform = await startPlatform({
	host: values.host,
	port: Number(values.port),
});
process.once('SIGTERM', () => {
	void platform.stop();
});
console.log(JSON.stringify({url: platform.url}));
