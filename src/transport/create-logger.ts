import winston from 'winston';

/** The part of a logger that tasks use. */
export type Logger = Pick<
	winston.Logger,
	'error' | 'warn' | 'info' | 'debug' | 'child'
>;

/**
 * Creates a logger that writes JSON lines to standard error.
 *
 * @param level - lowest level that is written
 * @param node - name of the node, part of every line
 * @returns the logger
 * @example
 * createLogger('info', 'abdali-1').info('ready', {port: 8080});
 */
export function createLogger(level: string, node: string): Logger {
	return winston.createLogger({
		level,
		defaultMeta: {node},
		format: winston.format.combine(
			winston.format.timestamp(),
			winston.format.json(),
		),
		transports: [
			new winston.transports.Console({
				stderrLevels: ['error', 'warn', 'info', 'debug'],
			}),
		],
	});
}
