import {simulatePolicy} from './bench/_lib/simulate-policy.js';
const chosen = {name: 'chosen', pick: 'chosen', hasBudget: true, hasAdmission: true} as const;
const two = {name: 'two', pick: 'two-choices', hasBudget: true, hasAdmission: true} as const;
for (const [name, share, oneHost] of [['overload', 3, 'healthy'], ['slow', .6, 'slow'], ['lying', .6, 'lying'], ['flapping', .6, 'flapping'], ['healthy', .6, 'healthy'],['healthy90', .9, 'healthy']] as const)
	for (const policy of process.argv[2] === 'two' ? [two, chosen] : [chosen]) {
		const rs = [1, 2, 3, 4, 5, 6].map(seed => simulatePolicy(policy, {name, share, oneHost, seconds: 3}, seed));
		const m = (k: 'inTime' | 'p99Ms' | 'wasted') => {const v = rs.map(r => r[k]); const mean = v.reduce((a, b) => a + b) / v.length; return `${mean.toFixed(3)}±${(2.57 * Math.sqrt(v.reduce((a, b) => a + (b - mean) ** 2, 0) / 5 / 6)).toFixed(3)}`;};
		console.log(name, policy.name, 'inTime', m('inTime'), 'p99', m('p99Ms'), 'wasted', m('wasted'));
	}
