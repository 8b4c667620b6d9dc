import * as z from 'zod';

const countSchema = z.number().optional();
const textSchema = z.string().optional();

const lineSchema = z.object({
	message: z.string(),
	node: z.string(),
	timestamp: z.iso.datetime(),
	requestId: textSchema,
	route: textSchema,
	service: textSchema,
	host: textSchema,
	outcome: textSchema,
	reason: textSchema,
	version: countSchema,
	status: countSchema,
	attempt: countSchema,
	attempts: countSchema,
	queuedMs: countSchema,
	durationMs: countSchema,
	count: countSchema,
	id: textSchema,
	fingerprint: textSchema,
	/** Requests that were running when an upstream crashed. */
	running: z.array(z.object({fingerprint: textSchema})).optional(),
});

/** The fields of a node's log line that the trace of a request uses. */
export type LogLine = Omit<z.infer<typeof lineSchema>, 'timestamp'> & {
	/** Time of the line by the node's clock, Unix time in ms. */
	readonly atMs: number;
};

/**
 * Parses the log lines of one or more nodes.
 *
 * Ignores a prefix before the JSON object of a line (a time, the name of a
 * container), and lines without such an object.
 *
 * @param text - the lines
 * @returns the lines that were written by a node
 */
export function parseLogLines(text: string): readonly LogLine[] {
	const lines: LogLine[] = [];
	for (const line of text.split('\n')) {
		const start = line.indexOf('{');
		if (start === -1) {
			continue;
		}

		let value: unknown;
		try {
			value = JSON.parse(line.slice(start));
		} catch {
			// The line was truncated or was written by another program.
			continue;
		}

		const parsed = lineSchema.safeParse(value);
		if (parsed.success) {
			const {timestamp, ...fields} = parsed.data;
			lines.push({...fields, atMs: Date.parse(timestamp)});
		}
	}

	return lines;
}
