import winston from 'winston';

const levels = ['error', 'warn', 'info', 'debug'] as const;

/** Log levels, most severe first. */
export type LogLevel = (typeof levels)[number];

/** Options of `createLogger`. */
export type LoggerOptions = {
	/** Stream that lines are written to; `stderr` when absent. */
	readonly stream?: 'stdout' | 'stderr';
};

type Fields = Readonly<Record<string, unknown>>;

/** Logger with one method for each level. */
export type Logger = Readonly<
	Record<LogLevel, (message: string, fields?: Fields) => void>
> & {
	/** Creates a logger that adds fields to every line. */
	child(fields: Fields): Logger;
};

function discardLine(): void {
	// The level is disabled.
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
 * output if the options say so.
 *
 * Lines below the level are not passed to winston, which would format them
 * before it drops them.
 *
 * @param level - least severe level that is written
 * @param node - name of the node, added to every line
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
