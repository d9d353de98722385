// Helpers for plain objects.

// A copy of the object without the properties named.
export function without(object, names) {
  return Object.fromEntries(Object.entries(object).filter(([name]) => !names.includes(name)));
}
