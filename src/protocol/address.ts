/**
 * Schemas of IPv4 addresses with a port.
 */
import * as z from 'zod';
import {maxPort} from './constants.js';

const addressPattern =
	/^(?:(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)\.){3}(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d):(?<port>0|[1-9]\d{0,4})$/v;

function isAddress(text: string, minPort: number): boolean {
	const port = Number(addressPattern.exec(text)?.groups?.port);
	return port >= minPort && port <= maxPort;
}

/** The address of a process that can be connected to. Connecting to 0.0.0.0 reaches the own host. */
export const addressSchema = z
	.string()
	.refine(
		(text) => isAddress(text, 1) && !text.startsWith('0.0.0.0:'),
		'not IP:PORT with a port from 1 to 65535',
	);

/** The address of a listener; port 0 takes a free one. */
export const listenAddressSchema = z
	.string()
	.refine(
		(text) => isAddress(text, 0),
		'not IP:PORT with a port from 0 to 65535',
	);
