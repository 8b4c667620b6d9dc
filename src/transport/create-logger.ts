import winston from 'winston';

const levels = ['error', 'warn', 'info', 'debug'] as const;

/** Levels of log lines, gravest first. */
export type LogLevel = (typeof levels)[number];

/** Options of `createLogger`. */
export type LoggerOptions = {
	/** Where the lines go; `stderr` when absent. */
	readonly stream?: 'stdout' | 'stderr';
};

type Fields = Readonly<Record<string, unknown>>;

/** What tasks log with: one method for each level. */
export type Logger = Readonly<
	Record<LogLevel, (message: string, fields?: Fields) => void>
> & {
	/** Creates a logger whose lines all have further fields. */
	child(fields: Fields): Logger;
};

function discardLine(): void {
	// The level is not written.
}

function wrapLogger(logger: winston.Logger, level: LogLevel): Logger {
	const enabledLevels = new Set(levels.slice(0, levels.indexOf(level) + 1));
	const createMethod = (name: LogLevel) =>
		enabledLevels.has(name)
			? (message: string, fields: Fields = {}) => {
					logger.log(name, message, fields);
				}
			: discardLine;
	return {
		error: createMethod('error'),
		warn: createMethod('warn'),
		info: createMethod('info'),
		debug: createMethod('debug'),
		child: (fields) => wrapLogger(logger.child(fields), level),
	};
}

/**
 * Creates a logger that writes JSON lines to standard error, or to standard
 * output where that is asked for.
 *
 * Lines below the level never reach winston, which would format them first.
 *
 * @param level - lowest level that is written
 * @param node - name of the node, part of every line
 * @param options - see `LoggerOptions`
 * @returns the logger
 * @example
 * createLogger('info', 'abdali-1').info('ready', {port: 8080});
 */
export function createLogger(
	level: LogLevel,
	node: string,
	{stream = 'stderr'}: LoggerOptions = {},
): Logger {
	const logger = winston.createLogger({
		level,
		defaultMeta: {node},
		format: winston.format.combine(
			winston.format.timestamp(),
			winston.format.json(),
		),
		transports: [
			new winston.transports.Console({
				stderrLevels: stream === 'stderr' ? [...levels] : [],
			}),
		],
	});
	return wrapLogger(logger, level);
}
