const ID_FIELD = 'id:';
const LINE_END = 0x0a;

/** The id of the last event that has one, in a buffer of whole events. */
export function lastEventIdOf(events: Buffer): string | undefined {
  let before = events.length;
  for (;;) {
    const at = events.lastIndexOf(ID_FIELD, before - 1);
    if (at < 0) return undefined;
    if (at === 0 || events[at - 1] === LINE_END) {
      const end = events.indexOf(LINE_END, at);
      return events.toString('latin1', at + ID_FIELD.length, end).trim();
    }
    if (at === 0) return undefined;
    before = at;
  }
}
