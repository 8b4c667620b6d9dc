#!/usr/bin/env node
import process from 'node:process';
import {runCommand} from './run-command.js';

process.exitCode = await runCommand(process.argv.slice(2));
