// The recommended rules of eslint for the tests, the soak and the measuring rigs.
import js from '@eslint/js';
import globals from 'globals';

export default [
    js.configs.recommended,
    { languageOptions: { ecmaVersion: 2023, sourceType: 'module', globals: globals.node } },
];
