// How the answer of a model server ends when it is not whole: at any byte of it, in any way.

const STOP_EVENT = 'data: {"finish_reason":"stop"}\n\n', USAGE_EVENT = 'data: {"usage":{"completion_tokens":9}}\n\n', END_MARKER = 'data: [DONE]\n\n';

// The events of a whole answer. `id`: of its attempt; `count`: of the events with text.
export const wholeAnswer = (id, count) => [...Array.from({ length: count }, (_, index) => `data: {"a":"${id}:${index}"}\n\n`), STOP_EVENT, USAGE_EVENT, END_MARKER];

// Ways in which it ends: the end of its message, the end of its connection, a reset, or nothing more without any end.
const WAYS = ['message', 'connection', 'reset', 'silence'];

const bytesOf = (events) => events.reduce((sum, event) => sum + event.length, 0);
// The bytes of the answer that are written, for each point at which it may end.
const POINTS = [
  (random, events) => random.integer(0, events[0].length - 1),  // before the first event is complete
  (random, events) => bytesOf(events.slice(0, random.integer(1, events.length - 3))),  // between two events
  (random, events) => { const index = random.integer(1, events.length - 2); return bytesOf(events.slice(0, index)) + random.integer(1, events[index].length - 1); },  // within one
  (random, events) => bytesOf(events.slice(0, -2)),  // after the stop event
  (random, events) => bytesOf(events.slice(0, -1)),  // after the usage
  (random, events) => bytesOf(events.slice(0, -1)) + random.integer(1, END_MARKER.length - 1),  // within the end marker
  (random, events) => bytesOf(events),  // after it
];

// Draws how an answer with these events is framed and ends. `end`: null for an answer that is whole.
export function drawAnswerForm(random, events, { early, withLength }) {
  const hasLength = random.chance(withLength);
  const end = random.chance(early) ? { way: random.pick(WAYS), bytes: random.pick(POINTS)(random, events) } : null;
  const contentLength = hasLength ? (end?.way === 'message' ? end.bytes : bytesOf(events)) : null;
  return { end, contentLength };
}
