/**
 * Parameters of the fleet that `simulateShortage` runs: classes of requests,
 * hosts, and the processor time of each step.
 */

/** Requests of one kind, and what they are worth. */
export type RequestClass = {
	readonly name: string;
	readonly service: string;
	/** Rank; 0 is the highest. */
	readonly priority: number;
	/** Share of the clients' requests; 0 for a class that only upstreams call. */
	readonly share: number;
	/** Mean time at an upstream of speed 1, without its calls, ms. */
	readonly workMs: number;
	/** Standard deviation of the logarithm of that time. */
	readonly spread: number;
	readonly objectiveMs: number;
	readonly deadlineMs: number;
	readonly worth: number;
	readonly lateWorth: number;
	readonly repeatable: boolean;
	/** Whether each request comes on a new connection. */
	readonly opensConnection: boolean;
	/** Calls that an upstream makes while it runs such a request, all at once. */
	readonly calls?: RequestCalls;
};

/** Calls made by a share of the requests of a class. */
export type RequestCalls = {
	readonly name: string;
	readonly count: number;
	readonly share: number;
};

/** A host with one upstream. */
export type ShortageHost = {
	readonly name: string;
	readonly dataCentre: string;
	readonly service: string;
	readonly speed: number;
};

/** Processor time of each step of a node, ms of a whole core. */
export type StepCosts = {
	readonly acceptMs: number;
	/** Reading a client's request that is admitted. */
	readonly readMs: number;
	/** Reading a client's request that is refused. */
	readonly refusedReadMs: number;
	readonly refuseMs: number;
	/** Routing a request and picking a host. */
	readonly startMs: number;
	/** Sending an attempt to another host. */
	readonly sendMs: number;
	/** Reading the answer of a gate and writing it to the client. */
	readonly answerMs: number;
	/** Reading the refusal of a gate. */
	readonly refusalMs: number;
	readonly gateReadMs: number;
	readonly gateRefuseMs: number;
	/** Sending a request to the upstream. */
	readonly gateSendMs: number;
	/** Reading the answer of the upstream and writing it to the caller's node. */
	readonly gateAnswerMs: number;
	readonly timerMs: number;
};

/** Slots of an upstream. */
export const slots = 6;

export const defaultClasses: readonly RequestClass[] = [
	{
		name: 'lookup',
		service: 'archive',
		priority: 2,
		share: 0.52,
		workMs: 60,
		spread: 0.3,
		objectiveMs: 200,
		deadlineMs: 1200,
		worth: 1,
		lateWorth: 0.3,
		repeatable: true,
		opensConnection: false,
		calls: {name: 'status', count: 2, share: 0.7},
	},
	{
		name: 'record',
		service: 'records',
		priority: 1,
		share: 0.18,
		workMs: 80,
		spread: 0.3,
		objectiveMs: 250,
		deadlineMs: 1500,
		worth: 2,
		lateWorth: 0.6,
		repeatable: false,
		opensConnection: false,
		calls: {name: 'outline', count: 2, share: 0.7},
	},
	{
		name: 'order',
		service: 'orders',
		priority: 0,
		share: 0.14,
		workMs: 40,
		spread: 0.5,
		objectiveMs: 150,
		deadlineMs: 1000,
		worth: 3,
		lateWorth: 0.9,
		repeatable: false,
		opensConnection: true,
	},
	{
		name: 'search',
		service: 'orders',
		priority: 1,
		share: 0.16,
		workMs: 25,
		spread: 0.3,
		objectiveMs: 100,
		deadlineMs: 600,
		worth: 2,
		lateWorth: 0.6,
		repeatable: true,
		opensConnection: false,
	},
	{
		name: 'status',
		service: 'records',
		priority: 0,
		share: 0,
		workMs: 15,
		spread: 0.5,
		objectiveMs: 60,
		deadlineMs: 200,
		worth: 0,
		lateWorth: 0,
		repeatable: true,
		opensConnection: false,
		calls: {name: 'outline', count: 1, share: 0.15},
	},
	{
		name: 'outline',
		service: 'orders',
		priority: 0,
		share: 0,
		workMs: 15,
		spread: 0.5,
		objectiveMs: 60,
		deadlineMs: 200,
		worth: 0,
		lateWorth: 0,
		repeatable: true,
		opensConnection: false,
	},
];

export const defaultHosts: readonly ShortageHost[] = [
	{name: 'a-1', dataCentre: 'a', service: 'archive', speed: 0.5},
	{name: 'a-2', dataCentre: 'a', service: 'archive', speed: 1},
	{name: 'a-3', dataCentre: 'a', service: 'records', speed: 0.8},
	{name: 'a-4', dataCentre: 'a', service: 'orders', speed: 0.5},
	{name: 'b-1', dataCentre: 'b', service: 'archive', speed: 1},
	{name: 'b-2', dataCentre: 'b', service: 'records', speed: 0.8},
	{name: 'b-3', dataCentre: 'b', service: 'orders', speed: 1},
	{name: 'c-1', dataCentre: 'c', service: 'archive', speed: 1.5},
	{name: 'c-2', dataCentre: 'c', service: 'records', speed: 1.4},
	{name: 'c-3', dataCentre: 'c', service: 'orders', speed: 1.5},
];

/** Steps of the product: 2.2 ms for a served request at each node, 0.8 ms for one that is refused on a new connection. */
export const productCosts: StepCosts = {
	acceptMs: 0.2,
	readMs: 0.4,
	refusedReadMs: 0.4,
	refuseMs: 0.2,
	startMs: 0.3,
	sendMs: 0.5,
	answerMs: 1,
	refusalMs: 0.5,
	gateReadMs: 0.5,
	gateRefuseMs: 0.3,
	gateSendMs: 0.6,
	gateAnswerMs: 1.1,
	timerMs: 0.02,
};
