import {appendFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';

const BROKEN = 1;
const NOT_RUN = 2;

/** Whether the disruption is left out. */
export const isCalm = process.env.TROUBLE === '0';

/** Runs a case in its folder: `run` gets a function that writes to `record.txt`, and returns what broke the rule, one line each. */
export async function runCase(folder, run, close) {
  const path = join(folder, 'record.txt');
  const startedAtMs = Date.now();
  writeFileSync(path, `TROUBLE=${isCalm ? 0 : 1}\n`);
  const record = text => {
    const seconds = ((Date.now() - startedAtMs) / 1000).toFixed(3);
    appendFileSync(path, `${seconds} ${text}\n`);
  };
  let code = 0;
  try {
    const broken = await run(record);
    for (const line of broken) record(`BROKEN ${line}`);
    code = broken.length > 0 ? BROKEN : 0;
  } catch (error) {
    record(`not run: ${error.stack}`);
    code = NOT_RUN;
  }
  record(`exit ${code}`);
  await close();
  process.stdout.write(`exit ${code}, see record.txt\n`);
  process.exit(code);
}
