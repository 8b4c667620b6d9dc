/**
 * An order for a roll-out as the platform's operator writes it.
 */
export const platformOrder = {
	service: 'pricebook',
	target_version: 'v2',
	duration_s: 60,
};

/**
 * The status of that order after a roll-back, as the platform's operator reads it.
 */
export const rolledBackStatus = {
	state: 'rolled_back',
	target_version: 'v2',
};
