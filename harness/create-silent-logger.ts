import type {Logger} from '../src/transport/create-logger.js';

function ignoreLine(): void {
	// Whoever uses this logger looks at results only.
}

/**
 * Creates a logger that writes nothing.
 *
 * @returns the logger
 * @example
 * startGateTask({logger: createSilentLogger()});
 */
export function createSilentLogger(): Logger {
	const logger: Logger = {
		error: ignoreLine,
		warn: ignoreLine,
		info: ignoreLine,
		debug: ignoreLine,
		child: () => logger,
	};
	return logger;
}
