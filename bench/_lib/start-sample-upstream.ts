import {Agent, createServer} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {listenOn} from '../../fakes/json-http.js';
import {createAnswerHeaders} from '../../fakes/platform-messages.js';
import {requestIdName} from '../../platform/wire-names.js';
import {sendSample} from './send-sample.js';

/** Requests below `path` make a call of `calledPath` at the address. */
export type SampleCalls = {
	readonly path: string;
	readonly address: string;
	readonly calledPath: string;
};

/** How the upstream of a benchmark answers. */
export type SampleUpstreamOptions = {
	readonly ip: string;
	/** Time that a request takes, ms. */
	readonly serviceMs: number;
	/** Paths below this one are never answered. */
	readonly holdPath?: string;
	readonly calls?: SampleCalls;
};

/** A running upstream. */
export type SampleUpstream = {
	readonly address: string;
	stop(): void;
};

/** Deadline of a call, ms. */
const callDeadlineMs = 3000;

const answerBytes = 600;
const answer = 'x'.repeat(answerBytes);
const statusOk = 200;
const statusError = 500;

/**
 * Starts an upstream in this process.
 *
 * @param options - see `SampleUpstreamOptions`
 * @returns the upstream, which listens
 * @example
 * const {address} = await startSampleUpstream({ip: '127.0.0.1', serviceMs: 5});
 */
export async function startSampleUpstream({
	ip,
	serviceMs,
	holdPath,
	calls,
}: SampleUpstreamOptions): Promise<SampleUpstream> {
	const agent = new Agent({keepAlive: true});

	async function call(
		{address, calledPath}: SampleCalls,
		id: string,
	): Promise<number> {
		try {
			const {status} = await sendSample(address, {
				path: calledPath,
				agent,
				id: `${id}-call`,
				deadlineMs: callDeadlineMs,
			});
			return status;
		} catch {
			return statusError;
		}
	}

	/** Serves a request; returns the status of its answer. */
	async function serve(path: string, id: string): Promise<number> {
		const isCaller = calls !== undefined && path.startsWith(calls.path);
		const [status] = await Promise.all([
			isCaller ? call(calls, id) : statusOk,
			wait(serviceMs),
		]);
		return status === statusOk ? statusOk : statusError;
	}

	const server = createServer((request, response) => {
		request.resume();
		const {url = '/', headers} = request;
		if (holdPath !== undefined && url.startsWith(holdPath)) {
			return;
		}

		const id = String(headers[requestIdName]);
		void serve(url, id).then((status) => {
			response.writeHead(status, createAnswerHeaders(id));
			response.end(answer);
		});
	});
	const url = await listenOn(server, ip, 0);
	return {
		address: new URL(url).host,
		stop() {
			agent.destroy();
			server.closeAllConnections();
			server.close();
		},
	};
}
