/** Range of a number. */
export type NumberRange = {readonly min: number; readonly max: number};

/** Small fractions are written with an exponent. */
const numberPattern = /^-?\d+(?:\.\d+)?(?:e-\d{1,3})?$/v;

/**
 * Parses a number that another process has written as text, in decimal notation.
 *
 * @param text - the text; anything but a text is not readable
 * @param range - lowest and highest value, which stand in for what is beyond them
 * @returns the number, or undefined if the text is not readable
 * @example
 * parseNumber('1e3', {min: 0, max: 10}); // undefined
 */
export function parseNumber(
	text: unknown,
	{min, max}: NumberRange,
): number | undefined {
	return typeof text === 'string' && numberPattern.test(text)
		? Math.min(max, Math.max(min, Number(text)))
		: undefined;
}
