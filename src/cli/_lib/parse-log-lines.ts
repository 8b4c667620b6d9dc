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
});

/** A log line of a node, as far as the trace of a request reads it. */
export type LogLine = Omit<z.infer<typeof lineSchema>, 'timestamp'> & {
	/** When it was written, by the node's clock, ms since 1970. */
	readonly atMs: number;
};

/**
 * Parses the log lines of one or more nodes.
 *
 * What precedes the JSON object of a line (a time, the name of a container) is
 * left out, and so are lines that hold none.
 *
 * @param text - the lines
 * @returns the lines that a node has written
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
			// A line that was cut or that another program has written.
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
