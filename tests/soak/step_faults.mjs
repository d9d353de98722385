// Faults that follow each other on one request: its first message to a model server meets the first step, its second message the
// second, and so on. Injected where the message arrives, so that the gateway's own sockets show nothing unusual.
//
// Steps:
//   ok         the message is handled as usual
//   swallow    the message is lost on its own connection: the server never sees it, and nothing more is answered there
//   no-answer  the message arrives and is carried out, and every byte of the answer is lost on its connection
//   hang       an attempt arrives and is never answered; its connection stays open
//   hang-late  as hang, and the server sees the end of the connection late
export const STEPS = ['ok', 'swallow', 'no-answer', 'hang', 'hang-late'];
export const LATE_CLOSE_MS = 250;

// The sequences that apply to the requests of one run.
export class StepFaults {
  constructor(now) {
    this.now = now;
    this.windows = [];  // {steps, last, from, to, servers: Set or null}
    this.progressByTxn = new Map();  // txn -> {window, next}
  }
  // Requests whose first attempt arrives within the window meet `steps`, and `last` from then on. `hangServers`: names of the
  // servers at which a hang step applies; others handle the message as usual.
  add({ steps, last = 'ok', from, to, hangServers = null }) {
    const window = { steps, last, from, to, hangServers };
    this.windows.push(window);
    return window;
  }
  // The step that this attempt meets.
  next(txn, server) {
    let progress = this.progressByTxn.get(txn);
    if (!progress) {
      const now = this.now();
      const window = this.windows.find((candidate) => now >= candidate.from && now < candidate.to);
      progress = { window: window ?? null, next: 0 };
      this.progressByTxn.set(txn, progress);
    }
    const { window } = progress;
    if (!window || this.now() >= window.to + 2000) return 'ok';
    const step = window.steps[progress.next] ?? window.last;
    if (step.startsWith('hang') && window.hangServers && !window.hangServers.has(server)) return 'ok';
    ++progress.next;
    return step;
  }
}
