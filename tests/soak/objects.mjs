// Helpers for plain objects.

// Returns a copy of `object` without the named properties.
export function without(object, names) {
  return Object.fromEntries(Object.entries(object).filter(([name]) => !names.includes(name)));
}
