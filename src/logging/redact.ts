const HIDDEN = '(hidden)';
/** In lower case; keys are compared without regard to case. */
const SECRET_KEYS: ReadonlySet<string> = new Set([
  'authorization',
  'cookie',
  'operatortoken',
  'operatortokensha256',
  'password',
  'peersecret',
  'secret',
  'secrets',
  'token',
  'tokensha256',
]);
const BEARER = /Bearer\s+\S+/gi;

type Fields = Readonly<Record<string, unknown>>;

/** Copies log fields with secrets replaced: values of secret keys, occurrences of the given secrets, and tokens after "Bearer". */
export function redact(fields: Fields, secrets: readonly string[]): Fields {
  const text = JSON.stringify(fields, (key, value: unknown) => {
    if (SECRET_KEYS.has(key.toLowerCase())) return HIDDEN;
    return typeof value === 'string' ? redactText(value, secrets) : value;
  });
  return JSON.parse(text) as Fields;
}

function redactText(text: string, secrets: readonly string[]): string {
  let clean = text.replace(BEARER, `Bearer ${HIDDEN}`);
  for (const secret of secrets) clean = clean.replaceAll(secret, HIDDEN);
  return clean;
}
