// A seeded random number generator with named streams: an additional draw from one stream does not change the others.
export class Random {
  constructor(seed, name = '') {
    let hash = 2166136261 ^ seed;
    for (const character of name) hash = Math.imul(hash ^ character.charCodeAt(0), 16777619);
    this.seed = seed;
    this.name = name;
    this.state = hash >>> 0;
  }
  stream(name) { return new Random(this.seed, `${this.name}/${name}`); }
  // Returns a number uniform in [0, 1) (mulberry32).
  next() {
    this.state = (this.state + 0x6d2b79f5) >>> 0;
    let mixed = this.state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  }
  between(low, high) { return low + (high - low) * this.next(); }
  integer(low, high) { return Math.floor(this.between(low, high + 1)); }
  chance(probability) { return this.next() < probability; }
  pick(list) { return list[Math.floor(this.next() * list.length)]; }
  exponential(mean) { return -Math.log(1 - this.next()) * mean; }
}
