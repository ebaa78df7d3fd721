#!/usr/bin/env node
import {EXIT_CODE} from './exit_code.js';
import {runCli} from './run_cli.js';

const exitCode = await runCli(process.argv.slice(2));
// A command may have set its own.
if (exitCode !== EXIT_CODE.done) process.exitCode = exitCode;
