/**
 * Announces an upstream to its node, and renews the announcement before its lease ends.
 */
import {Agent, request} from 'undici';

/**
 * What the node is told of an upstream.
 */
export type Announcement = {
	readonly team: string;
	readonly service: string;
	readonly address: string;
	readonly slots: number;
	readonly connections: number;
	readonly state: 'ready' | 'leaving';
};

const periodMs = 1000;
const timeoutMs = 1000;

/**
 * Sends announcements one at a time. A failed one is made good by the next tick.
 */
export class Announcer {
	#announcement: Announcement;
	#timer: NodeJS.Timeout | undefined;
	#last: Promise<void> = Promise.resolve();
	readonly #url: string;
	readonly #agent = new Agent();

	constructor(node: string, id: string, announcement: Announcement) {
		this.#url = `${node}/upstreams/${encodeURIComponent(id)}`;
		this.#announcement = announcement;
	}

	/**
	 * Sends the first announcement and then one each second.
	 */
	async start(): Promise<void> {
		this.#timer = setInterval(() => {
			void this.#announce();
		}, periodMs);
		await this.#announce();
	}

	/**
	 * Announces that the upstream is leaving, and goes on renewing that.
	 */
	async leave(): Promise<void> {
		this.#announcement = {...this.#announcement, state: 'leaving'};
		await this.#announce();
	}

	/**
	 * Ends the announcements and withdraws the upstream.
	 */
	async withdraw(): Promise<void> {
		clearInterval(this.#timer);
		await this.#last;
		await this.#send('DELETE');
		await this.#agent.destroy();
	}

	async #announce(): Promise<void> {
		const previous = this.#last;
		this.#last = (async () => {
			await previous;
			await this.#send('PUT', JSON.stringify(this.#announcement));
		})();
		await this.#last;
	}

	async #send(method: 'PUT' | 'DELETE', body?: string): Promise<void> {
		try {
			const answer = await request(this.#url, {
				method,
				body,
				headers: body ? {'content-type': 'application/json'} : {},
				dispatcher: this.#agent,
				signal: AbortSignal.timeout(timeoutMs),
			});
			await answer.body.dump();
		} catch {
			// The next tick tries again; a failed withdrawal is made good by the end of the lease.
		}
	}
}
