/**
 * Reads files that people write, TOML and JSON, into checked values; each fault is told with file,
 * line, key and what was expected, all of them at once. {@code serve} without an operator's file
 * loads nothing of it.
 */
package cottonlock.config;
