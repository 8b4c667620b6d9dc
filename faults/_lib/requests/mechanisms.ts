/**
 * The decision functions of the product that the request matrix runs.
 */
import {createLedger} from '../../../src/coordination/create-ledger.js';
import {decideAdmission} from '../../../src/coordination/decide-admission.js';
import {pickHost} from '../../../src/coordination/pick-host.js';
import {stepRequest} from '../../../src/coordination/step-request.js';

/** Decision functions that tests may replace by naive ones. */
export type Mechanisms = {
	readonly stepRequest: typeof stepRequest;
	readonly createLedger: typeof createLedger<string>;
	readonly decideAdmission: typeof decideAdmission;
	readonly pickHost: typeof pickHost;
};

/** The decision functions of the product. */
export const productMechanisms: Mechanisms = {
	stepRequest,
	createLedger,
	decideAdmission,
	pickHost,
};
