const ID_FIELD = 'id:';
const LINE_END = 0x0a;

/** Returns the id of the last server-sent event that has one; undefined when none has. The buffer must hold complete events only. */
export function findLastEventId(events: Buffer): string | undefined {
  let searchEnd = events.length;
  for (;;) {
    const at = events.lastIndexOf(ID_FIELD, searchEnd - 1);
    if (at < 0) return undefined;
    if (at === 0 || events[at - 1] === LINE_END) {
      const end = events.indexOf(LINE_END, at);
      return events.toString('latin1', at + ID_FIELD.length, end).trim();
    }
    if (at === 0) return undefined;
    searchEnd = at;
  }
}
