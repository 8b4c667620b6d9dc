import type {
	AttemptTrace,
	CrashTrace,
	GateTrace,
	RequestTrace,
} from './create-request-trace.js';

type Completion = Pick<
	GateTrace,
	'outcome' | 'reason' | 'status' | 'durationMs'
>;

function formatCompletion({
	outcome,
	reason,
	status,
	durationMs,
}: Completion): string {
	const parts = [
		outcome ?? 'ended',
		...(reason === undefined ? [] : [reason]),
		...(status === undefined || status === 0 ? [] : [String(status)]),
	];
	return `${parts.join(' ')} after ${durationMs} ms`;
}

function formatGate({clockAheadMs, queuedMs, ...ending}: GateTrace): string {
	const [least, most] = clockAheadMs;
	return `    gate: waited ${queuedMs} ms, ${formatCompletion(ending)}; clock ahead by ${least} to ${most} ms`;
}

function formatAttempt(attempt: AttemptTrace): readonly string[] {
	const {number, host, startMs, gate} = attempt;
	return [
		`  at ${startMs} ms attempt ${number} at ${host}: ${formatCompletion(attempt)}`,
		...(gate ? [formatGate(gate)] : []),
	];
}

function formatCrash({node, upstream, at, running}: CrashTrace): string {
	return `  upstream ${upstream} at ${node} crashed at ${at} while it ran the same request, and ${running - 1} others`;
}

/**
 * Formats the trace of a request as text.
 *
 * @param trace - the trace
 * @returns its lines
 */
export function formatRequestTrace(trace: RequestTrace): string {
	const {requestId, node = 'an unknown node', request} = trace;
	const head = request
		? `route ${request.route} to ${request.service}, version ${request.version}: ${formatCompletion(request)}`
		: 'its end is missing in these logs';
	return [
		`request ${requestId} at ${node}, ${head}`,
		...trace.attempts.flatMap((attempt) => formatAttempt(attempt)),
		...(trace.crashes ?? []).map((crash) => formatCrash(crash)),
		...trace.missing.map((line) => `  missing: ${line}`),
	].join('\n');
}
