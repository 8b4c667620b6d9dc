import {z} from 'zod';

const profileSchema = z.object({
	nodes: z.array(
		z.object({
			id: z.number(),
			callFrame: z.object({
				functionName: z.string(),
				url: z.string(),
				lineNumber: z.number(),
			}),
			children: z.array(z.number()).optional(),
		}),
	),
	samples: z.array(z.number()),
	timeDeltas: z.array(z.number()),
});

/** Time that one function, or one module, took itself. */
export type ProfileRow = {readonly name: string; readonly share: number};

/** Shares of busy time, greatest first. */
export type ProfileSummary = {
	/** Busy share of the whole time. */
	readonly busyShare: number;
	readonly byModule: readonly ProfileRow[];
	readonly byFunction: readonly ProfileRow[];
};

function nameModule(url: string, functionName: string): string {
	if (functionName.startsWith('(')) {
		return functionName;
	}

	const dependency = /node_modules\/((?:@[^\/]+\/)?[^\/]+)/v.exec(url)?.[1];
	return (
		dependency ?? url.replace(/^.*\/dist\/src\//v, 'src/').replace(/\?.*$/v, '')
	);
}

function rank(times: ReadonlyMap<string, number>, total: number): ProfileRow[] {
	return [...times]
		.map(([name, time]) => ({name, share: time / total}))
		.toSorted((a, b) => b.share - a.share);
}

/**
 * Summarizes a V8 processor profile by own time of modules and functions.
 *
 * @param value - content of a `.cpuprofile` file
 * @returns shares of the busy time, idle time left out
 * @example
 * summarizeProfile(JSON.parse(text)).byModule[0]?.name;
 */
export function summarizeProfile(value: unknown): ProfileSummary {
	const {nodes, samples, timeDeltas} = profileSchema.parse(value);
	const byId = new Map(nodes.map((node) => [node.id, node]));
	const modules = new Map<string, number>();
	const functions = new Map<string, number>();
	let busy = 0;
	let total = 0;
	for (const [index, id] of samples.entries()) {
		const time = timeDeltas[index] ?? 0;
		const {functionName, url, lineNumber} = byId.get(id)!.callFrame;
		total += time;
		if (functionName === '(idle)') {
			continue;
		}

		busy += time;
		const module = nameModule(url, functionName);
		const name = `${functionName || 'anonymous'} ${module}:${lineNumber + 1}`;
		modules.set(module, (modules.get(module) ?? 0) + time);
		functions.set(name, (functions.get(name) ?? 0) + time);
	}

	return {
		busyShare: busy / total,
		byModule: rank(modules, busy),
		byFunction: rank(functions, busy),
	};
}
