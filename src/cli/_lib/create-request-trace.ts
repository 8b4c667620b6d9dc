import type {LogLine} from './parse-log-lines.js';

/** How a request or an attempt ended. */
type Completion = {
	readonly outcome: string | undefined;
	readonly reason: string | undefined;
	readonly status: number | undefined;
	readonly durationMs: number;
};

/** An attempt as logged by the gate of its host. */
export type GateTrace = Completion & {
	readonly queuedMs: number;
	/**
	 * Lower and upper bound of the offset of the gate's clock from the clock of
	 * the caller's node, ms. Follows from the gate handling the attempt between
	 * the start and the end of the attempt at the caller.
	 */
	readonly clockAheadMs: readonly [least: number, most: number];
};

/** One attempt at a host. */
export type AttemptTrace = Completion & {
	readonly number: number;
	readonly host: string;
	readonly service: string | undefined;
	/** Time from the start of the request, ms. */
	readonly startMs: number;
	readonly gate: GateTrace | undefined;
};

/** A crash of an upstream while it ran the request, or one like it. */
export type CrashTrace = {
	/** Node on the upstream's host. */
	readonly node: string;
	readonly upstream: string | undefined;
	/** Time by the clock of that node, ISO 8601. */
	readonly at: string;
	/** Number of requests that were running. */
	readonly running: number;
};

/** A request as reconstructed from log lines. */
export type RequestTrace = {
	readonly requestId: string;
	/** Node that received the request from its client, if a line names it. */
	readonly node: string | undefined;
	readonly request:
		| (Completion & Pick<LogLine, 'route' | 'service' | 'version' | 'attempts'>)
		| undefined;
	readonly attempts: readonly AttemptTrace[];
	/** Absent when there are none. */
	readonly crashes?: readonly CrashTrace[];
	/** Expected log lines that were not found, with the possible reasons. */
	readonly missing: readonly string[];
};

/** Messages of the log lines that the trace of a request is made from. */
const messages = {
	request: 'request ended',
	attempt: 'attempt ended',
	gate: 'gate ended attempt',
	dropped: 'log lines dropped',
	crash: 'upstream crashed',
} as const;

/** Time around a request within which dropped lines may have belonged to it, ms; two periods of the limit on log lines. */
const droppedLinesWindowMs = 2000;

/** Reasons for which a gate refuses an attempt on arrival, which it does not log. */
const unloggedGateReasons: ReadonlySet<string | undefined> = new Set([
	'saturated',
	'limited',
	'deadline',
	'overloaded',
	'leaving',
	'no-upstream',
	'stale-stamp',
	'fenced',
	'quarantined',
]);

function readCompletion({
	outcome,
	reason,
	status,
	durationMs = 0,
}: LogLine): Completion {
	return {outcome, reason, status, durationMs};
}

function createGateTrace(gate: LogLine, attempt: LogLine): GateTrace {
	const {durationMs = 0} = gate;
	const startAt = attempt.atMs - (attempt.durationMs ?? 0);
	return {
		...readCompletion(gate),
		queuedMs: gate.queuedMs ?? 0,
		clockAheadMs: [gate.atMs - attempt.atMs, gate.atMs - durationMs - startAt],
	};
}

function listMissing(
	lines: readonly LogLine[],
	requestLines: readonly LogLine[],
	{node: caller, request, attempts}: Omit<RequestTrace, 'missing'>,
): string[] {
	const missing: string[] = [];
	if (!request) {
		missing.push(
			'the end of the request: it was answered and not sampled, or the line was dropped',
		);
	}

	const expected = request?.attempts ?? 0;
	if (attempts.length < expected) {
		missing.push(`${expected - attempts.length} of ${expected} attempts`);
	}

	for (const {number, host, gate, reason} of attempts) {
		if (!gate && !unloggedGateReasons.has(reason)) {
			missing.push(`attempt ${number} at ${host}: no log line of its gate`);
		}
	}

	const firstAt =
		Math.min(...requestLines.map(({atMs}) => atMs)) - droppedLinesWindowMs;
	const lastAt =
		Math.max(...requestLines.map(({atMs}) => atMs)) + droppedLinesWindowMs;
	const involvedNodes = new Set([caller, ...attempts.map(({host}) => host)]);
	for (const {message, node, atMs, count = 0} of lines) {
		const isNear = atMs >= firstAt && atMs <= lastAt;
		if (message === messages.dropped && isNear && involvedNodes.has(node)) {
			missing.push(
				`${node} dropped ${count} log lines within two seconds of the request`,
			);
		}
	}

	return missing;
}

/** Lists the crashes under which requests with a fingerprint were running. */
function listCrashes(
	lines: readonly LogLine[],
	fingerprint: string | undefined,
): readonly CrashTrace[] {
	return lines
		.filter(
			({message, running = []}) =>
				fingerprint !== undefined &&
				message === messages.crash &&
				running.some((request) => request.fingerprint === fingerprint),
		)
		.toSorted((a, b) => a.atMs - b.atMs)
		.map(({node, id, atMs, running = []}) => ({
			node,
			upstream: id,
			at: new Date(atMs).toISOString(),
			running: running.length,
		}));
}

/**
 * Creates the trace of a request from the log lines of the nodes that handled it.
 *
 * Times are those of the caller's node. Clocks of other nodes may differ, so the
 * line of a gate is ordered by the attempt that it belongs to.
 *
 * @param lines - lines of all nodes, in any order
 * @param requestId - identifier of the request
 * @returns the trace, or undefined when no line belongs to the request
 */
export function createRequestTrace(
	lines: readonly LogLine[],
	requestId: string,
): RequestTrace | undefined {
	const requestLines = lines
		.filter((line) => line.requestId === requestId)
		.toSorted((a, b) => a.atMs - b.atMs);
	if (requestLines.length === 0) {
		return undefined;
	}

	const requestLine = requestLines.find(
		({message}) => message === messages.request,
	);
	const attemptLines = requestLines.filter(
		({message}) => message === messages.attempt,
	);
	const gateLines = requestLines.filter(
		({message}) => message === messages.gate,
	);
	const startAt = Math.min(
		...[...(requestLine ? [requestLine] : []), ...attemptLines].map(
			({atMs, durationMs = 0}) => atMs - durationMs,
		),
	);
	const attempts = attemptLines.map((attempt): AttemptTrace => {
		const index = gateLines.findIndex(({node}) => node === attempt.host);
		const [gate] = index === -1 ? [] : gateLines.splice(index, 1);
		return {
			...readCompletion(attempt),
			number: attempt.attempt ?? 0,
			host: attempt.host ?? '',
			service: attempt.service,
			startMs: attempt.atMs - (attempt.durationMs ?? 0) - startAt,
			gate: gate && createGateTrace(gate, attempt),
		};
	});
	const request = requestLine && {
		...readCompletion(requestLine),
		route: requestLine.route,
		service: requestLine.service,
		version: requestLine.version,
		attempts: requestLine.attempts,
	};
	const {node} = requestLine ?? attemptLines[0] ?? {};
	const identified = requestLines.find((line) => line.fingerprint);
	const crashes = listCrashes(lines, identified?.fingerprint);
	const found = {
		requestId,
		node,
		request,
		attempts,
		...(crashes.length > 0 && {crashes}),
	};
	const missing = listMissing(lines, requestLines, found);
	for (const {node: gate, outcome, reason = ''} of gateLines) {
		missing.push(
			`the attempt that the gate ${gate} ended: ${outcome} ${reason}`.trim(),
		);
	}

	return {...found, missing};
}
