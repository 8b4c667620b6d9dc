/**
 * Runs a plain forwarder of two hops: the base against which the processor time
 * of a request is measured. `node start-two-hop.js IP:PORT NEXT_IP:PORT`, with
 * one such pair of addresses for each direction.
 */
import process from 'node:process';
import {startPlainForwarder} from './start-plain-forwarder.js';

const addresses = process.argv.slice(2);
for (let index = 0; index + 1 < addresses.length; index += 2) {
	await startPlainForwarder(addresses[index]!, addresses[index + 1]!);
}
