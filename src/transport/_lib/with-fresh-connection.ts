import {Client} from 'undici';
import {connectTimeoutMs} from '../../protocol/constants.js';

/**
 * Does something over a new connection, which is closed afterwards.
 *
 * @param address - IP and port of the other end
 * @param action - what to do with the connection
 * @returns what the action returns
 */
export async function withFreshConnection<T>(
	address: string,
	action: (client: Client) => Promise<T>,
): Promise<T> {
	const client = new Client(`http://${address}`, {
		connectTimeout: connectTimeoutMs,
		pipelining: 1,
		headersTimeout: 0,
		bodyTimeout: 0,
	});
	try {
		return await action(client);
	} finally {
		void client.close();
	}
}
