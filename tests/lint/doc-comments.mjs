// Fails where a public part has no doc comment: each header must open with one; in every header each class, struct and
// enum of namespace scope needs one before it or behind its first line, and in include/gorsenotch each alias, function,
// enumerator and field too. Comments are `//` lines; a group of declarations without a blank line between them may
// share the comment above it, and a header that declares one type only may describe it in its opening comment.
//
// Usage: node tests/lint/doc-comments.mjs HEADER... ; exit code 1 with a line for each part that lacks a comment.
import fs from 'node:fs';

const TYPE = /^(class|struct|enum class|enum) (\w+)[^;]*\{/;
const PUBLIC_PART = /^(using \w+ =|constexpr|[\w:<>]+[\w:<>&* ]* \w+\(|class|struct|enum)/;

function hasComment(lines, index) {
  if (lines[index].includes('//')) return true;
  let above = index - 1;
  while (above >= 0 && /^template/.test(lines[above])) --above;
  while (above >= 0 && lines[above].trim() !== '' && !/[{]$/.test(lines[above])) {
    if (lines[above].trim().startsWith('//')) return true;
    if (/^\S.*[;}]$/.test(lines[above]) && TYPE.test(lines[index])) return false;
    --above;
  }
  return false;
}

function check(file) {
  const lines = fs.readFileSync(file, 'utf8').split('\n');
  const missing = [];
  if (!lines[0].startsWith('//')) missing.push(`${file}:1: the header has no opening comment`);
  const types = lines.filter((line) => TYPE.test(line)).length;
  const isPublic = file.includes('include/gorsenotch/');
  lines.forEach((line, index) => {
    const part = isPublic ? PUBLIC_PART.test(line) : TYPE.test(line);
    if (!part || (TYPE.test(line) && types === 1) || /^(class|struct) \w+;/.test(line)) return;
    if (!hasComment(lines, index)) missing.push(`${file}:${index + 1}: no doc comment: ${line.trim()}`);
  });
  return missing;
}

const missing = process.argv.slice(2).flatMap(check);
for (const line of missing) console.error(line);
process.exit(missing.length > 0 ? 1 : 0);
