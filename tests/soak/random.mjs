// A seeded generator of random numbers with named streams, so that one draw more in one place changes no other place.
export class Random {
  constructor(seed, name = '') {
    let hash = 2166136261 ^ seed;
    for (const c of name) hash = Math.imul(hash ^ c.charCodeAt(0), 16777619);
    this.seed = seed;
    this.name = name;
    this.state = hash >>> 0;
  }
  stream(name) { return new Random(this.seed, `${this.name}/${name}`); }
  next() {  // mulberry32: uniform in [0, 1)
    this.state = (this.state + 0x6d2b79f5) >>> 0;
    let t = this.state;
    t = Math.imul(t ^ (t >>> 15), t | 1);
    t ^= t + Math.imul(t ^ (t >>> 7), t | 61);
    return ((t ^ (t >>> 14)) >>> 0) / 4294967296;
  }
  between(low, high) { return low + (high - low) * this.next(); }
  integer(low, high) { return Math.floor(this.between(low, high + 1)); }
  chance(part) { return this.next() < part; }
  pick(list) { return list[Math.floor(this.next() * list.length)]; }
  exponential(mean) { return -Math.log(1 - this.next()) * mean; }
}
